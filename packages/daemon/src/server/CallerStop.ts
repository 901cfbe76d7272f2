/**
 * Ends the server for callers within the grace period of a stop: it accepts what
 * waits at its port, finishes the calls in progress as far as the plan allows,
 * and gives the others their final answers.
 */
import type {Server} from 'node:http';
import type {AcceptedConnections, Clock, StopPlan} from '@toucanrouter/common';
import {acceptWaitingConnections, delay} from '@toucanrouter/common';
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
  const isClosingDue = () => plan.untilClosingMs(clock.nowMs()) <= 0;
  const waitUntil = async (isMet: () => boolean) => {
    while (!isMet()) await delay(clock, pollMs);
  };
  await waitUntil(() => plan.phase(clock.nowMs()) !== 'notice');
  callers.drainConnections();
  const accepted = await acceptWaitingConnections(server, areLastAnswersDue);
  const listenerClosedAtMs = clock.nowMs();
  let isClosed = false;
  let isRecorded = false;
  void closeServer(server).then(async () => {
    isClosed = true;
    // A call goes on after its connection has closed.
    await waitUntil(() => callers.requestsInProgress() === 0);
    await callsRecorded();
    isRecorded = true;
  });
  await waitUntil(() => isRecorded || areLastAnswersDue());
  const cutRequests = callers.requestsInProgress();
  if (!isClosed) callers.endCalls();
  await waitUntil(() => isRecorded || isClosingDue());
  const openConnections = await countConnections(server);
  server.closeAllConnections();
  return {accepted, cutRequests, listenerClosedAtMs, openConnections};
}
