/**
 * All measurements, in the order in which they run.
 */
import {membershipSlopes} from './MembershipSlopes.js';
import {permitSlopes} from './PermitSlopes.js';
import {schedulerSlopes} from './SchedulerSlopes.js';
import type {Measurement} from './Series.js';
import {spreadSlopes} from './SpreadSlopes.js';

export const measurements: readonly Measurement[] = [
  permitSlopes,
  schedulerSlopes,
  membershipSlopes,
  spreadSlopes,
];
