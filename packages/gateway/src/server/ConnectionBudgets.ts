/**
 * The connections that the ports of an instance may hold.
 */
import type {
  ConnectionBudget,
  PortConnectionsOptions,
} from '@toucanrouter/common';
import {createPortConnections} from '@toucanrouter/common';

/** The budgets of the ports that accept connections from outside. */
export interface ConnectionBudgets {
  readonly callers: ConnectionBudget;
  readonly readiness: ConnectionBudget;
  readonly metrics: ConnectionBudget;
  /** Callers that may still send when their connection was answered and closed. */
  readonly lingeringCallerCount: number;
  /** Connections that may wait to be accepted at the port of callers. */
  readonly waitingCallerCount: number;
  /** The same at each other port. */
  readonly waitingCount: number;
}

/** Divides the connections of the process among its ports. */
export function createConnectionBudgets(
  options: PortConnectionsOptions,
): ConnectionBudgets {
  const {createCallerBudget, createStatusBudget, plan} =
    createPortConnections(options);
  return {
    callers: createCallerBudget(),
    readiness: createStatusBudget('readiness checks'),
    metrics: createStatusBudget('metrics'),
    lingeringCallerCount: plan.lingeringCallerCount,
    waitingCallerCount: plan.waitingCallerCount,
    waitingCount: plan.waitingCount,
  };
}
