/**
 * Ends the server for callers within the grace period of a stop: it accepts what
 * waits at its port, finishes the calls in progress as far as the plan allows,
 * and gives the others their final answers.
 */
import type {Server} from 'node:http';
import type {AcceptedConnections, Clock, StopPlan} from '@toucanrouter/common';
import {
  closeOnceAccepted,
  delay,
  maxQueueingMs,
  turnEnded,
} from '@toucanrouter/common';
import type {CallerServer} from './CallerServer.js';
import {closeServer} from './Listening.js';

/** Options of the end of a server for callers. */
export interface CallerStopOptions {
  readonly clock: Clock;
  readonly callers: Pick<
    CallerServer,
    'drainConnections' | 'endCalls' | 'requestsInProgress' | 'server'
  >;
  readonly plan: StopPlan;
  /** Resolves when the ends of all calls are recorded. */
  readonly callsRecorded: () => Promise<void>;
}

/** What a stop did. */
export interface CallerStop {
  readonly listenerClosedAtMs: number;
  /** Connections that waited when the listener was about to close. */
  readonly accepted: AcceptedConnections;
  /** Connections that were open when the others had closed or time was up. */
  readonly openConnections: number;
  /** Calls in progress when the last answers were due. */
  readonly cutRequests: number;
}

const pollMs = 20;

/** Returns how many connections of a server are open. */
function countConnections(server: Server): Promise<number> {
  return new Promise(resolve => {
    server.getConnections((_, count) => resolve(count));
  });
}

/** Ends the server; resolves no later than the plan closes connections. */
export async function stopCallers({
  clock,
  callers,
  plan,
  callsRecorded,
}: CallerStopOptions): Promise<CallerStop> {
  const {server} = callers;
  const areLastAnswersDue = () => plan.untilLastAnswersMs(clock.nowMs()) <= 0;
  const waitUntil = async (isMet: () => boolean) => {
    while (!isMet()) await delay(clock, pollMs);
  };
  await waitUntil(() => plan.phase(clock.nowMs()) !== 'notice');
  callers.drainConnections();
  let isClosed = false;
  let isRecorded = false;
  const close = () =>
    void closeServer(server).then(async () => {
      isClosed = true;
      // A call goes on after its connection has closed.
      await waitUntil(() => callers.requestsInProgress() === 0);
      await callsRecorded();
      isRecorded = true;
    });
  let cutRequests = 0;
  const endCalls = () => {
    cutRequests = Math.max(cutRequests, callers.requestsInProgress());
    if (!isClosed) callers.endCalls();
  };
  const startedAtMs = clock.nowMs();
  const lateAtMs = startedAtMs + maxQueueingMs;
  const isClosingDue = () => plan.untilClosingMs(clock.nowMs()) <= 0;
  let listenerClosedAtMs = startedAtMs;
  const listenerClosed = closeOnceAccepted({
    server,
    close,
    isLate: () => areLastAnswersDue() || clock.nowMs() >= lateAtMs,
    isOverdue: isClosingDue,
  }).then(accepted => {
    listenerClosedAtMs = clock.nowMs();
    return accepted;
  });
  await waitUntil(() => isRecorded || areLastAnswersDue());
  // Connections that wait at the port until then bring further calls.
  while (!isRecorded && !isClosingDue()) {
    endCalls();
    await delay(clock, pollMs);
  }
  const accepted = await listenerClosed;
  endCalls();
  // Timers run before sockets are read, and what has arrived gets its answer.
  await turnEnded();
  const openConnections = await countConnections(server);
  server.closeAllConnections();
  return {accepted, cutRequests, listenerClosedAtMs, openConnections};
}
