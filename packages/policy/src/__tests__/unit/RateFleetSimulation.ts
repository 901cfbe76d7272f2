/**
 * Simulates instances that share the rate of one upstream: requests arrive at
 * random, reports take time and may be lost, instances restart, freeze or lose
 * contact with each other. It counts what reaches the upstream.
 */
import type {RandomSource, ServiceName} from '@toucanrouter/common';
import {createSeededRandom, toUpstreamId} from '@toucanrouter/common';
import type {RateReport, UpstreamProcess, UpstreamRates} from '../../index.js';
import {createUpstreamRates} from '../../index.js';

/** What happens in a simulation. */
export interface RateFleetOptions {
  readonly seed: number;
  readonly instances: number;
  readonly limitPerS: number;
  /** Requests a second of one instance by tier, the most urgent first. */
  readonly demandPerS: (instance: number) => readonly number[];
  readonly reportIntervalMs: number;
  /** Share of the reports that is lost. */
  readonly lostShare?: number;
  /** Returns whether the instance is gone at that moment. */
  readonly isAway?: (instance: number, nowMs: number) => boolean;
  /** Returns whether the instances cannot reach each other at that moment. */
  readonly isCut?: (a: number, b: number, nowMs: number) => boolean;
  /** When the upstream states its limit. */
  readonly limitedFromMs?: number;
  readonly limitedUntilMs?: number;
  readonly durationMs: number;
}

/** A request that reached the upstream. */
export interface SentRequest {
  readonly atMs: number;
  readonly instance: number;
  readonly tier: number;
  /**
   * When the instance got its first response with a limit since its start;
   * undefined if it had none.
   */
  readonly toldAtMs: number | undefined;
}

const stepMs = 5;
const reportDelayMs = 5;
const responseMs = 30;
const service = 'service' as ServiceName;
const upstream: UpstreamProcess = {id: toUpstreamId('engine'), start: 1};
const rated = {process: upstream, service};

interface Simulated {
  rates: UpstreamRates<number>;
  isAway: boolean;
  toldAtMs: number | undefined;
  nextReportMs: number;
}

interface Pending<Item> {
  readonly atMs: number;
  readonly item: Item;
}

function takeDue<Item>(queue: Pending<Item>[], nowMs: number): Item[] {
  const due = queue.filter(({atMs}) => atMs <= nowMs);
  queue.splice(0, queue.length, ...queue.filter(({atMs}) => atMs > nowMs));
  return due.map(({item}) => item);
}

/** Runs a simulation; the requests that were sent are in order. */
export function simulateRateFleet(
  options: RateFleetOptions,
): readonly SentRequest[] {
  const {durationMs, instances, limitPerS, reportIntervalMs} = options;
  const limitedFromMs = options.limitedFromMs ?? 0;
  const limitedUntilMs = options.limitedUntilMs ?? Infinity;
  const random: RandomSource = createSeededRandom(options.seed);
  const ids = Array.from({length: instances}, (_, index) => index + 1);
  const createRates = (index: number, startedAtMs: number) =>
    createUpstreamRates<number>({
      selfId: index + 1,
      startedAtMs,
      peerIds: () => ids,
      upstreamsOf: () => [upstream],
    });
  const fleet: Simulated[] = ids.map((_, index) => ({
    rates: createRates(index, 0),
    isAway: false,
    toldAtMs: undefined,
    nextReportMs: random.next() * reportIntervalMs,
  }));
  const reports: Pending<{to: number; report: RateReport<number>}>[] = [];
  const responses: Pending<{
    to: number;
    sentAtMs: number;
    rates: UpstreamRates<number>;
    perS: number | undefined;
  }>[] = [];
  const sent: SentRequest[] = [];

  function sendReport(from: number, nowMs: number): void {
    const report = fleet[from]?.rates.takeReport(nowMs);
    if (report === undefined) return;
    for (const to of fleet.keys()) {
      if (to === from || options.isCut?.(from, to, nowMs) === true) continue;
      if (random.next() < (options.lostShare ?? 0)) continue;
      reports.push({atMs: nowMs + reportDelayMs, item: {to, report}});
    }
  }

  for (let nowMs = 0; nowMs < durationMs; nowMs += stepMs) {
    for (const [index, each] of fleet.entries()) {
      const isAway = options.isAway?.(index, nowMs) === true;
      if (each.isAway && !isAway) {
        each.rates = createRates(index, nowMs);
        each.toldAtMs = undefined;
      }
      each.isAway = isAway;
    }
    for (const {to, report} of takeDue(reports, nowMs)) {
      const receiver = fleet[to];
      if (receiver?.isAway === false)
        receiver.rates.receiveReport(report, nowMs);
    }
    for (const {to, sentAtMs, rates, perS} of takeDue(responses, nowMs)) {
      const receiver = fleet[to];
      if (receiver === undefined || receiver.rates !== rates) continue;
      if (perS !== undefined) receiver.toldAtMs ??= nowMs;
      rates.receive(upstream, {perS, problem: undefined}, sentAtMs, nowMs);
    }
    for (const [index, each] of fleet.entries()) {
      if (each.isAway) continue;
      if (each.nextReportMs <= nowMs) {
        each.nextReportMs = nowMs + reportIntervalMs;
        sendReport(index, nowMs);
      }
      for (const [tier, perS] of options.demandPerS(index).entries()) {
        if (random.next() >= (perS * stepMs) / 1_000) continue;
        each.rates.recordDemand(service, tier, nowMs);
        if (each.rates.waitMs(rated, tier, nowMs) > 0) continue;
        each.rates.take(rated, nowMs);
        sent.push({
          atMs: nowMs,
          instance: index,
          tier,
          toldAtMs: each.toldAtMs,
        });
        const isLimited = nowMs >= limitedFromMs && nowMs < limitedUntilMs;
        responses.push({
          atMs: nowMs + responseMs,
          item: {
            to: index,
            sentAtMs: nowMs,
            rates: each.rates,
            perS: isLimited ? limitPerS : undefined,
          },
        });
      }
    }
  }
  return sent;
}

/** The most requests in any span of `spanMs` that begins at `fromMs` or later. */
export function mostWithin(
  sent: readonly SentRequest[],
  spanMs: number,
  fromMs: number,
): number {
  const times = sent.map(({atMs}) => atMs).filter(atMs => atMs >= fromMs);
  return times.reduce((most, atMs, index) => {
    const count = times
      .slice(index)
      .filter(other => other < atMs + spanMs).length;
    return Math.max(most, count);
  }, 0);
}
