/**
 * Readiness of an instance: it is ready once it has the operators'
 * configuration and until it is leaving.
 */

/** Whether an instance is ready to serve requests. */
export interface Readiness {
  /** Returns why the instance is not ready; undefined if it is ready. */
  notReadyReason(): string | undefined;
  markConfigKnown(): void;
  markLeaving(): void;
}

/** Creates the readiness of an instance that is starting. */
export function createReadiness(): Readiness {
  let isConfigKnown = false;
  let isLeaving = false;
  return {
    notReadyReason: () => {
      if (isLeaving) return 'the instance is leaving';
      if (!isConfigKnown) return 'the configuration is not known yet';
      return undefined;
    },
    markConfigKnown: () => {
      isConfigKnown = true;
    },
    markLeaving: () => {
      isLeaving = true;
    },
  };
}
