/**
 * Decides whether this instance holds the duties: work that one instance of the
 * fleet does at a time. The owner's record is in the store under a lease. When it
 * is gone, the candidates take turns to write theirs, and the store accepts one.
 *
 * The owner trusts its lease until a lease time after it sent the grant or the
 * latest renewal that succeeded, less a margin, by the clock that shows more: the
 * lease runs from the arrival of the call, and a process that was suspended does
 * not notice the time that has passed. Calls that are carried out later than that
 * carry a lower fencing token than those of the next owner.
 */
import type {Clock, InstanceId, TimeMark, Undo} from '@toucanrouter/common';
import {delay, elapsedBetween, markNow} from '@toucanrouter/common';
import type {Logger} from '@toucanrouter/logging';
import {rankCandidates} from './CandidateOrder.js';
import type {DutyLease, DutyRecord, DutyStore} from './DutyStore.js';
import type {FencingToken} from './FencingToken.js';
import {toFencingToken} from './FencingToken.js';

/** Proof that this instance holds the duties. */
export interface OwnedDuty {
  readonly holder: InstanceId;
  readonly token: FencingToken;
  /** Revision of the owner's record, for conditional writes. */
  readonly revision: number;
}

/** State of the ownership for operators. */
export interface DutyOwnershipStatus {
  /** The owner as the store shows it. */
  readonly holder: InstanceId | undefined;
  /** The token of this instance, if it holds the duties. */
  readonly token: FencingToken | undefined;
  /** Time for which this instance has held the duties. */
  readonly heldMs: number | undefined;
  /** How often this instance took the duties. */
  readonly takenCount: number;
}

/** Options of an ownership. */
export interface DutyOwnershipOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: DutyStore;
  readonly instanceId: InstanceId;
  readonly leaseMs: () => number;
  /** True while this instance could do the duties. */
  readonly isCandidate: () => boolean;
  /** The other registered instances. */
  readonly peerIds: () => readonly InstanceId[];
  /** The latest era that a response of the store showed to any part. */
  readonly era: () => number | undefined;
  /** Records the era that a response of the store shows. */
  readonly observeEra: (era: number | undefined) => void;
  /** Returns a text that no other attempt uses. */
  readonly createNonce: () => string;
}

/** Takes, keeps and gives up the duties. */
export interface DutyOwnership {
  start(): void;
  /** The proof to send with a call; to be asked for right before each call. */
  current(): OwnedDuty | undefined;
  /** The owner as the store shows it. */
  holder(): InstanceId | undefined;
  /** Handles the owner that a read of the store shows. */
  holderShown(holder: InstanceId | undefined): void;
  /** Gives the duties up, because a response shows that they are lost. */
  lost(reason: string): void;
  /** Calls `run` when this instance took or lost the duties, or they moved. */
  onChange(run: () => void): Undo;
  status(): DutyOwnershipStatus;
  /** Gives the duties up, so that another instance can take them at once. */
  close(): Promise<void>;
}

/** Delay of each candidate after the one before it. */
const turnMs = 150;
const maxTurnMs = 2_000;
/**
 * Further delay of an instance that has started less than `youngMs` ago. It does
 * not know what happened before, and cannot report windows of that time.
 */
const youngDelayMs = 500;
const youngMs = 10_000;
const callTimeoutMs = 800;
const closeTimeoutMs = 300;
const firstRetryMs = 500;
const maxRetryMs = 4_000;
/** Interval at which an instance that could not do the duties looks again. */
const candidateCheckMs = 500;
/**
 * Lease times after which an owner that only a read has shown is read again: the
 * watch may have passed over a record that existed for a moment.
 */
const unwatchedOwnerLeases = 2;
/** Renewals in a lease time; two may fail. */
const renewalsPerLease = 3;
/** Renewals that failed are repeated sooner. */
const retriesPerLease = 10;
/**
 * Share of a lease that is not used, so that a call that was sent under it has
 * mostly arrived when the next owner acts.
 */
const unusedLeaseShare = 1 / 6;

interface Held {
  readonly lease: DutyLease;
  readonly token: FencingToken;
  readonly revision: number;
  readonly takenAtMs: number;
  /** When the grant or the latest successful renewal was sent. */
  readonly confirmedAt: TimeMark;
}

/** Creates an ownership that has not started. */
export function createDutyOwnership(
  options: DutyOwnershipOptions,
): DutyOwnership {
  const {clock, instanceId, logger, store} = options;
  const listeners = new Set<() => void>();
  let shownHolder: InstanceId | undefined;
  let isShownByWatch = false;
  /** The owner that the watch showed last, also while this instance owns. */
  let watchedHolder: InstanceId | undefined;
  let previousHolder: InstanceId | undefined;
  let held: Held | undefined;
  let lostAt: TimeMark | undefined;
  let takenCount = 0;
  let failures = 0;
  let attempting = false;
  let wasCandidate = false;
  let startedAt: TimeMark | undefined;
  let closed = false;
  let cancelAttempt: Undo = () => undefined;
  let cancelRenewal: Undo = () => undefined;

  const leaseMs = () => options.leaseMs();
  const sinceMs = (mark: TimeMark) => elapsedBetween(mark, markNow(clock));

  function notify(): void {
    for (const listener of [...listeners]) listener();
  }

  function isHeldSafely({confirmedAt}: Held): boolean {
    return sinceMs(confirmedAt) < leaseMs() * (1 - unusedLeaseShare);
  }

  /** A new history of the store gives out the numbers of leases again. */
  function isPresentLease({era}: DutyLease): boolean {
    return options.era() === era;
  }

  /** Ends a lease unless its number may belong to another holder by now. */
  function endLease(lease: DutyLease): void {
    if (isPresentLease(lease)) void store.endDutyLease(lease.id, callTimeoutMs);
  }

  /** Remaining time in which the last owner must not take the duties again. */
  function coolDownMs(): number {
    return lostAt === undefined ? 0 : Math.max(0, leaseMs() - sinceMs(lostAt));
  }

  /** Time until this instance's turn; an owner that has just gone comes last. */
  function turnDelayMs(): number {
    const ranked = rankCandidates([...options.peerIds(), instanceId]).filter(
      id => id === instanceId || id !== previousHolder,
    );
    const isYoung = startedAt === undefined || sinceMs(startedAt) < youngMs;
    const delayMs = ranked.indexOf(instanceId) * turnMs;
    return Math.min(delayMs + (isYoung ? youngDelayMs : 0), maxTurnMs);
  }

  function retryMs(): number {
    return failures === 0
      ? 0
      : Math.min(firstRetryMs * 2 ** (failures - 1), maxRetryMs);
  }

  function scheduleAttempt(): void {
    cancelAttempt();
    if (startedAt === undefined || closed || attempting || held !== undefined)
      return;
    if (shownHolder !== undefined && isShownByWatch) return;
    const delayMs =
      shownHolder === undefined
        ? Math.max(turnDelayMs(), retryMs(), coolDownMs())
        : leaseMs() * unwatchedOwnerLeases;
    cancelAttempt = clock.after(delayMs, () => void attempt());
  }

  async function attempt(): Promise<void> {
    if (attempting || closed) return;
    if (!options.isCandidate()) {
      wasCandidate = false;
      cancelAttempt = clock.after(candidateCheckMs, () => void attempt());
      return;
    }
    if (!wasCandidate) {
      // Instances of a fleet that starts become candidates at the same time.
      wasCandidate = true;
      failures = 0;
      scheduleAttempt();
      return;
    }
    attempting = true;
    const outcome = await tryTake();
    attempting = false;
    failures = outcome === 'failed' ? failures + 1 : 0;
    scheduleAttempt();
  }

  function setHolder(holder: InstanceId | undefined): void {
    if (holder === shownHolder) return;
    previousHolder = shownHolder ?? previousHolder;
    shownHolder = holder;
    notify();
  }

  /** Reads first: a read costs less than the two writes of a try. */
  async function tryTake(): Promise<'failed' | 'held' | 'taken'> {
    const read = await store.readDuty(callTimeoutMs);
    if (read.isErr()) return failed(read.error.message);
    if (closed) return 'failed';
    if (read.value !== undefined) {
      options.observeEra(read.value.era);
      isShownByWatch = false;
      setHolder(read.value.record.holder);
      return 'held';
    }
    const confirmedAt = markNow(clock);
    const lease = await store.grantDutyLease(leaseMs(), callTimeoutMs);
    if (lease.isErr()) return failed(lease.error.message);
    if (closed) return 'failed';
    return claim(lease.value, confirmedAt);
  }

  function failed(reason: string): 'failed' {
    logger.info('taking the duties failed; trying again', {reason});
    return 'failed';
  }

  async function claim(
    lease: DutyLease,
    confirmedAt: TimeMark,
  ): Promise<'failed' | 'held' | 'taken'> {
    options.observeEra(lease.era);
    const record = {holder: instanceId, nonce: options.createNonce()};
    const claimed = await store.claimDuty(record, lease, callTimeoutMs);
    if (claimed.isErr()) return resolveClaim(record, lease, confirmedAt);
    if (claimed.value.kind !== 'taken') {
      endLease(lease);
      // The watch tells who holds them, and when they are free.
      return failed(`the answer of the store is ${claimed.value.kind}`);
    }
    return take(claimed.value, lease, confirmedAt);
  }

  /** Finds out whether a write without a response was carried out. */
  async function resolveClaim(
    record: DutyRecord,
    lease: DutyLease,
    confirmedAt: TimeMark,
  ): Promise<'failed' | 'held' | 'taken'> {
    const read = await store.readDuty(callTimeoutMs);
    if (read.isErr()) return failed(read.error.message);
    const stored = read.value;
    if (stored?.record.nonce !== record.nonce) {
      // The write may still come, and then ends with its lease.
      endLease(lease);
      return failed('the store did not answer');
    }
    const {createdRevision: revision, era} = stored;
    return take({revision, era}, lease, confirmedAt);
  }

  function take(
    {era, revision}: {revision: number; era: number | undefined},
    lease: DutyLease,
    confirmedAt: TimeMark,
  ): 'failed' | 'taken' {
    options.observeEra(era);
    const token = toFencingToken(era, revision);
    if (token === undefined || era !== lease.era || closed) {
      endLease(lease);
      return failed(`era ${era} and revision ${revision} give no token`);
    }
    const takenAtMs = clock.nowMs();
    const next = {lease, token, revision, confirmedAt, takenAtMs};
    if (!isHeldSafely(next)) {
      endLease(lease);
      return failed('the lease has ended meanwhile');
    }
    held = next;
    takenCount += 1;
    logger.info('this instance holds the duties', {
      token,
      era,
      revision,
      previousHolder,
    });
    setHolder(instanceId);
    notify();
    scheduleRenewal(leaseMs() / renewalsPerLease);
    return 'taken';
  }

  function scheduleRenewal(delayMs: number): void {
    cancelRenewal();
    cancelRenewal = clock.after(delayMs, () => void renew());
  }

  async function renew(): Promise<void> {
    const current = held;
    if (current === undefined) return;
    if (!isHeldSafely(current)) return lost('the lease was not renewed');
    const sentAt = markNow(clock);
    const timeoutMs = Math.min(callTimeoutMs, leaseMs() / renewalsPerLease);
    const renewed = await store.renewDutyLease(current.lease.id, timeoutMs);
    if (held !== current) return;
    if (renewed.isErr()) {
      logger.info('renewing the lease of the duties failed; trying again', {
        reason: renewed.error.message,
      });
      return scheduleRenewal(leaseMs() / retriesPerLease);
    }
    const {era, exists} = renewed.value;
    options.observeEra(era);
    if (held !== current) return;
    if (era !== current.lease.era || !isPresentLease(current.lease)) {
      return giveUp('the store has another era', false);
    }
    if (!exists) return giveUp('the lease has ended', false);
    held = {...current, confirmedAt: sentAt};
    scheduleRenewal(leaseMs() / renewalsPerLease);
  }

  function lost(reason: string): void {
    giveUp(reason, true);
  }

  function giveUp(reason: string, endsLease: boolean): void {
    const current = held;
    if (current === undefined) return;
    held = undefined;
    lostAt = markNow(clock);
    cancelRenewal();
    logger.warn('this instance holds the duties no longer', {
      reason,
      token: current.token,
      heldMs: Math.round(clock.nowMs() - current.takenAtMs),
    });
    if (endsLease) endLease(current.lease);
    if (shownHolder === instanceId) {
      // While it held the duties, this instance did not follow the watch.
      isShownByWatch = watchedHolder !== instanceId;
      setHolder(isShownByWatch ? watchedHolder : undefined);
    }
    notify();
    scheduleAttempt();
  }

  return {
    start: () => {
      startedAt = markNow(clock);
      scheduleAttempt();
    },
    current: () => {
      if (held === undefined) return undefined;
      if (!isPresentLease(held.lease)) {
        giveUp('the store has another era', false);
        return undefined;
      }
      if (!isHeldSafely(held)) {
        lost('the lease was not renewed');
        return undefined;
      }
      const {revision, token} = held;
      return {holder: instanceId, token, revision};
    },
    holder: () => shownHolder,
    holderShown: holder => {
      watchedHolder = holder;
      // What the store shows is older than what this instance has written.
      if (held !== undefined) return;
      isShownByWatch = true;
      setHolder(holder);
      failures = 0;
      scheduleAttempt();
    },
    lost,
    onChange: run => {
      listeners.add(run);
      return () => listeners.delete(run);
    },
    status: () => ({
      holder: shownHolder,
      token: held?.token,
      heldMs: held && clock.nowMs() - held.takenAtMs,
      takenCount,
    }),
    close: async () => {
      closed = true;
      cancelAttempt();
      cancelRenewal();
      const current = held;
      held = undefined;
      if (current === undefined) return;
      logger.info('this instance gives the duties up', {token: current.token});
      if (!isPresentLease(current.lease)) return;
      await Promise.race([
        store.endDutyLease(current.lease.id, closeTimeoutMs),
        delay(clock, closeTimeoutMs),
      ]);
    },
  };
}
