/**
 * Remembers the origins of streams that began at this instance, and writes those
 * that cannot be told otherwise to the store, in batches. A batch is a key with a
 * lease of its own, which is rewritten while records are added. After a failed
 * write the records go into another batch, since a write without a response may
 * still be carried out later.
 */
import type {
  Clock,
  InstanceId,
  RandomSource,
  ServiceName,
} from '@toucanrouter/common';
import {delay, hash64} from '@toucanrouter/common';
import type {Logger} from '@toucanrouter/logging';
import type {
  Lease,
  StateStore,
  StreamHash,
  StreamRecord,
} from '../state/StateStore.js';
import {toStreamHash} from '../state/StateStore.js';
import type {StoreHistory} from '../state/StoreHistory.js';
import type {StreamKey, StreamOrigin} from './StreamOrigins.js';

/** Options of a recorder. */
export interface StreamRecorderOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: RandomSource;
  readonly instanceId: InstanceId;
  readonly store: Pick<StateStore, 'writeStreamRecords'>;
  readonly history: StoreHistory;
  /** True if streams of a service are written to the store. */
  readonly isRecorded: (service: ServiceName) => boolean;
  readonly retentionMs: () => number;
}

/** Remembers and writes origins until it is closed. */
export interface StreamRecorder {
  add(key: StreamKey, origin: StreamOrigin): void;
  get(hash: StreamHash): StreamRecord | undefined;
  /** Writes remembered streams of services that are recorded from now on. */
  recordedChanged(): void;
  close(): void;
}

/** Minimum time between writes, and so the records that a crash may lose. */
const writeIntervalMs = 200;
const callTimeoutMs = 800;
const maxRetryMs = 4_000;
/** Time for which records are added to a batch. */
const batchMs = 5_000;
/** Bounds the size of a value in the store. */
const maxBatchRecords = 256;
/** Bounds the memory of remembered streams. */
const maxRememberedStreams = 50_000;
const maxLeaseMs = 600_000;
const hexRadix = 16;

interface Remembered extends StreamRecord {
  readonly service: ServiceName;
  readonly atMs: number;
  isQueued: boolean;
}

interface OpenBatch {
  readonly id: string;
  readonly openedAtMs: number;
  readonly records: Map<StreamHash, StreamRecord>;
  lease: Lease | undefined;
}

/** Returns the hash of a stream's key, which may have any length. */
export function streamHashOf({requestId, workspaceId}: StreamKey): StreamHash {
  const text = `${workspaceId ?? ''}\n${requestId}`;
  return toStreamHash(hash64(text).toString(hexRadix));
}

/** Returns the origin of two records with the same hash. */
export function mergeOrigins(
  a: StreamOrigin | undefined,
  b: StreamOrigin | undefined,
): StreamOrigin | undefined {
  const isSame =
    a?.service === b?.service && a?.softwareVersion === b?.softwareVersion;
  return isSame ? a : undefined;
}

/** Creates a recorder that remembers nothing. */
export function createStreamRecorder(
  options: StreamRecorderOptions,
): StreamRecorder {
  const {clock, history, logger, random, store} = options;
  const remembered = new Map<StreamHash, Remembered>();
  const queued = new Set<StreamHash>();
  let batch: OpenBatch | undefined;
  let isWriting = false;
  let hasWarned = false;
  let closed = false;

  function forgetOldest(): void {
    for (const [hash, {atMs}] of remembered) {
      const isOld = clock.nowMs() - atMs >= options.retentionMs();
      if (!isOld && remembered.size <= maxRememberedStreams) return;
      remembered.delete(hash);
      queued.delete(hash);
    }
  }

  function queue(stream: Remembered): void {
    if (stream.isQueued || !options.isRecorded(stream.service)) return;
    stream.isQueued = true;
    queued.add(stream.hash);
    void writeQueued();
  }

  function openBatch(): OpenBatch {
    const seed = `${options.instanceId} ${clock.wallMs()} ${random.next()}`;
    return {
      id: hash64(seed).toString(hexRadix),
      openedAtMs: clock.nowMs(),
      records: new Map(),
      lease: undefined,
    };
  }

  function isFull({openedAtMs, records}: OpenBatch): boolean {
    return (
      clock.nowMs() - openedAtMs >= batchMs || records.size >= maxBatchRecords
    );
  }

  /** Writes queued records; on failure they stay queued. */
  async function writeBatch(): Promise<boolean> {
    forgetOldest();
    if (batch === undefined || isFull(batch)) batch = openBatch();
    const target = batch;
    const taken: StreamHash[] = [];
    for (const hash of queued) {
      if (target.records.size >= maxBatchRecords) break;
      const record = remembered.get(hash);
      if (record === undefined) continue;
      target.records.set(hash, {hash, origin: record.origin});
      taken.push(hash);
    }
    for (const hash of taken) queued.delete(hash);
    if (taken.length === 0) return true;
    const leaseMs = Math.min(options.retentionMs() + batchMs, maxLeaseMs);
    const written = await store.writeStreamRecords(
      {id: target.id, records: [...target.records.values()]},
      target.lease,
      leaseMs,
      callTimeoutMs,
    );
    const isCurrent = batch === target;
    if (written.isOk()) {
      const {era} = written.value;
      const change = history.observe(era);
      const isFromHere = target.lease === undefined || target.lease.era === era;
      if (change === 'none' && isFromHere) {
        target.lease = written.value;
        hasWarned = false;
        return true;
      }
    } else if (!hasWarned) {
      hasWarned = true;
      logger.warn(
        'origins of streams cannot be recorded in the store; trying again',
        {
          streams: taken.length,
          reason: written.error.message,
        },
      );
    }
    if (isCurrent) batch = undefined;
    for (const hash of taken) if (remembered.has(hash)) queued.add(hash);
    return false;
  }

  async function writeQueued(): Promise<void> {
    if (isWriting) return;
    isWriting = true;
    let waitMs = writeIntervalMs;
    while (!closed && queued.size > 0) {
      // Further records of the interval go into the same write.
      await delay(clock, waitMs);
      if (closed) break;
      const isWritten = await writeBatch();
      waitMs = isWritten ? writeIntervalMs : Math.min(waitMs * 2, maxRetryMs);
    }
    isWriting = false;
  }

  function queueRemembered(): void {
    forgetOldest();
    for (const stream of remembered.values()) queue(stream);
  }

  const stopListening = history.onBegin(() => {
    batch = undefined;
    queued.clear();
    for (const stream of remembered.values()) stream.isQueued = false;
    queueRemembered();
  });

  return {
    add: (key, origin) => {
      const hash = streamHashOf(key);
      const known = remembered.get(hash);
      remembered.delete(hash);
      const stream = {
        hash,
        origin:
          known === undefined ? origin : mergeOrigins(known.origin, origin),
        service: origin.service,
        atMs: clock.nowMs(),
        isQueued: false,
      };
      remembered.set(hash, stream);
      forgetOldest();
      queue(stream);
    },
    get: hash => {
      forgetOldest();
      return remembered.get(hash);
    },
    recordedChanged: queueRemembered,
    close: () => {
      closed = true;
      stopListening();
    },
  };
}
