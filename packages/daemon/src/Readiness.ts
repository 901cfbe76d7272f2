/**
 * Readiness of an instance: it is ready once it has the operators'
 * configuration and accepts callers, and until it is leaving.
 */

/** Whether an instance is ready to serve requests. */
export interface Readiness {
  /** Returns why the instance is not ready; undefined if it is ready. */
  notReadyReason(): string | undefined;
  markConfigKnown(): void;
  markListening(): void;
  markLeaving(): void;
}

/** Creates the readiness of an instance that is starting. */
export function createReadiness(): Readiness {
  let isConfigKnown = false;
  let isListening = false;
  let isLeaving = false;
  return {
    notReadyReason: () => {
      if (isLeaving) return 'the instance is leaving';
      if (!isConfigKnown) return 'the configuration is not known yet';
      if (!isListening) return 'the listener for callers is not open';
      return undefined;
    },
    markConfigKnown: () => {
      isConfigKnown = true;
    },
    markListening: () => {
      isListening = true;
    },
    markLeaving: () => {
      isLeaving = true;
    },
  };
}
