/**
 * Orders engines while this instance holds the duties. The plan decides; this
 * module collects what it decides from and makes the calls.
 */
import type {Clock, InstanceId, ServiceName, Undo} from '@toucanrouter/common';
import type {
  DomainEngines,
  DutyOwnership,
  DutyStore,
  EngineCountPlan,
  EngineNeedTracker,
  EnginePlanState,
  EnginePlanStore,
  OwnedDuty,
  PlannedOrder,
  PlatformApi,
  ScalingLimits,
  ServiceDemand,
} from '@toucanrouter/duties';
import {
  createDemandTable,
  createEngineCountPlan,
  createEngineNeedTracker,
  toFencingToken,
} from '@toucanrouter/duties';
import type {Logger} from '@toucanrouter/logging';
import type {DutySettings} from '@toucanrouter/settings';
import type {ActiveConfig} from '../config/ActiveConfig.js';
import type {DutyReport} from '../peers/DutyReportCodec.js';
import {shortIdOf} from '../peers/ShortIds.js';
import type {UpstreamEntry} from '../upstreams/UpstreamEntry.js';
import type {UpstreamKnowledge} from '../upstreams/UpstreamKnowledge.js';
import type {UpstreamRegistry} from '../upstreams/UpstreamRegistry.js';

/** Options of the duty. */
export interface EngineDutyOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly instanceId: InstanceId;
  readonly store: DutyStore & EnginePlanStore;
  readonly api: PlatformApi;
  readonly settings: Pick<DutySettings, 'callsPerSecond'>;
  readonly ownership: DutyOwnership;
  readonly config: ActiveConfig;
  readonly registry: Pick<UpstreamRegistry, 'registered' | 'usable'>;
  readonly knowledge: Pick<UpstreamKnowledge, 'enginePools'>;
  /** Time since the store confirmed what this instance knows of it. */
  readonly stateAgeMs: () => number;
}

/** Engines of a kind in a failure domain, for operators. */
export interface EngineCountStatus {
  readonly service: ServiceName;
  readonly failureDomain: string;
  readonly reclaimable: boolean;
  readonly ready: number;
  readonly ordered: number;
  /** Engines of the service that are wanted in all failure domains. */
  readonly wantedInAll: number;
}

/** Orders engines until it is closed. */
export interface EngineDuty {
  start(): void;
  /** Returns the demand that this instance sees. */
  takeDemands(): readonly ServiceDemand[];
  receiveReport(report: DutyReport): void;
  /** Empty at an instance that does not hold the duties. */
  status(): readonly EngineCountStatus[];
  close(): void;
}

const checkMs = 500;
/** Time for which the peak of the demand counts. */
const peakMs = 20_000;
/** Entries may lapse while the store is away; nothing is ordered on those. */
const maxStateAgeMs = 2_500;
/** Share of the calls that the platform accepts which orders may take. */
const orderRateShare = 0.5;
const msPerSecond = 1_000;
const storeTimeoutMs = 800;
/** The platform may answer fifty times slower than usual. */
const apiTimeoutMs = 2_500;

interface ServicePlan {
  readonly plan: EngineCountPlan;
  readonly tracker: EngineNeedTracker;
}

function countEngines(
  entries: readonly UpstreamEntry[],
  usable: ReadonlySet<UpstreamEntry>,
  domains: Iterable<string>,
): ReadonlyMap<string, DomainEngines> {
  const counted = new Map<string, DomainEngines>();
  const known = new Set([
    ...domains,
    ...entries.map(({failureDomain}) => failureDomain),
  ]);
  for (const domain of known) {
    const present = entries.filter(entry => entry.failureDomain === domain);
    const ready = present.filter(entry => usable.has(entry));
    const isReclaimable = ({reclaimable}: UpstreamEntry) =>
      reclaimable === true;
    counted.set(domain, {
      ready: {
        ordinary: ready.filter(entry => !isReclaimable(entry)).length,
        reclaimable: ready.filter(isReclaimable).length,
      },
      reclaimedCount: present.filter(
        entry => isReclaimable(entry) && entry.leaving,
      ).length,
    });
  }
  return counted;
}

/** Creates a duty without orders. */
export function createEngineDuty(options: EngineDutyOptions): EngineDuty {
  const {api, clock, config, logger, ownership, registry, store} = options;
  const self = shortIdOf(options.instanceId);
  const demands = createDemandTable(clock.nowMs);
  /** The rest of the platform's rate is left to usage reports. */
  const maxOrders = Math.max(
    1,
    Math.floor(
      (options.settings.callsPerSecond * orderRateShare * checkMs) /
        msPerSecond,
    ),
  );
  let plans = new Map<ServiceName, ServicePlan>();
  let loadedFor: OwnedDuty | undefined;
  let restored: readonly EnginePlanState[] = [];
  let sequence = 0;
  let closed = false;
  let cancelCheck: Undo = () => undefined;

  function scaledServices(): readonly (readonly [
    ServiceName,
    ScalingLimits,
  ])[] {
    return [...(config.current()?.services.values() ?? [])].flatMap(
      ({name, scaling}) =>
        scaling === undefined ? [] : [[name, scaling] as const],
    );
  }

  function takeDemands(): readonly ServiceDemand[] {
    return scaledServices().map(([service]) => {
      const pools = options.knowledge.enginePools(service);
      return {
        service,
        inFlight: pools.inFlight(),
        offered: pools.offered(clock.nowMs()),
      };
    });
  }

  /** Reads what an earlier owner planned; returns false to try again. */
  async function load(duty: OwnedDuty): Promise<boolean> {
    if (loadedFor?.token === duty.token) return true;
    const read = await store.readEnginePlans(storeTimeoutMs);
    if (read.isErr()) {
      logger.info('reading the plans of engine counts failed; trying again', {
        reason: read.error.message,
      });
      return false;
    }
    restored = read.value;
    plans = new Map();
    loadedFor = duty;
    return true;
  }

  function planOf(service: ServiceName): ServicePlan {
    const known = plans.get(service);
    if (known !== undefined) return known;
    const bootMs = () =>
      config.current()?.services.get(service)?.scaling?.bootMs ?? 0;
    const created = {
      plan: createEngineCountPlan(
        service,
        restored.find(state => state.service === service),
      ),
      tracker: createEngineNeedTracker({peakMs, bootMs}),
    };
    plans.set(service, created);
    return created;
  }

  async function orderAll(): Promise<void> {
    const duty = ownership.current();
    if (duty === undefined || !(await load(duty))) return;
    sequence += 1;
    demands.receive(self, sequence, takeDemands());
    if (options.stateAgeMs() > maxStateAgeMs) return;
    for (const [service, limits] of scaledServices()) {
      await orderFor(service, limits);
    }
  }

  async function orderFor(
    service: ServiceName,
    limits: ScalingLimits,
  ): Promise<void> {
    const {plan, tracker} = planOf(service);
    const nowMs = clock.nowMs();
    const usable = registry.usable(service);
    tracker.observe(demands.totalOf(service), usable[0]?.slots ?? 1, nowMs);
    const engines = countEngines(
      registry.registered(service),
      new Set(usable),
      limits.domainPrices.keys(),
    );
    const need = tracker.need(nowMs);
    const orders = plan
      .update({nowMs, limits, engines, need})
      .slice(0, maxOrders);
    let acceptedCount = 0;
    for (const order of orders) {
      const outcome = await send(service, order);
      if (outcome === 'accepted') {
        plan.accepted(order, clock.nowMs());
        acceptedCount += 1;
      } else if (outcome === 'unavailable') {
        plan.unavailable(order, clock.nowMs());
      } else {
        if (outcome === 'unanswered') plan.unanswered(order, clock.nowMs());
        break;
      }
    }
    if (acceptedCount > 0) await save(plan);
  }

  async function send(
    service: ServiceName,
    {count, failureDomain, reason, reclaimable}: PlannedOrder,
  ): Promise<'accepted' | 'failed' | 'unanswered' | 'unavailable'> {
    const duty = ownership.current();
    if (duty === undefined) return 'failed';
    const order = {service, failureDomain, reclaimable, count};
    const answer = await api.orderEngines(order, duty, apiTimeoutMs);
    const outcome = answer.isErr()
      ? 'unanswered'
      : answer.value === 'refused'
        ? await explainRefusal(duty)
        : answer.value === 'accepted'
          ? 'accepted'
          : 'failed';
    logger.info('engines ordered', {
      service,
      failureDomain,
      reclaimable,
      count,
      reason,
      outcome,
      fault: answer.isErr() ? answer.error.message : undefined,
      token: duty.token,
    });
    return outcome;
  }

  /** The platform refuses a lower token and engines that it lacks alike. */
  async function explainRefusal(
    duty: OwnedDuty,
  ): Promise<'failed' | 'unavailable'> {
    const read = await store.readDuty(storeTimeoutMs);
    if (read.isErr()) return 'failed';
    const token =
      read.value && toFencingToken(read.value.era, read.value.createdRevision);
    if (token === duty.token) return 'unavailable';
    ownership.lost('an order was refused, and the store shows another owner');
    return 'failed';
  }

  async function save(plan: EngineCountPlan): Promise<void> {
    const state = plan.state();
    const duty = ownership.current();
    if (state === undefined || duty === undefined) return;
    const written = await store.writeEnginePlan(state, duty, storeTimeoutMs);
    if (written.isErr()) {
      logger.info('writing the plan of engine counts failed', {
        service: state.service,
        reason: written.error.message,
      });
    } else if (!written.value) ownership.lost('the store shows another owner');
  }

  async function check(): Promise<void> {
    await orderAll();
    if (!closed) cancelCheck = clock.after(checkMs, () => void check());
  }

  function statusOf(service: ServiceName): readonly EngineCountStatus[] {
    const plan = plans.get(service)?.plan;
    const ordered = plan?.state()?.ordered ?? new Map();
    const usable = registry.usable(service);
    return [...ordered].flatMap(([failureDomain, counts]) =>
      [true, false].map(reclaimable => ({
        service,
        failureDomain,
        reclaimable,
        ready: usable.filter(
          entry =>
            entry.failureDomain === failureDomain &&
            (entry.reclaimable === true) === reclaimable,
        ).length,
        ordered: reclaimable ? counts.reclaimable : counts.ordinary,
        wantedInAll: plan?.wantedCount() ?? 0,
      })),
    );
  }

  return {
    start: () => void check(),
    takeDemands,
    receiveReport: ({
      demands: reported,
      instanceId,
      sequence: reportSequence,
    }) => demands.receive(instanceId, reportSequence, reported),
    status: () =>
      ownership.current() === undefined
        ? []
        : [...plans.keys()].flatMap(statusOf),
    close: () => {
      closed = true;
      cancelCheck();
    },
  };
}
