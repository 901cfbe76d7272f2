/**
 * Child process: the holder's side of the permit exchange. It acquires permits
 * at a fixed rate, reports progress once for each and releases it.
 */
import type {PermitId} from '@toucanrouter/common';
import {
  createSystemClock,
  toInstanceId,
  toPermitId,
} from '@toucanrouter/common';
import type {PeerHub, ReceivedEnvelope} from '@toucanrouter/peer';
import {createPeerHub, encodeAcquire, encodeRelease} from '@toucanrouter/peer';
import {serveParentCalls} from './ChildProcess.js';
import {cpuMicros, sleep} from './Cost.js';
import {
  holderId,
  sampleAcquire,
  sampleProgress,
  sampleRelease,
  sampleShardId,
} from './SampleRequests.js';

/** Rates of a load. */
export interface HolderRates {
  readonly requestsPerSecond: number;
  /** Reports with `samplesPerReport` samples, for permits that stay held. */
  readonly reportsPerSecond: number;
  readonly samplesPerReport: number;
}

const schedulerId = toInstanceId('router-201');
const stepMs = 10;
const pollIntervalMs = 20;
const maxPolls = 250;

const clock = createSystemClock();
let hub: PeerHub | undefined;
let keepGrants = false;
let completed = 0;
let nextRequest = 0;
const keptPermits: PermitId[] = [];
let stopLoad: () => void = () => {};

function send(envelope: Parameters<PeerHub['send']>[1]): void {
  if (hub?.send(schedulerId, envelope) !== true) {
    throw new Error('not connected to the scheduler');
  }
}

function acquire(): void {
  const nowMs = clock.nowMs();
  const index = nextRequest++;
  const request = sampleAcquire(index, index % 1_300, nowMs);
  send(encodeAcquire(sampleShardId, request, nowMs));
}

function report(permitIds: readonly PermitId[]): void {
  const samples = permitIds.map(sampleProgress);
  send({progress: {shardId: sampleShardId, samples}});
}

function receive(envelope: ReceivedEnvelope): void {
  if (!envelope.grant) return;
  const permitId = toPermitId(envelope.grant.permitId);
  if (keepGrants) {
    keptPermits.push(permitId);
    return;
  }
  report([permitId]);
  send(encodeRelease(sampleShardId, sampleRelease(permitId)));
  completed += 1;
}

async function connect(port: number): Promise<void> {
  const created = await createPeerHub({
    selfId: holderId,
    listen: {host: '127.0.0.1', port: 0},
    clock,
    createHeartbeat: () => ({
      sender: {instanceId: holderId, peerAddress: '127.0.0.1:2'},
    }),
    onEnvelope: (_from, envelope) => receive(envelope),
  });
  if (created.isErr()) throw created.error;
  hub = created.value;
  hub.setTargets([{instanceId: schedulerId, address: `127.0.0.1:${port}`}]);
  for (let i = 0; i < maxPolls && hub.linkedPeers().length === 0; i++) {
    await sleep(pollIntervalMs);
  }
}

async function keepPermits(count: number): Promise<void> {
  keepGrants = true;
  for (let i = keptPermits.length; i < count; i++) acquire();
  for (let i = 0; i < maxPolls && keptPermits.length < count; i++) {
    await sleep(pollIntervalMs);
  }
  keepGrants = false;
  if (keptPermits.length < count)
    throw new Error(`${keptPermits.length} permits of ${count}`);
}

function load(rates: HolderRates): void {
  stopLoad();
  const startedAtMs = clock.nowMs();
  let requests = 0;
  let reports = 0;
  stopLoad = clock.every(stepMs, () => {
    const seconds = (clock.nowMs() - startedAtMs) / 1_000;
    for (; requests < seconds * rates.requestsPerSecond; requests++) acquire();
    for (; reports < seconds * rates.reportsPerSecond; reports++) {
      report(keptPermits.slice(0, rates.samplesPerReport));
    }
  });
}

serveParentCalls({
  connect,
  keepPermits,
  load,
  stopLoad: () => stopLoad(),
  cpu: cpuMicros,
  completed: () => completed,
});
