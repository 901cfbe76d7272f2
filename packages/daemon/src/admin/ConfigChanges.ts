/**
 * Changes the configuration by compare-and-swap. A change is reported as
 * accepted or as a conflict only if that is certain, otherwise as not yet known.
 */
import type {
  AuditEntry,
  ConfigAcceptedResponse,
  ConfigApplyRequest,
  StoredConfig,
  UpstreamChangeRequest,
  UpstreamId,
} from '@toucanrouter/common';
import {PlatformError, RouterError} from '@toucanrouter/common';
import {parseClasses} from '@toucanrouter/settings';
import type {ResultAsync} from 'neverthrow';
import {err, errAsync, ok, okAsync} from 'neverthrow';
import type {
  AdminDependencies,
  ConfigChange,
  ConfigChangeOutcome,
} from './AdminDependencies.js';
import {ConfigConflictError, ConfigUnknownError} from './AdminErrors.js';
import {differencesBetween, initialConfig, toSummary} from './ConfigViews.js';

/** Drains are retried after a conflict, as they commute with other changes. */
const maxDrainAttempts = 5;

/** Limits the load on the platform, which reads each version on its own. */
const maxHistoryVersions = 100;

/** An instance lags behind the platform by seconds, which is few versions. */
const maxVersionLag = 10;

type ChangeResult = ResultAsync<ConfigAcceptedResponse, RouterError>;
type AuditedAction = Pick<AuditEntry, 'action' | 'upstreamId'>;

/** Drains or undrains an upstream. */
export type UpstreamAction = 'drain' | 'undrain';

/** Changes that operators can make. */
export interface ConfigChanges {
  apply(request: ConfigApplyRequest): ChangeResult;
  setDrained(
    upstreamId: UpstreamId,
    action: UpstreamAction,
    request: UpstreamChangeRequest,
  ): ChangeResult;
}

/** Creates the changes on top of the dependencies. */
export function createConfigChanges(
  dependencies: AdminDependencies,
): ConfigChanges {
  return {
    apply: request => applyClasses(dependencies, request),
    setDrained: (upstreamId, action, request) =>
      setDrained(dependencies, upstreamId, action, request),
  };
}

function currentConfig(dependencies: AdminDependencies): StoredConfig {
  return dependencies.currentConfig() ?? initialConfig;
}

function applyClasses(
  dependencies: AdminDependencies,
  request: ConfigApplyRequest,
): ChangeResult {
  const {classesText, fileName = 'classes', expectedVersion} = request;
  const parsed = parseClasses(classesText, fileName);
  if (parsed.isErr()) return errAsync(parsed.error);
  return findBase(dependencies, expectedVersion).andThen(base => {
    const change = {
      expectedVersion,
      writeId: request.writeId,
      author: request.author,
      classesText,
      drainedUpstreams: base.drainedUpstreams,
    };
    return writeChange(dependencies, base, change, {action: 'config.apply'});
  });
}

/**
 * Returns the expected version, whose drained upstreams the change preserves.
 * If the instance has another version in force, it reads the history.
 */
function findBase(
  dependencies: AdminDependencies,
  expectedVersion: number,
): ResultAsync<StoredConfig, RouterError> {
  const inForce = currentConfig(dependencies);
  if (inForce.version === expectedVersion) return okAsync(inForce);
  if (expectedVersion === 0) return okAsync(initialConfig);
  if (expectedVersion < inForce.version) {
    return findReplacedBase(dependencies, inForce, expectedVersion);
  }
  return dependencies.configHistory(maxVersionLag).andThen(history => {
    const base = history.find(({version}) => version === expectedVersion);
    if (base !== undefined) return ok(base);
    const newest = history[0]?.version ?? inForce.version;
    return err(unknownVersionError(expectedVersion, newest));
  });
}

/**
 * Returns an expected version that has been replaced. The change then ends in a
 * conflict or is a retry of an accepted one, so the base only serves to show
 * differences, and the version in force stands in if it cannot be read.
 */
function findReplacedBase(
  dependencies: AdminDependencies,
  inForce: StoredConfig,
  expectedVersion: number,
): ResultAsync<StoredConfig, RouterError> {
  const versions = inForce.version - expectedVersion + 1;
  return dependencies
    .configHistory(Math.min(versions, maxHistoryVersions))
    .map(history => history.find(entry => entry.version === expectedVersion))
    .orElse(() => ok(undefined))
    .map(base => base ?? inForce);
}

function unknownVersionError(expected: number, newest: number): RouterError {
  return new RouterError(
    'bad_request',
    `there is no version ${expected} to change; the newest is ${newest}. Show the configuration and apply to the version that it names`,
  );
}

function setDrained(
  dependencies: AdminDependencies,
  upstreamId: UpstreamId,
  action: UpstreamAction,
  request: UpstreamChangeRequest,
): ChangeResult {
  const base = currentConfig(dependencies);
  if (action === 'drain' && !dependencies.isKnownUpstream(upstreamId)) {
    return errAsync(unknownUpstreamError(upstreamId));
  }
  if (base.version === 0) return errAsync(noConfigError());
  return attemptDrain(dependencies, upstreamId, action, request, base, 1);
}

function unknownUpstreamError(upstreamId: UpstreamId): RouterError {
  return new RouterError(
    'not_found',
    `upstream "${upstreamId}" is not in the instance list; look up its id in the status`,
  );
}

function noConfigError(): RouterError {
  return new RouterError(
    'bad_request',
    'there is no configuration yet; apply a classes file first',
  );
}

function attemptDrain(
  dependencies: AdminDependencies,
  upstreamId: UpstreamId,
  action: UpstreamAction,
  request: UpstreamChangeRequest,
  base: StoredConfig,
  attempt: number,
): ChangeResult {
  const otherUpstreamIds = base.drainedUpstreams.filter(
    id => id !== upstreamId,
  );
  const change = {
    ...request,
    expectedVersion: base.version,
    classesText: base.classesText,
    drainedUpstreams:
      action === 'drain'
        ? [...otherUpstreamIds, upstreamId].sort()
        : otherUpstreamIds,
  };
  const auditedAction = {action: `upstream.${action}`, upstreamId} as const;
  return writeChange(dependencies, base, change, auditedAction).orElse(
    error => {
      const shouldRetry =
        error instanceof ConfigConflictError && attempt < maxDrainAttempts;
      if (!shouldRetry) return errAsync(error);
      return readLatestConfig(dependencies).andThen(winner =>
        attemptDrain(
          dependencies,
          upstreamId,
          action,
          request,
          winner,
          attempt + 1,
        ),
      );
    },
  );
}

function readLatestConfig(
  dependencies: AdminDependencies,
): ResultAsync<StoredConfig, RouterError> {
  return dependencies
    .configHistory(1)
    .map(([newest]) => newest ?? currentConfig(dependencies));
}

function writeChange(
  dependencies: AdminDependencies,
  base: StoredConfig,
  change: ConfigChange,
  auditedAction: AuditedAction,
): ChangeResult {
  const differences = differencesBetween(base, change);
  const isUnchanged = hasSameContent(base, change);
  const result = isUnchanged
    ? confirmUnchanged(dependencies, base)
    : changeConfig(dependencies, change);
  return result
    .andThen(outcome => resolveOutcome(dependencies, change, outcome))
    .map(version => ({
      outcome: 'accepted' as const,
      version,
      changed: !isUnchanged,
      differences,
    }))
    .andTee(({version}) =>
      recordAudit(dependencies, change, auditedAction, version),
    )
    .orTee(error => recordAudit(dependencies, change, auditedAction, error));
}

/** Reports a write without a response as unknown; it may have taken effect. */
function changeConfig(
  dependencies: AdminDependencies,
  change: ConfigChange,
): ResultAsync<ConfigChangeOutcome, RouterError> {
  return dependencies
    .changeConfig(change)
    .mapErr(cause =>
      cause instanceof PlatformError && cause.mayHaveTakenEffect
        ? new ConfigUnknownError(change.writeId, {cause})
        : cause,
    );
}

function hasSameContent(base: StoredConfig, change: ConfigChange): boolean {
  return (
    base.classesText === change.classesText &&
    base.drainedUpstreams.join() === change.drainedUpstreams.join()
  );
}

/** Even a change without differences conflicts with a newer version. */
function confirmUnchanged(
  dependencies: AdminDependencies,
  base: StoredConfig,
): ResultAsync<ConfigChangeOutcome, RouterError> {
  return readLatestConfig(dependencies).map(newest =>
    newest.version === base.version
      ? {kind: 'accepted', stored: base}
      : {kind: 'conflict', winner: newest},
  );
}

function resolveOutcome(
  dependencies: AdminDependencies,
  change: ConfigChange,
  outcome: ConfigChangeOutcome,
): ResultAsync<number, RouterError> {
  switch (outcome.kind) {
    case 'accepted':
      return okAsync(outcome.stored.version);
    case 'conflict':
      return resolveConflict(dependencies, change, outcome.winner);
    case 'not_yet_known':
      return errAsync(new ConfigUnknownError(change.writeId));
  }
}

/**
 * A retried request conflicts with its own first attempt, which it recognizes
 * by the write id of the version after the expected one. If that version cannot
 * be read, the outcome is unknown. Requests are retried within seconds, so one
 * that is many versions behind is not a retry.
 */
function resolveConflict(
  dependencies: AdminDependencies,
  change: ConfigChange,
  winner: StoredConfig,
): ResultAsync<number, RouterError> {
  const {expectedVersion, writeId} = change;
  if (winner.writeId === writeId) return okAsync(winner.version);
  const versionsSince = winner.version - expectedVersion;
  if (versionsSince < 1 || versionsSince > maxHistoryVersions) {
    return errAsync(toConflictError(change, winner));
  }
  return dependencies
    .configHistory(versionsSince)
    .mapErr(cause => new ConfigUnknownError(writeId, {cause}))
    .andThen(history => {
      const next = history.find(({version}) => version === expectedVersion + 1);
      if (next?.writeId === writeId) return ok(next.version);
      if (next === undefined) return err(new ConfigUnknownError(writeId));
      return err(toConflictError(change, winner));
    });
}

function toConflictError(
  change: ConfigChange,
  winner: StoredConfig,
): ConfigConflictError {
  return new ConfigConflictError({
    expectedVersion: change.expectedVersion,
    winner: toSummary(winner),
    differences: differencesBetween(winner, change),
  });
}

function recordAudit(
  dependencies: AdminDependencies,
  change: ConfigChange,
  auditedAction: AuditedAction,
  result: RouterError | number,
): void {
  dependencies.audit({
    ...auditedAction,
    atWallMs: dependencies.clock.wallMs(),
    author: change.author,
    fromVersion: change.expectedVersion,
    toVersion: typeof result === 'number' ? result : undefined,
    writeId: change.writeId,
    outcome: toAuditOutcome(result),
  });
}

function toAuditOutcome(result: RouterError | number): AuditEntry['outcome'] {
  if (typeof result === 'number') return 'accepted';
  if (result.kind === 'config_conflict') return 'conflict';
  return result.kind === 'config_unknown' ? 'not_yet_known' : 'failed';
}
