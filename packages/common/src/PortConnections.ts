/**
 * Divides the connections that a process may hold among its ports. Each port has
 * a budget of its own, so that a crowd at one of them leaves the others reachable.
 */
import type {Clock} from './Clock.js';
import type {ConnectionBudget} from './ConnectionBudget.js';
import {createConnectionBudget} from './ConnectionBudget.js';
import type {DescriptorPlan} from './DescriptorPlan.js';
import {descriptorLimit, planDescriptors} from './DescriptorPlan.js';
import type {ListenerLog} from './Listener.js';

/** Options of the division. */
export interface PortConnectionsOptions {
  readonly clock: Clock;
  readonly log: Pick<ListenerLog, 'warn'>;
  /** Descriptors that the process may open; undefined if it is not set. */
  readonly maxDescriptors?: number | undefined;
  readonly memoryLimitBytes: number;
}

/** The connections of the ports of a process. */
export interface PortConnections {
  readonly plan: DescriptorPlan;
  /** Creates the budget of the port for callers. */
  createCallerBudget(): ConnectionBudget;
  /** Creates the budget of a port for checks, metrics or operators. */
  createStatusBudget(purpose: string): ConnectionBudget;
}

/** Divides the descriptors and the memory of a process among its ports. */
export function createPortConnections({
  clock,
  log,
  maxDescriptors,
  memoryLimitBytes,
}: PortConnectionsOptions): PortConnections {
  const plan = planDescriptors(
    descriptorLimit(maxDescriptors),
    memoryLimitBytes,
  );
  const create = (purpose: string, maxCount: number) =>
    createConnectionBudget({
      clock,
      maxCount,
      onFull: status =>
        log.warn('connections are closed because too many are open', {
          purpose,
          ...status,
        }),
    });
  return {
    plan,
    createCallerBudget: () => create('callers', plan.callerCount),
    createStatusBudget: purpose => create(purpose, plan.statusCount),
  };
}
