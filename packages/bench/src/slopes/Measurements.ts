/**
 * All measurements, in the order in which they run.
 */
import {claimSlopes} from './ClaimSlopes.js';
import {configSlopes} from './ConfigSlopes.js';
import {listSlopes} from './ListSlopes.js';
import {membershipSlopes} from './MembershipSlopes.js';
import {memorySlopes} from './MemorySlopes.js';
import {permitSlopes} from './PermitSlopes.js';
import {relaySlopes} from './RelaySlopes.js';
import {schedulerSlopes} from './SchedulerSlopes.js';
import type {Measurement} from './Series.js';
import {spreadSlopes} from './SpreadSlopes.js';

export const measurements: readonly Measurement[] = [
  memorySlopes,
  permitSlopes,
  schedulerSlopes,
  membershipSlopes,
  relaySlopes,
  configSlopes,
  claimSlopes,
  listSlopes,
  spreadSlopes,
];
