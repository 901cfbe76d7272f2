/**
 * Read-only views of the configuration.
 */
import type {
  ConfigDifference,
  ConfigDiffRequest,
  ConfigDiffResponse,
  ConfigHistoryResponse,
  ConfigInForceResponse,
  ConfigShowResponse,
  ConfigSummary,
  LaggingInstance,
  SettingsError,
  StoredConfig,
} from '@toucanrouter/common';
import type {ClassesFile, ComparedConfig} from '@toucanrouter/settings';
import {diffConfigs, parseClasses} from '@toucanrouter/settings';
import type {Result} from 'neverthrow';

/** The configuration before the first change. */
export const initialConfig: StoredConfig = {
  version: 0,
  writeId: '',
  author: '',
  changedAtWallMs: 0,
  classesText: '',
  drainedUpstreams: [],
};

const emptyClassesFile: ClassesFile = {classes: [], workspaces: []};

/** Returns a configuration without its text and drained upstreams. */
export function toSummary(stored: StoredConfig): ConfigSummary {
  const {version, writeId, author, changedAtWallMs} = stored;
  return {version, writeId, author, changedAtWallMs};
}

/** Returns a configuration with its text. */
export function toShowResponse(stored: StoredConfig): ConfigShowResponse {
  const {classesText, drainedUpstreams} = stored;
  return {...toSummary(stored), classesText, drainedUpstreams};
}

/** Stored texts are valid, as changes validate them; version 0 has none. */
function toCompared(
  stored: Pick<StoredConfig, 'classesText' | 'drainedUpstreams'>,
): ComparedConfig {
  const classes = parseClasses(stored.classesText, 'stored').unwrapOr(
    emptyClassesFile,
  );
  return {...classes, drainedUpstreams: stored.drainedUpstreams};
}

/** Returns the differences between two configurations. */
export function differencesBetween(
  before: Pick<StoredConfig, 'classesText' | 'drainedUpstreams'>,
  after: Pick<StoredConfig, 'classesText' | 'drainedUpstreams'>,
): readonly ConfigDifference[] {
  return diffConfigs(toCompared(before), toCompared(after));
}

/** Compares a classes file with the configuration in force. */
export function toDiffResponse(
  request: ConfigDiffRequest,
  current: StoredConfig,
): Result<ConfigDiffResponse, SettingsError> {
  const {classesText, fileName = 'classes'} = request;
  return parseClasses(classesText, fileName).map(() => ({
    version: current.version,
    differences: differencesBetween(current, {...current, classesText}),
  }));
}

/** Returns each version with its differences from the previous one. */
export function toHistoryResponse(
  newestFirst: readonly StoredConfig[],
  limit: number,
): ConfigHistoryResponse {
  const versions = newestFirst.slice(0, limit).map((stored, index) => {
    const before =
      stored.version === 1 ? initialConfig : newestFirst[index + 1];
    if (before?.version !== stored.version - 1) return toSummary(stored);
    const differences = differencesBetween(before, stored);
    return {...toSummary(stored), differences};
  });
  return {versions};
}

/** Returns which instances have a version or a later one in force. */
export function toInForceResponse(
  version: number,
  instances: readonly LaggingInstance[],
): ConfigInForceResponse {
  const isInForce = (entry: LaggingInstance) =>
    (entry.version ?? -1) >= version;
  return {
    version,
    inForce: instances.filter(isInForce).map(({instanceId}) => instanceId),
    lagging: instances.filter(entry => !isInForce(entry)),
  };
}
