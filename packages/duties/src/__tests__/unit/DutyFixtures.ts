/**
 * A store in memory for the ownership of the duties, and instances that contend
 * for them. Failures are set on the store and on the clock of an instance.
 */
import type {Clock, InstanceId, ManualClock} from '@toucanrouter/common';
import {
  createManualClock,
  PlatformError,
  toInstanceId,
} from '@toucanrouter/common';
import {createLogger} from '@toucanrouter/logging';
import type {Result} from 'neverthrow';
import {err, ok, ResultAsync} from 'neverthrow';
import type {DutyOwnership} from '../../ownership/DutyOwnership.js';
import {createDutyOwnership} from '../../ownership/DutyOwnership.js';
import type {DutyStore, StoredDuty} from '../../ownership/DutyStore.js';

export const leaseMs = 3_000;

export const silentLogger = createLogger({
  format: 'json',
  level: 'error',
  instanceId: toInstanceId('test'),
  write: () => undefined,
});

/** Lets promises settle; calls of the store take several turns. */
export async function settle(): Promise<void> {
  for (let turn = 0; turn < 20; turn += 1) await Promise.resolve();
}

/** Advances in small steps, so that calls in between are completed. */
export async function advance(clock: ManualClock, byMs: number): Promise<void> {
  const stepMs = 50;
  for (let passedMs = 0; passedMs < byMs; passedMs += stepMs) {
    clock.advance(Math.min(stepMs, byMs - passedMs));
    await settle();
  }
}

/** How the store answers. */
export type StoreMode =
  | 'serving'
  /** Nothing is done, and calls fail. */
  | 'away'
  /** Writes are done, and their responses are lost. */
  | 'losing_responses';

/** Creates a store without an owner. */
export function createFakeStore(clock: ManualClock) {
  const watchers = new Set<(holder: InstanceId | undefined) => void>();
  const leases = new Map<number, number>();
  let era = 1;
  let revision = 100;
  let nextLease = 1;
  let owner: (StoredDuty & {readonly leaseId: number}) | undefined;
  let mode: StoreMode = 'serving';
  let callCount = 0;
  let isKnownAway = false;
  const endedLeases: number[] = [];

  function show(): void {
    for (const watcher of watchers) watcher(owner?.record.holder);
  }

  function expireLeases(): void {
    for (const [id, endsAtMs] of leases) {
      if (endsAtMs > clock.nowMs()) continue;
      leases.delete(id);
      dropOwnerOf(id);
    }
  }

  function dropOwnerOf(leaseId: number): void {
    if (owner?.leaseId !== leaseId) return;
    owner = undefined;
    revision += 1;
    show();
  }

  function call<T>(run: () => T, writes = true): ResultAsync<T, PlatformError> {
    callCount += 1;
    const answer = (): Result<T, PlatformError> => {
      expireLeases();
      const fault = new PlatformError('no response', false);
      if (mode === 'away') return err(fault);
      const value = run();
      return mode === 'losing_responses' && writes ? err(fault) : ok(value);
    };
    return new ResultAsync(Promise.resolve().then(answer));
  }

  const store: DutyStore = {
    grantDutyLease: ttlMs =>
      call(() => {
        const id = nextLease;
        nextLease += 1;
        leases.set(id, clock.nowMs() + ttlMs);
        return {id, era};
      }, false),
    claimDuty: (record, {id}) =>
      call(() => {
        if (owner !== undefined) return {kind: 'held' as const};
        if (!leases.has(id)) return {kind: 'lease_ended' as const};
        revision += 1;
        owner = {record, createdRevision: revision, era, leaseId: id};
        show();
        return {kind: 'taken' as const, revision, era};
      }),
    readDuty: () => call(() => owner, false),
    renewDutyLease: id =>
      call(() => {
        const exists = leases.has(id);
        if (exists) leases.set(id, clock.nowMs() + leaseMs);
        return {exists, era};
      }),
    endDutyLease: id =>
      call(() => {
        endedLeases.push(id);
        leases.delete(id);
        dropOwnerOf(id);
      }),
  };
  clock.every(100, expireLeases);

  return {
    store,
    watch: (watcher: (holder: InstanceId | undefined) => void) =>
      watchers.add(watcher),
    setMode: (next: StoreMode) => {
      mode = next;
    },
    callCount: () => callCount,
    /** True while instances that follow the store know that it is away. */
    isKnownAway: () => isKnownAway,
    setKnownAway: (away: boolean) => {
      isKnownAway = away;
    },
    era: () => era,
    /** Leases that instances have ended, in order. */
    endedLeases: (): readonly number[] => endedLeases,
    /** Comes back from a copy made before the present owner wrote. */
    restore: (toRevision: number) => {
      era += 1;
      revision = toRevision;
      leases.clear();
      owner = undefined;
      show();
    },
  };
}

export type FakeStore = ReturnType<typeof createFakeStore>;

/** An instance that contends for the duties. */
export interface Contender {
  readonly id: InstanceId;
  readonly ownership: DutyOwnership;
  /** Suspends the instance: only its wall clock shows the time. */
  wakeAfter(suspendedMs: number): void;
  /** Cuts the instance off from the store, or connects it again. */
  setCutOff(cutOff: boolean): void;
  /** Shows an era to another part of the instance. */
  showEra(era: number): void;
}

/** Creates instances that follow the store. */
export function createContenders(
  clock: ManualClock,
  fake: FakeStore,
  names: readonly string[],
): readonly Contender[] {
  const ids = names.map(toInstanceId);
  return ids.map(id => {
    let suspendedMs = 0;
    let cutOff = false;
    let nonce = 0;
    let latestEra: number | undefined;
    const ownClock: Clock = {
      ...clock,
      wallMs: () => clock.wallMs() + suspendedMs,
    };
    const guard = <T>(run: () => ResultAsync<T, PlatformError>) =>
      cutOff
        ? new ResultAsync<T, PlatformError>(
            Promise.resolve(err(new PlatformError('cut off', false))),
          )
        : run();
    const ownership = createDutyOwnership({
      clock: ownClock,
      logger: silentLogger,
      store: {
        grantDutyLease: (ms, t) =>
          guard(() => fake.store.grantDutyLease(ms, t)),
        claimDuty: (record, lease, t) =>
          guard(() => fake.store.claimDuty(record, lease, t)),
        readDuty: t => guard(() => fake.store.readDuty(t)),
        renewDutyLease: (lease, t) =>
          guard(() => fake.store.renewDutyLease(lease, t)),
        endDutyLease: (lease, t) =>
          guard(() => fake.store.endDutyLease(lease, t)),
      },
      instanceId: id,
      leaseMs: () => leaseMs,
      isCandidate: () => !fake.isKnownAway(),
      peerIds: () => ids.filter(other => other !== id),
      era: () => latestEra,
      observeEra: era => {
        latestEra = era;
      },
      createNonce: () => `${id}-${(nonce += 1)}`,
    });
    fake.watch(holder => {
      if (!cutOff) ownership.holderShown(holder);
    });
    return {
      id,
      ownership,
      wakeAfter: ms => {
        suspendedMs += ms;
      },
      setCutOff: next => {
        cutOff = next;
      },
      showEra: era => {
        latestEra = era;
      },
    };
  });
}

/** Creates a clock, a store and started instances, and waits for an owner. */
export async function createFleet(names: readonly string[]) {
  const clock = createManualClock(1_000_000);
  const fake = createFakeStore(clock);
  const contenders = createContenders(clock, fake, names);
  for (const {ownership} of contenders) ownership.start();
  await advance(clock, 3_000);
  return {clock, fake, contenders};
}

export function ownersOf(
  contenders: readonly Contender[],
): readonly Contender[] {
  return contenders.filter(({ownership}) => ownership.current() !== undefined);
}
