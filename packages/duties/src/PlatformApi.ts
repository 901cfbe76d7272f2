/**
 * The platform's API for duties. Its calls carry the proof that this instance
 * holds them. A call without a response may be carried out seconds later, when
 * the platform checks its fencing token.
 */
import type {
  PlatformError,
  ServiceName,
  WorkspaceId,
} from '@toucanrouter/common';
import type {ResultAsync} from 'neverthrow';
import type {OwnedDuty} from './ownership/DutyOwnership.js';

declare const brand: unique symbol;

/** Number of a window of the wall clock since the start of 1970. */
export type WindowIndex = number & {readonly [brand]: 'WindowIndex'};

export const toWindowIndex = (value: number): WindowIndex =>
  value as WindowIndex;

/** The requests that began to run in a window, by workspace. */
export interface UsageReport {
  readonly window: WindowIndex;
  readonly counts: ReadonlyMap<WorkspaceId, number>;
}

/** An order for engines of one kind in a failure domain. */
export interface EngineOrder {
  readonly service: ServiceName;
  readonly failureDomain: string;
  /** True for engines that the platform may take away at short notice. */
  readonly reclaimable: boolean;
  readonly count: number;
}

/**
 * The platform's answer. `refused` means that a higher fencing token was seen,
 * or, for an order, that there are no such engines now. `throttled` means that
 * the fleet makes too many calls.
 */
export type PlatformAnswer = 'accepted' | 'refused' | 'throttled';

/** Calls of the platform's API. */
export interface PlatformApi {
  sendUsage(
    report: UsageReport,
    duty: OwnedDuty,
    timeoutMs: number,
  ): ResultAsync<PlatformAnswer, PlatformError>;
  orderEngines(
    order: EngineOrder,
    duty: OwnedDuty,
    timeoutMs: number,
  ): ResultAsync<PlatformAnswer, PlatformError>;
}
