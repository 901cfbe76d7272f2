/**
 * Builders of requests and classes, and fakes of the dependencies of the shard
 * scheduler.
 */
import type {
  AcquireRequest,
  AnnouncedPermit,
  PermitId,
  PermitRelease,
  SchedulerEffect,
  ServiceClass,
  Tier,
  UpstreamId,
  UpstreamInfo,
  UpstreamState,
} from '@toucanrouter/common';
import {
  createSeededRandom,
  toClassId,
  toInstanceId,
  toPermitId,
  toRequestId,
  toShardId,
  toUpstreamId,
  toWorkspaceId,
} from '@toucanrouter/common';
import type {
  JobStart,
  LengthModel,
  SchedulerParameters,
  ShardScheduler,
  UpstreamTracker,
} from '../../index.js';
import {createShardScheduler} from '../../index.js';

export const shardId = toShardId('engine:model@region');
export const holder = toInstanceId('entry-1');

export interface FakeTracker extends UpstreamTracker {
  /** Jobs that are running. */
  readonly jobs: ReadonlyMap<PermitId, JobStart>;
  setLimit(upstreamId: UpstreamId, limit: number): void;
  setState(upstreamId: UpstreamId, state: UpstreamState): void;
}

/** A tracker with limits and states that the test sets; suspects run low tiers. */
export function createFakeTracker(defaultLimit = 1): FakeTracker {
  const jobs = new Map<PermitId, JobStart>();
  const limits = new Map<UpstreamId, number>();
  const states = new Map<UpstreamId, UpstreamState>();
  let known: readonly UpstreamInfo[] = [];
  const stateOf = (id: UpstreamId): UpstreamState => {
    const info = known.find(entry => entry.id === id);
    if (info === undefined || info.leaving) return 'leaving';
    return states.get(id) ?? 'healthy';
  };
  return {
    jobs,
    setLimit: (id, limit) => limits.set(id, limit),
    setState: (id, state) => states.set(id, state),
    setUpstreams: upstreams => {
      known = upstreams;
    },
    ids: () => known.map(info => info.id),
    state: stateOf,
    reason: () => 'set by test',
    limit: (id, tier) => {
      const limit = limits.get(id) ?? defaultLimit;
      // A leaving upstream keeps its limit, to test that the scheduler checks
      // the state as well.
      if (stateOf(id) !== 'suspect') return limit;
      return tier >= 3 ? Math.min(1, limit) : 0;
    },
    inFlight: id =>
      [...jobs.values()].filter(job => job.upstreamId === id).length,
    started: job => jobs.set(job.permitId, job),
    progressed: () => {},
    ended: release => jobs.delete(release.permitId),
    tick: () => {},
  };
}

/** A length model with a fixed quantile, or undefined for no observations. */
export function createFakeLengthModel(tokens?: number): LengthModel {
  return {observe: () => {}, quantile: () => tokens};
}

export function upstream(
  name: string,
  overrides: Partial<UpstreamInfo> = {},
): UpstreamInfo {
  return {
    id: toUpstreamId(name),
    kind: 'engine',
    serves: 'model',
    address: '127.0.0.1:1',
    region: 'region',
    failureDomain: 'a',
    incarnation: 1,
    softwareVersion: undefined,
    leaving: false,
    ...overrides,
  };
}

export function serviceClass(
  name: string,
  tier: Tier,
  overrides: Partial<ServiceClass> = {},
): ServiceClass {
  return {
    id: toClassId(name),
    tier,
    target: {firstTokenMs: 400 * tier},
    idempotent: true,
    maxWaitMs: 5000,
    match: {models: ['model'], services: [], methods: [], paths: []},
    ...overrides,
  };
}

/** A request of class `t<tier>` that arrives at `arrivedAtMs`. */
export function acquireRequest(
  name: string,
  tier: Tier,
  arrivedAtMs: number,
  overrides: Partial<AcquireRequest> = {},
): AcquireRequest {
  return {
    requestId: toRequestId(name),
    holder,
    classId: toClassId(`t${tier}`),
    workspaceId: toWorkspaceId('w'),
    fallbackTier: tier,
    arrivedAtMs,
    deadlineAtMs: arrivedAtMs + 60_000,
    attempt: 1,
    idempotent: true,
    promptTokens: 10,
    exclude: [],
    hedge: false,
    ...overrides,
  };
}

export function permitRelease(
  permitId: PermitId,
  overrides: Partial<PermitRelease> = {},
): PermitRelease {
  return {
    permitId,
    outcome: 'completed',
    tokens: 10,
    wastedTokens: 0,
    serviceMs: 100,
    ...overrides,
  };
}

export function announcedPermit(
  name: string,
  tier: Tier,
  upstreamId: UpstreamId,
  overrides: Partial<AnnouncedPermit> = {},
): AnnouncedPermit {
  return {
    permitId: toPermitId(`adopted-${name}`),
    requestId: toRequestId(name),
    holder,
    classId: toClassId(`t${tier}`),
    workspaceId: toWorkspaceId('w'),
    fallbackTier: tier,
    upstreamId,
    idempotent: true,
    tokens: 0,
    grantedAtMs: 0,
    arrivedAtMs: 0,
    ...overrides,
  };
}

export interface Setup {
  readonly scheduler: ShardScheduler;
  readonly tracker: FakeTracker;
}

export interface SetupOptions {
  readonly upstreams?: readonly UpstreamInfo[];
  readonly limit?: number;
  readonly classes?: readonly ServiceClass[];
  readonly lengths?: LengthModel;
  readonly parameters?: Partial<SchedulerParameters>;
}

/** A scheduler with one class for each tier and one upstream by default. */
export function setUp(options: SetupOptions = {}): Setup {
  const tracker = createFakeTracker(options.limit);
  let permits = 0;
  const scheduler = createShardScheduler({
    shardId,
    tracker,
    lengths: options.lengths ?? createFakeLengthModel(),
    random: createSeededRandom(1),
    createPermitId: () => toPermitId(`p${++permits}`),
    parameters: options.parameters,
  });
  const tiers: readonly Tier[] = [1, 2, 3, 4];
  const classes = options.classes ?? tiers.map(t => serviceClass(`t${t}`, t));
  scheduler.setClasses(classes, 0);
  scheduler.setUpstreams(options.upstreams ?? [upstream('u1')], 0);
  return {scheduler, tracker};
}

/** Effects as short strings, such as `grant a p1@u1` or `refuse b overloaded`. */
export function summarize(
  effects: readonly SchedulerEffect[],
): readonly string[] {
  return effects.map(effect => {
    const subject = `${effect.kind} ${effect.requestId}`;
    switch (effect.kind) {
      case 'grant':
        return `${subject} ${effect.permitId}@${effect.upstreamId}`;
      case 'refuse':
        return `${subject} ${effect.error}`;
      case 'preempt':
        return `${subject} ${effect.reason}`;
      case 'suspect':
        return subject;
    }
  });
}

/** The permit of the first grant among `effects`. */
export function grantedPermit(effects: readonly SchedulerEffect[]): PermitId {
  for (const effect of effects) {
    if (effect.kind === 'grant') return effect.permitId;
  }
  throw new Error(`no grant among: ${summarize(effects).join(', ')}`);
}
