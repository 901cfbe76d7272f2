/**
 * Prometheus metrics of the duties of an instance. Those of engines are shown by
 * the instance that holds the duties only.
 */
import type {Registry} from 'prom-client';
import {Gauge} from 'prom-client';
import type {DutyHostStatus} from '../duties/DutyHost.js';
import type {EngineCountStatus} from '../duties/EngineDuty.js';

/** Name, help and value of a number; there is none while it is undefined. */
type DutyGauge = readonly [
  string,
  string,
  (status: DutyHostStatus) => number | undefined,
];

type EngineGauge = readonly [
  string,
  string,
  (status: EngineCountStatus) => number,
];

const msPerSecond = 1_000;

function toSeconds(ms: number | undefined): number | undefined {
  return ms === undefined ? undefined : ms / msPerSecond;
}

const ownershipGauges: readonly DutyGauge[] = [
  [
    'toucanrouter_duties_held',
    'Whether this instance holds the duties',
    ({ownership}) => (ownership.token === undefined ? 0 : 1),
  ],
  [
    'toucanrouter_duties_token',
    'Fencing token of this instance, 0 if it does not hold the duties',
    ({ownership}) => ownership.token ?? 0,
  ],
  [
    'toucanrouter_duties_held_seconds',
    'Time for which this instance has held the duties, 0 if it does not',
    ({ownership}) => toSeconds(ownership.heldMs) ?? 0,
  ],
  [
    'toucanrouter_duties_taken',
    'How often this instance took the duties since its start',
    ({ownership}) => ownership.takenCount,
  ],
];

const usageGauges: readonly DutyGauge[] = [
  [
    'toucanrouter_usage_windows_reported',
    'Windows whose report the platform accepted from this instance',
    ({usage}) => usage?.reported,
  ],
  [
    'toucanrouter_usage_windows_late',
    'Windows of these that were accepted after their deadline',
    ({usage}) => usage?.late,
  ],
  [
    'toucanrouter_usage_windows_left_out',
    'Windows that this instance did not report',
    ({usage}) => usage?.leftOut,
  ],
  [
    'toucanrouter_usage_latest_report_age_seconds',
    'Time since the end of the latest window that this instance reported',
    ({usage}) => toSeconds(usage?.latestAgeMs),
  ],
];

const engineGauges: readonly EngineGauge[] = [
  [
    'toucanrouter_engines_ready',
    'Engines that take new work, by service, failure domain and kind',
    status => status.ready,
  ],
  [
    'toucanrouter_engines_ordered',
    'Engines that were ordered last, by service, failure domain and kind',
    status => status.ordered,
  ],
];

/** Registers the metrics of an instance that has duties. */
export function registerDutyMetrics(
  registry: Registry,
  read: () => DutyHostStatus,
): void {
  const registers = [registry];
  const hasUsage = read().usage !== undefined;
  const plainGauges = [...ownershipGauges, ...(hasUsage ? usageGauges : [])];
  for (const [name, help, valueOf] of plainGauges) {
    new Gauge({
      name,
      help,
      registers,
      collect() {
        const value = valueOf(read());
        if (value === undefined) this.remove({});
        else this.set(value);
      },
    });
  }
  for (const [name, help, valueOf] of engineGauges) {
    new Gauge({
      name,
      help,
      labelNames: ['service', 'failure_domain', 'kind'],
      registers,
      collect() {
        this.reset();
        for (const status of read().engines) {
          const {failureDomain, reclaimable, service} = status;
          const kind = reclaimable ? 'reclaimable' : 'ordinary';
          const labels = {service, failure_domain: failureDomain, kind};
          this.set(labels, valueOf(status));
        }
      },
    });
  }
  new Gauge({
    name: 'toucanrouter_engines_wanted',
    help: 'Engines wanted in all failure domains, by service',
    labelNames: ['service'],
    registers,
    collect() {
      this.reset();
      for (const {service, wantedInAll} of read().engines) {
        this.set({service}, wantedInAll);
      }
    },
  });
}
