/**
 * Holds the operators' configuration that is in force on this instance. Only a
 * higher version replaces it, whatever its source, so it never reverts.
 */
import type {
  OperatorConfig,
  ServiceClass,
  SettingsError,
  StoredConfig,
  Undo,
  Workspace,
} from '@toucanrouter/common';
import type {Result} from 'neverthrow';
import type {Logger} from '@toucanrouter/logging';

/** Parses the classes file of a stored configuration. */
export type ParseClasses = (
  text: string,
  file: string,
) => Result<
  {
    readonly classes: readonly ServiceClass[];
    readonly workspaces: readonly Workspace[];
  },
  SettingsError
>;

/** The configuration in force. */
export interface ConfigHolder {
  inForce(): OperatorConfig;
  stored(): StoredConfig | undefined;
  /** Applies a configuration if its version is higher. */
  offer(stored: StoredConfig): void;
  /** Calls `handler` with each configuration that comes into force. */
  registerChangeHandler(handler: (config: OperatorConfig) => void): Undo;
}

const emptyConfig: OperatorConfig = {
  version: 0,
  classes: [],
  workspaces: [],
  drainedUpstreams: [],
};

/** Creates a holder without a configuration. */
export function createConfigHolder(
  parse: ParseClasses,
  logger: Logger,
): ConfigHolder {
  let inForce = emptyConfig;
  let current: StoredConfig | undefined;
  const handlers = new Set<(config: OperatorConfig) => void>();

  function offer(stored: StoredConfig): void {
    if (stored.version <= inForce.version) return;
    const parsed = parse(stored.classesText, `version ${stored.version}`);
    if (parsed.isErr()) {
      logger.error('configuration was rejected', {
        version: stored.version,
        faults: parsed.error.faults.map(fault => fault.message),
      });
      return;
    }
    current = stored;
    inForce = {
      version: stored.version,
      classes: parsed.value.classes,
      workspaces: parsed.value.workspaces,
      drainedUpstreams: stored.drainedUpstreams,
    };
    logger.info('configuration is in force', {version: stored.version});
    for (const handler of handlers) handler(inForce);
  }

  return {
    inForce: () => inForce,
    stored: () => current,
    offer,
    registerChangeHandler: handler => {
      handlers.add(handler);
      return () => handlers.delete(handler);
    },
  };
}
