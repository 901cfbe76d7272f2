/**
 * One request of the simulation, from its caller through an instance to engines.
 * The caller retries a refused request once and gives up a silent stream, as the
 * callers of the deployments do.
 */
import {toClassId} from '@toucanrouter/common';
import type {
  Choice,
  GatewayRoute,
  Prompt,
  RequestPlacement,
  UpstreamKnowledge,
} from '@toucanrouter/gateway';
import {
  createRequestPlacement,
  retryDelayMs,
  upstreamPriority,
} from '@toucanrouter/gateway';
import type {SimulatedFleet, SimulatedInstance} from './FleetSimulation.js';
import {networkDelayMs} from './FleetSimulation.js';
import type {PromptArrival, PromptClass} from './PromptWorkload.js';

/** How a request ended for its caller. */
export type RequestOutcome = 'failed' | 'inTime' | 'late' | 'refused';

/** What the caller observed. */
export interface RequestRecord {
  readonly arrival: PromptArrival;
  outcome: RequestOutcome;
  callerAttempts: number;
  /** Time from the first attempt to the first event. */
  firstEventMs: number | undefined;
  longestGapMs: number;
}

/** Creates the record of a request that has not arrived. */
export function createRecord(arrival: PromptArrival): RequestRecord {
  return {
    arrival,
    outcome: 'failed',
    callerAttempts: 0,
    firstEventMs: undefined,
    longestGapMs: 0,
  };
}

/** Delay between a caller and an instance, both ways. */
const callerRoundTripMs = 6;
const maxCallerAttempts = 2;
const maxUpstreams = 2;
/** Callers allow this many times what they expect; most output is far shorter. */
const maxOutputFactor = 2;
/** A caller gives up a stream that is silent for the longest of these. */
const minPatienceMs = 2_000;
const patienceTargets = 4;
const patienceGaps = 8;

function patienceMs({targetGapMs, targetLatencyMs}: PromptClass): number {
  return Math.max(
    minPatienceMs,
    patienceTargets * targetLatencyMs,
    patienceGaps * targetGapMs,
  );
}

function toRoute(
  fleet: SimulatedFleet,
  promptClass: PromptClass,
): GatewayRoute {
  return {
    classId: toClassId(promptClass.name),
    host: 'simulated',
    pathPrefix: `/${promptClass.name}/`,
    targets: [{service: fleet.service, weight: 1}],
    streams: true,
    retryPolicy: promptClass.resumable ? 'resume' : 'never',
    maxUpstreams: promptClass.resumable ? maxUpstreams : 1,
    timeoutMs: promptClass.timeoutMs,
    targetLatencyMs: promptClass.targetLatencyMs,
    targetGapMs: promptClass.targetGapMs,
    tier: promptClass.tier,
    anonymous: true,
  };
}

function toPrompt(fleet: SimulatedFleet, arrival: PromptArrival): Prompt {
  const {tokensPerEvent} = fleet.shape;
  return {
    segments: arrival.segments.map(([id, tokens]) => ({id, tokens})),
    promptTokens: arrival.promptTokens,
    maxOutputTokens: arrival.events * tokensPerEvent * maxOutputFactor,
  };
}

/** Sends the request of a record to its instance, or to the next one. */
export function serveArrival(
  fleet: SimulatedFleet,
  record: RequestRecord,
): void {
  const {instance} = record.arrival;
  const index = (instance + record.callerAttempts) % fleet.instances.length;
  record.callerAttempts += 1;
  startCallerAttempt(fleet, record, fleet.instances[index]!);
}

function startCallerAttempt(
  fleet: SimulatedFleet,
  record: RequestRecord,
  {context, knowledge}: SimulatedInstance,
): void {
  const {loop, service} = fleet;
  const {arrival} = record;
  const {promptClass} = arrival;
  const route = toRoute(fleet, promptClass);
  const placement: RequestPlacement = createRequestPlacement(context, {
    prompt: toPrompt(fleet, arrival),
    route,
    tier: promptClass.tier,
    service,
    servesModels: true,
    leastUrgent: promptClass.tier >= fleet.leastUrgentTier,
    mayServe: () => true,
    isPreferred: () => true,
  });
  const used: Choice[] = [];
  const remainingMs = () => arrival.atMs + promptClass.timeoutMs - loop.nowMs();

  function retryLater(delayMs: number): void {
    if (record.callerAttempts >= maxCallerAttempts) return;
    loop.after(delayMs + callerRoundTripMs, () => serveArrival(fleet, record));
  }

  function refuse(backlogMs: number): void {
    record.outcome = 'refused';
    const {targetLatencyMs, tier} = promptClass;
    retryLater(
      retryDelayMs({
        tier,
        targetLatencyMs,
        backlogMs,
        remainingMs: remainingMs(),
        random: fleet.random,
      }),
    );
  }

  function fail(): void {
    record.outcome = 'failed';
    if (record.firstEventMs === undefined) retryLater(0);
  }

  function tryNext(onNoneLeft: () => void): void {
    if (used.length < route.maxUpstreams) attempt(onNoneLeft);
    else onNoneLeft();
  }

  function attempt(onNoneLeft: () => void): void {
    const choice = placement.choose(
      id => !used.some(({candidate: {entry}}) => entry.id === id),
    );
    if (choice === undefined) return onNoneLeft();
    if (used.length === 0) {
      placement.recordOffered(choice);
      const reason = placement.overloadReason(choice, remainingMs());
      if (reason !== undefined) return refuse(choice.expectedMs);
    }
    used.push(choice);
    startEngineAttempt(fleet, record, knowledge, placement, choice, {
      onRejected: () => tryNext(() => refuse(0)),
      onFailed: () => (promptClass.resumable ? tryNext(fail) : fail()),
    });
  }

  attempt(() => refuse(0));
}

/** What follows an attempt that did not complete. */
interface EngineAttemptHandler {
  readonly onRejected: () => void;
  readonly onFailed: () => void;
}

function startEngineAttempt(
  fleet: SimulatedFleet,
  record: RequestRecord,
  knowledge: UpstreamKnowledge,
  placement: RequestPlacement,
  choice: Choice,
  handler: EngineAttemptHandler,
): void {
  const {clock, loop} = fleet;
  const {arrival} = record;
  const {promptClass} = arrival;
  const {entry, health} = choice.candidate;
  const {responseStats} = knowledge;
  const classId = toClassId(promptClass.name);
  const work = {promptTokens: choice.uncachedPromptTokens};
  const sentAtMs = loop.nowMs();
  const recordEnd = placement.recordSent(choice);
  let lastEventAtMs: number | undefined;
  let events = 0;
  let ended = false;
  let cancelOnEngine: (() => void) | undefined;
  let cancelPatience = (): void => undefined;

  health.requestStarted(work);

  function end(): boolean {
    if (ended) return false;
    ended = true;
    cancelPatience();
    recordEnd();
    health.requestEnded(work, lastEventAtMs !== undefined);
    return true;
  }

  function giveUp(): void {
    if (!end()) return;
    cancelOnEngine?.();
    record.outcome = 'failed';
  }

  function restartPatience(): void {
    cancelPatience();
    const deadlineMs = arrival.atMs + promptClass.timeoutMs - loop.nowMs();
    const silenceMs = patienceMs(promptClass);
    cancelPatience = clock.after(Math.min(silenceMs, deadlineMs), giveUp);
  }

  function handleEvent(): void {
    if (ended) return;
    const nowMs = loop.nowMs();
    if (lastEventAtMs === undefined) {
      const observedMs = nowMs - sentAtMs;
      health.recordFirstResponse(work, observedMs, choice.expectedMs);
      placement.recordFirstResponse(choice, observedMs);
      record.firstEventMs ??= nowMs - arrival.atMs + callerRoundTripMs;
    } else {
      const gapMs = nowMs - lastEventAtMs;
      health.recordEventGap(gapMs, nowMs);
      responseStats.recordEventGap(classId, gapMs);
      knowledge.engineModel(fleet.service).observeEventGap(gapMs);
      record.longestGapMs = Math.max(record.longestGapMs, gapMs);
    }
    lastEventAtMs = nowMs;
    events += 1;
    restartPatience();
  }

  function handleEnd(): void {
    if (!end()) return;
    const nowMs = loop.nowMs();
    health.recordOutcome('served', nowMs);
    responseStats.recordCompleted(classId, events, nowMs - sentAtMs);
    const onTime =
      (record.firstEventMs ?? Infinity) <= promptClass.targetLatencyMs &&
      record.longestGapMs <= promptClass.targetGapMs;
    record.outcome = onTime ? 'inTime' : 'late';
  }

  function handleFailure(outcome: 'failed' | 'refused'): void {
    if (!end()) return;
    health.recordOutcome(outcome, loop.nowMs());
    if (outcome === 'refused') handler.onRejected();
    else handler.onFailed();
  }

  loop.after(networkDelayMs, () => {
    if (ended) return;
    cancelOnEngine = fleet.engines.get(entry.id)?.submit({
      segments: arrival.segments,
      outputTokens: arrival.events * fleet.shape.tokensPerEvent,
      priority: upstreamPriority(promptClass.tier, promptClass.tier),
      onEvent: handleEvent,
      onEnd: handleEnd,
      onFailed: () => handleFailure('failed'),
    });
    if (cancelOnEngine === undefined) handleFailure('refused');
  });
  restartPatience();
}
