/**
 * The store as the orders for engines use it: what the next owner has to know.
 */
import type {PlatformError} from '@toucanrouter/common';
import type {ResultAsync} from 'neverthrow';
import type {OwnedDuty} from '../ownership/DutyOwnership.js';
import type {EnginePlanState} from './EngineCountPlan.js';

/** Calls of the store for the plans of services. */
export interface EnginePlanStore {
  /** Writes a plan if `duty` still holds; false if it does not. */
  writeEnginePlan(
    plan: EnginePlanState,
    duty: OwnedDuty,
    timeoutMs: number,
  ): ResultAsync<boolean, PlatformError>;
  readEnginePlans(
    timeoutMs: number,
  ): ResultAsync<readonly EnginePlanState[], PlatformError>;
}
