/**
 * Tells an outage of the store from a time in which only this instance could not
 * reach it. In an outage upstreams cannot renew their entries, so entries expire
 * although their upstreams live. Otherwise upstreams go on to renew them, and an
 * entry that is gone has been removed on purpose.
 */

/** Why this instance had no contact with the store. */
export type StoreAbsence =
  /** The store served nobody, so entries may have expired. */
  | 'outage'
  /** The store served others, so entries have been removed on purpose. */
  | 'cut_off'
  | 'unknown';

/** An absence that has ended. */
export interface EndedAbsence {
  readonly reason: StoreAbsence;
  readonly endedAgoMs: number;
}

/** Renewals of entries that one read of the store returned. */
export interface ObservedRenewals {
  /** Upstreams whose entries existed before and after the read. */
  readonly upstreamCount: number;
  /** Times that these entries were written since the read before. */
  readonly renewalCount: number;
  /** Time since the read before. */
  readonly elapsedMs: number;
}

/** Learns how often entries are renewed. */
export interface StoreAbsenceJudge {
  /** Records a read that followed the one before without a failure between. */
  observe(renewals: ObservedRenewals): void;
  /** Judges an absence by what the first read after it returned. */
  judge(renewals: ObservedRenewals): StoreAbsence;
}

const observationHalfLifeMs = 60_000;
/** Covers several renewals of an entry. */
const minObservedMs = 4_000;
/** Renewals that an upstream must have missed before its entry expires. */
const minMissedRenewals = 2;
/**
 * Share of the usual renewals from which on the store served others. Beside an
 * outage, only the time until this instance notices its end allows renewals.
 */
const minRenewalShare = 0.75;

/** Creates a judge without observations. */
export function createStoreAbsenceJudge(): StoreAbsenceJudge {
  let observedMs = 0;
  let renewalsPerUpstream = 0;

  return {
    observe: ({elapsedMs, renewalCount, upstreamCount}) => {
      if (upstreamCount === 0) return;
      const decay = 0.5 ** (elapsedMs / observationHalfLifeMs);
      observedMs = observedMs * decay + elapsedMs;
      renewalsPerUpstream =
        renewalsPerUpstream * decay + renewalCount / upstreamCount;
    },
    judge: ({elapsedMs, renewalCount, upstreamCount}) => {
      if (upstreamCount === 0 || observedMs < minObservedMs) return 'unknown';
      const usual = (renewalsPerUpstream / observedMs) * elapsedMs;
      const actual = renewalCount / upstreamCount;
      return usual >= minMissedRenewals && actual < usual * minRenewalShare
        ? 'outage'
        : 'cut_off';
    },
  };
}
