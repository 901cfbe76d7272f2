/**
 * The load report of an engine, in the JSON format of the ORCA response header.
 * It is refreshed periodically, so responses carry a report that lags.
 */
import type {Clock, Undo} from '@toucanrouter/common';
import type {EngineBatch} from './EngineBatch.js';
import type {EngineProfile} from './EngineConstants.js';

/** A load report that lags behind the current load. */
export interface LoadReport {
  /** Value of the `endpoint-load-metrics` header. */
  header(): string;
  close(): void;
}

/** Creates a report that is refreshed every `loadReportLagMs`. */
export function createLoadReport(
  clock: Clock,
  profile: EngineProfile,
  batch: EngineBatch,
): LoadReport {
  let current = '';
  function refresh(): void {
    const {running, waiting} = batch.load();
    const report = {
      application_utilization: running / profile.batchLimit,
      named_metrics: {
        num_requests_running: running,
        num_requests_waiting: waiting,
      },
    };
    current = `JSON ${JSON.stringify(report)}`;
  }
  refresh();
  const stop: Undo = clock.every(profile.loadReportLagMs, refresh);
  return {header: () => current, close: stop};
}
