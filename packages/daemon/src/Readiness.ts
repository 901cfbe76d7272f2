/**
 * Tells whether an instance may serve: it has the operators' configuration and
 * is not leaving.
 */

/** State of readiness. */
export interface Readiness {
  /** Undefined when the instance is ready, otherwise why it is not. */
  notReadyReason(): string | undefined;
  /** Called once the configuration is known. */
  markConfigKnown(): void;
  markLeaving(): void;
}

/** Creates the readiness of an instance that starts. */
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
