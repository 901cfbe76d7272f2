/**
 * Keeps calls away from engines that their prompt would crash. It tells the
 * quarantine what happens to calls, and logs its verdicts.
 */
import type {
  Clock,
  RandomSource,
  RequestId,
  UpstreamInfo,
} from '@toucanrouter/common';
import {RouterError} from '@toucanrouter/common';
import type {Logger} from '@toucanrouter/logging';
import type {
  Conviction,
  QuarantineReport,
  SegmentHash,
} from '@toucanrouter/policy';
import {
  createCrashDetector,
  createPromptQuarantine,
  requestHashOf,
  upstreamStartHashOf,
} from '@toucanrouter/policy';
import type {ProbeResult} from './EngineProbe.js';

/** Options of a guard. */
export interface PromptGuardOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: RandomSource;
  readonly probe: (address: string) => Promise<ProbeResult>;
  /** Returns the present entry of an upstream. */
  readonly find: (id: UpstreamInfo['id']) => UpstreamInfo | undefined;
  /** There is something new to report to peers. */
  readonly onNews: () => void;
}

/** Guards the calls of an instance. */
export interface PromptGuard {
  /** Returns the refusal of a call that must not be sent now. */
  check(segments: readonly SegmentHash[]): RouterError | undefined;
  /**
   * Returns the refusal of a call that is about to be sent. After the end of a
   * verdict it lets single calls pass, which show whether it still holds.
   */
  tryPass(segments: readonly SegmentHash[]): RouterError | undefined;
  /** Records tokens that an engine sent. */
  tokensReceived(engine: UpstreamInfo): void;
  /** Records a complete response. */
  answered(engine: UpstreamInfo, segments: readonly SegmentHash[]): void;
  /**
   * Records a connection that broke before the end of the response. Resolves to
   * true if the engine has ended.
   */
  connectionBroke(
    engine: UpstreamInfo,
    requestId: RequestId,
    segments: readonly SegmentHash[],
  ): Promise<boolean>;
  /** Returns what peers should know now; undefined if there is nothing. */
  takeReport(): QuarantineReport | undefined;
  receiveReport(report: QuarantineReport): void;
  /** Returns the number of segments that are blocked now. */
  blockedCount(): number;
  /** Returns the number of engines that ended under calls. */
  crashCount(): number;
  close(): void;
}

const hexRadix = 16;
const hashHexLength = 8;

function toHex(hash: number): string {
  return hash.toString(hexRadix).padStart(hashHexLength, '0');
}

function blockedError(retryAfterMs: number): RouterError {
  const message = 'a message of the prompt crashes the engines of its model';
  return new RouterError('prompt_quarantined', message, {retryAfterMs});
}

/** Creates a guard that blocks nothing yet. */
export function createPromptGuard(options: PromptGuardOptions): PromptGuard {
  const {clock, logger} = options;

  function logConviction(conviction: Conviction): void {
    logger.warn('prompt segment quarantined', {
      segment: toHex(conviction.segment),
      upstreams: conviction.upstreams.map(toHex),
      requests: conviction.requests.map(toHex),
      blockedMs: Math.round(conviction.durationMs),
      reportedByPeer: conviction.adopted,
    });
  }

  const quarantine = createPromptQuarantine({
    random: options.random,
    onConvicted: logConviction,
    onCleared: (segment, reason) =>
      logger.info('prompt segment cleared', {segment: toHex(segment), reason}),
    onExpired: segment =>
      logger.info('prompt segment is no longer quarantined', {
        segment: toHex(segment),
      }),
    onNews: options.onNews,
  });
  /** True once a process with the same id has taken the place of `engine`. */
  function isReplaced({id, incarnation}: UpstreamInfo): boolean {
    const current = options.find(id);
    return current !== undefined && current.incarnation > incarnation;
  }

  const detector = createCrashDetector({
    clock,
    startHashOf: ({id, incarnation}: UpstreamInfo) =>
      upstreamStartHashOf(id, incarnation),
    hasEnded: async engine =>
      (await options.probe(engine.address)) === 'refused' || isReplaced(engine),
    isUsable: engine =>
      !engine.leaving && options.find(engine.id)?.leaving !== true,
    onCrash: crash => quarantine.recordCrash(crash, clock.nowMs()),
  });

  return {
    check: segments => {
      const remainingMs = quarantine.blockedMs(segments, clock.nowMs());
      return remainingMs === undefined ? undefined : blockedError(remainingMs);
    },
    tryPass: segments => {
      const blocked = quarantine.tryPass(segments, clock.nowMs());
      return blocked === undefined
        ? undefined
        : blockedError(blocked.remainingMs);
    },
    tokensReceived: ({id, incarnation}) =>
      quarantine.recordAlive(
        upstreamStartHashOf(id, incarnation),
        clock.nowMs(),
      ),
    answered: ({id, incarnation}, segments) =>
      quarantine.recordAnswer(
        upstreamStartHashOf(id, incarnation),
        segments,
        clock.nowMs(),
      ),
    connectionBroke: async (engine, requestId, segments) => {
      if (segments.length === 0) return false;
      logger.info('connection broke before the end of the response', {
        requestId,
        upstream: engine.id,
        softwareVersion: engine.softwareVersion,
        upstreamHash: toHex(upstreamStartHashOf(engine.id, engine.incarnation)),
        requestHash: toHex(requestHashOf(requestId)),
        segments: segments.map(toHex),
      });
      const request = requestHashOf(requestId);
      return new Promise(resolve => {
        detector.connectionEnded(engine, {request, segments}, resolve);
      });
    },
    takeReport: () => quarantine.takeReport(clock.nowMs()),
    receiveReport: report => quarantine.receive(report, clock.nowMs()),
    blockedCount: () => quarantine.blockedCount(clock.nowMs()),
    crashCount: quarantine.crashCount,
    close: detector.close,
  };
}
