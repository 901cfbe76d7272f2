/**
 * The store as usage reports use it. A report is written before it is sent, so
 * that the next owner repeats it to the letter rather than sending another one.
 */
import type {PlatformError} from '@toucanrouter/common';
import type {ResultAsync} from 'neverthrow';
import type {OwnedDuty} from '../ownership/DutyOwnership.js';
import type {UsageReport, WindowIndex} from '../PlatformApi.js';

/** The response to a write of a report. */
export type UsageWrite =
  | {readonly kind: 'written'}
  /** The window has a report, which another write brought. */
  | {readonly kind: 'exists'; readonly report: UsageReport}
  /** Another writer wrote something else in place of the window's report. */
  | {readonly kind: 'unreadable'}
  /** Another instance holds the duties. */
  | {readonly kind: 'not_owner'};

/** Calls of the store for usage reports. */
export interface UsageStore {
  /**
   * Writes the report if its window has none and `duty` still holds, and removes
   * the reports of the windows in `outdated`.
   */
  writeUsage(
    report: UsageReport,
    outdated: readonly WindowIndex[],
    duty: OwnedDuty,
    timeoutMs: number,
  ): ResultAsync<UsageWrite, PlatformError>;
  readUsage(
    timeoutMs: number,
  ): ResultAsync<readonly UsageReport[], PlatformError>;
}
