/**
 * The store as the ownership of the duties uses it: one record under a lease,
 * which is written only if there is none.
 */
import type {InstanceId, PlatformError} from '@toucanrouter/common';
import type {ResultAsync} from 'neverthrow';

/** What the store holds of an owner. */
export interface DutyRecord {
  readonly holder: InstanceId;
  /** Tells the attempts of one instance to take the duties apart. */
  readonly nonce: string;
}

/** A lease and the history of the store that granted it. */
export interface DutyLease {
  readonly id: number;
  readonly era?: number | undefined;
}

/** A record and the write that created it. */
export interface StoredDuty {
  readonly record: DutyRecord;
  readonly createdRevision: number;
  readonly era: number | undefined;
}

/** The response to a write of the record. */
export type DutyClaim =
  | {
      readonly kind: 'taken';
      readonly revision: number;
      readonly era: number | undefined;
    }
  /** Another record exists. */
  | {readonly kind: 'held'}
  /** The lease has ended. */
  | {readonly kind: 'lease_ended'};

/** Calls of the store for the ownership. */
export interface DutyStore {
  grantDutyLease(
    leaseMs: number,
    timeoutMs: number,
  ): ResultAsync<DutyLease, PlatformError>;
  /** Writes the record under the lease if there is none. */
  claimDuty(
    record: DutyRecord,
    lease: DutyLease,
    timeoutMs: number,
  ): ResultAsync<DutyClaim, PlatformError>;
  readDuty(
    timeoutMs: number,
  ): ResultAsync<StoredDuty | undefined, PlatformError>;
  renewDutyLease(
    leaseId: number,
    timeoutMs: number,
  ): ResultAsync<
    {readonly exists: boolean; readonly era?: number | undefined},
    PlatformError
  >;
  /** Ends a lease, which removes the record under it. */
  endDutyLease(
    leaseId: number,
    timeoutMs: number,
  ): ResultAsync<void, PlatformError>;
}
