/**
 * The demand for the engines of a service, as the instances report it.
 */
import type {ServiceName} from '@toucanrouter/common';
import type {EngineDemand} from '@toucanrouter/policy';
import {addCounts, zeroCounts} from '@toucanrouter/policy';

/** Demand for the engines of a service, as one instance sees it. */
export interface ServiceDemand extends EngineDemand {
  readonly service: ServiceName;
}

/** The latest demand of all instances. */
export interface DemandTable {
  receive(
    instance: number,
    sequence: number,
    demands: readonly ServiceDemand[],
  ): void;
  totalOf(service: ServiceName): EngineDemand;
}

/** Demand of an instance that is silent for this time does not count. */
const lifetimeMs = 1_500;
/** Bounds memory. */
const maxInstances = 4_096;

/** Datagrams that may be on their way at the same time. */
const maxOvertaken = 16;

interface Reported {
  sequence: number;
  receivedAtMs: number;
  readonly demands: Map<ServiceName, ServiceDemand>;
}

/** True for a late datagram; a number far lower is that of a new process. */
function isOvertaken(sequence: number, previous: Reported): boolean {
  const behind = previous.sequence - sequence;
  return behind > 0 && behind < maxOvertaken;
}

/** Creates a table without demand; `nowMs` is the monotonic time. */
export function createDemandTable(nowMs: () => number): DemandTable {
  const reports = new Map<number, Reported>();

  function dropOld(): void {
    for (const [instance, {receivedAtMs}] of reports) {
      if (nowMs() - receivedAtMs > lifetimeMs) reports.delete(instance);
    }
  }

  return {
    receive: (instance, sequence, demands) => {
      // Most datagrams of a report have counts only.
      if (demands.length === 0) return;
      dropOld();
      const previous = reports.get(instance);
      if (previous === undefined && reports.size >= maxInstances) return;
      if (previous !== undefined && isOvertaken(sequence, previous)) return;
      const isSameReport = previous?.sequence === sequence;
      const known = new Map(isSameReport ? previous.demands : []);
      for (const demand of demands) known.set(demand.service, demand);
      reports.set(instance, {
        sequence,
        receivedAtMs: nowMs(),
        demands: known,
      });
    },
    totalOf: service => {
      dropOld();
      let total: EngineDemand = {inFlight: zeroCounts, offered: zeroCounts};
      for (const {demands} of reports.values()) {
        const demand = demands.get(service);
        if (demand === undefined) continue;
        total = {
          inFlight: addCounts(total.inFlight, demand.inFlight),
          offered: addCounts(total.offered, demand.offered),
        };
      }
      return total;
    },
  };
}
