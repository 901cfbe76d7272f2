/**
 * Simulation of router instances that claim keys through several writers of one
 * shard. Commands control the platform's responses and the message network.
 */
import type {ClaimReply, Clock, ManualClock} from '@toucanrouter/common';
import {
  createManualClock,
  toClaimId,
  toInstanceId,
  toWorkspaceId,
} from '@toucanrouter/common';
import type {ControlledKeyValue, PendingCall} from '@toucanrouter/standins';
import {createControlledKeyValue} from '@toucanrouter/standins';
import type {ClaimWriter} from '../../index.js';
import {createClaimWriter} from '../../index.js';
import type {ClaimOracle} from './ClaimOracle.js';
import {createClaimOracle} from './ClaimOracle.js';

/** Small limits, so that segments fill up and expire within a case. */
export const fuzzLimits = {
  maxSegmentBytes: 700,
  maxSegmentAgeMs: 4000,
  retentionMs: 60_000,
};

export const operationTimeoutMs = 3000;

/** Callers stop waiting after this time, which is far below the retention. */
export const callerTimeoutMs = 20_000;

/** A call as seen by the instance that received it and owns its claim. */
export interface Call {
  readonly claimId: string;
  readonly key: string;
  readonly requestHash: string;
  readonly startedAtMs: number;
  /**
   * Waiting for the claim, running on an upstream, completed, or lost in a
   * crash of its owner.
   */
  state: 'waiting' | 'running' | 'done' | 'dead';
  ran: boolean;
}

/** A message in the network. */
export interface Message {
  readonly to: string;
  /** False when the sender would detect the loss and send the message again. */
  readonly mayBeLost: () => boolean;
  readonly deliver: () => void;
}

/** A writer whose timers and messages can be paused. */
export interface WriterProcess {
  readonly name: string;
  readonly writer: ClaimWriter;
  paused: boolean;
}

/** State and actions of a simulation, for commands. */
export interface ClaimSimulation {
  readonly clock: ManualClock;
  readonly platform: ControlledKeyValue;
  readonly oracle: ClaimOracle;
  readonly writers: readonly WriterProcess[];
  readonly calls: Call[];
  readonly messages: Message[];
  startCall(key: string, requestHash: string, writer: number): void;
  sendClaim(call: Call, writer: number): void;
  abandonCall(call: Call, writer: number): void;
  endCall(
    call: Call,
    how: 'completed' | 'unknown' | 'large',
    writer: number,
  ): void;
  /** Sends a second, different end for a call that has ended. */
  endCallAgain(call: Call, writer: number): void;
  setPaused(writer: number, paused: boolean): void;
  /** Pending platform calls of writers that are not paused. */
  pendingCalls(): readonly PendingCall[];
}

/** Lets pending promise callbacks run. */
export const flushPromises = () =>
  new Promise(resolve => setImmediate(resolve));

/** Creates a simulation with `writerCount` writers of one shard. */
export function createClaimSimulation(writerCount: number): ClaimSimulation {
  const clock = createManualClock(1000);
  const platform = createControlledKeyValue();
  const oracle = createClaimOracle(clock, fuzzLimits.retentionMs);
  const calls: Call[] = [];
  const messages: Message[] = [];
  const writers = Array.from({length: writerCount}, (_, i) =>
    createWriterProcess(`writer ${i}`, platform, clock),
  );
  platform.state.registerCommitListener(oracle.stored.observeCommit);

  function writerAt(index: number): WriterProcess {
    const writerProcess = writers[index % writerCount];
    if (writerProcess === undefined) throw new Error('no writer');
    return writerProcess;
  }

  function toReference(call: Call) {
    return {
      claimId: toClaimId(call.claimId),
      workspaceId: toWorkspaceId('w'),
      idempotencyKey: call.key,
    };
  }

  function sendClaim(call: Call, index: number): void {
    const writerProcess = writerAt(index);
    const request = {
      ...toReference(call),
      requestHash: call.requestHash,
      owner: toInstanceId('entry'),
    };
    const deliver = () =>
      void writerProcess.writer.claim(request).then(result =>
        messages.push({
          to: 'entry',
          mayBeLost: () => call.state === 'waiting',
          deliver: () =>
            result.match(
              reply => handleReply(call, reply),
              () => handleError(call, index),
            ),
        }),
      );
    messages.push({to: writerProcess.name, mayBeLost: () => true, deliver});
  }

  function handleReply(call: Call, reply: ClaimReply): void {
    oracle.observeReply(call, reply);
    const waitedMs = clock.nowMs() - call.startedAtMs;
    // An owner that was paused notices the timeout too, as it reads its clock
    // when it resumes.
    if (waitedMs >= callerTimeoutMs) abandonCall(call, 0);
    if (call.state !== 'waiting') return handleLateReply(call, reply);
    if (reply.kind === 'claimed') {
      call.state = 'running';
      call.ran = true;
      oracle.observeRun(call);
      return;
    }
    call.state = 'done';
    if (reply.kind === 'key_reused') oracle.observeNotRun(call);
  }

  /**
   * A late claim doesn't start the call. It is released unless the call ran.
   */
  function handleLateReply(call: Call, reply: ClaimReply): void {
    if (reply.kind === 'claimed') releaseUnusedClaim(call, 0);
  }

  /**
   * A claim that failed may still be stored, so it is released, also when the
   * call completed on another reply.
   */
  function handleError(call: Call, index: number): void {
    if (call.state === 'waiting') abandonCall(call, index);
    else releaseUnusedClaim(call, index);
  }

  function releaseUnusedClaim(call: Call, index: number): void {
    if (call.state !== 'done' || call.ran) return;
    sendEnd(call, {kind: 'not_sent'}, index);
  }

  /** Sends the end to one writer after the other until one confirms it. */
  function sendEnd(
    call: Call,
    end: Parameters<ClaimWriter['end']>[1],
    index: number,
  ): void {
    const writerProcess = writerAt(index);
    const deliver = () =>
      void writerProcess.writer.end(toReference(call), end).match(
        () => oracle.observeEnd(call, end),
        error => {
          if (error.kind === 'platform_unavailable') {
            sendEnd(call, end, index + 1);
          } else oracle.observeEndError(call, error);
        },
      );
    messages.push({to: writerProcess.name, mayBeLost: () => false, deliver});
  }

  function abandonCall(call: Call, index: number): void {
    if (call.state !== 'waiting') return;
    call.state = 'done';
    oracle.observeNotRun(call);
    sendEnd(call, {kind: 'not_sent'}, index);
  }

  return {
    clock,
    platform,
    oracle,
    writers,
    calls,
    messages,
    sendClaim,
    abandonCall,
    startCall: (key, requestHash, index) => {
      const claimId = `c${calls.length}`;
      const call: Call = {
        claimId,
        key,
        requestHash,
        startedAtMs: clock.nowMs(),
        state: 'waiting',
        ran: false,
      };
      calls.push(call);
      sendClaim(call, index);
    },
    endCall: (call, how, index) => {
      call.state = 'done';
      if (how === 'unknown') {
        return sendEnd(call, {kind: 'outcome_unknown'}, index);
      }
      const bodyBase64 =
        how === 'large'
          ? 'A'.repeat(12_000)
          : btoa(`result of ${call.claimId}`);
      const outcome = {status: 200, contentType: 'text/plain', bodyBase64};
      sendEnd(call, {kind: 'completed', outcome}, index);
    },
    endCallAgain: (call, index) => {
      const kind = oracle.stored.find(call.claimId)?.ended
        ? 'not_sent'
        : 'outcome_unknown';
      sendEnd(call, {kind}, index);
    },
    setPaused: (index, paused) => {
      writerAt(index).paused = paused;
    },
    pendingCalls: () =>
      platform
        .pending()
        .filter(call => !writers.some(w => w.name === call.client && w.paused)),
  };
}

function createWriterProcess(
  name: string,
  platform: ControlledKeyValue,
  clock: Clock,
): WriterProcess {
  const writerProcess = {name, paused: false};
  const writer = createClaimWriter({
    store: platform.storeFor(name),
    shard: 0,
    clock: createPausableClock(clock, () => writerProcess.paused),
    operationTimeoutMs,
    limits: fuzzLimits,
  });
  return Object.assign(writerProcess, {writer});
}

/** A clock whose timers don't fire while the process is paused. */
function createPausableClock(clock: Clock, isPaused: () => boolean): Clock {
  return {
    ...clock,
    after: (delayMs, run) => {
      let undo = clock.after(delayMs, fire);
      function fire(): void {
        if (isPaused()) undo = clock.after(1, fire);
        else run();
      }
      return () => undo();
    },
  };
}
