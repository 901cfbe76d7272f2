/**
 * Records the outcome of each call in the log, the metrics and the
 * service-level report.
 */
import type {Clock, RouterError} from '@toucanrouter/common';
import type {Result} from 'neverthrow';
import type {Logger} from '@toucanrouter/logging';
import type {Metrics} from '../Metrics.js';
import type {Exchange, Filter} from './Exchange.js';
import {toLogFields} from './Exchange.js';

/** A call that has finished. */
export interface FinishedCall {
  readonly exchange: Exchange;
  readonly totalMs: number;
  readonly error: RouterError | undefined;
}

/** Options of the recording filter. */
export interface RecordFilterOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Receives each finished call, for the service-level report. */
  readonly observe: (call: FinishedCall) => void;
}

/** Creates the filter that comes first in each pipeline. */
export function createRecordFilter(options: RecordFilterOptions): Filter {
  return async (exchange, next) => {
    const result = await next();
    const call = toFinishedCall(exchange, result, options.clock.nowMs());
    options.metrics.observeCall(call);
    options.observe(call);
    logCall(options.logger, call);
    return result;
  };
}

function toFinishedCall(
  exchange: Exchange,
  result: Result<void, RouterError>,
  nowMs: number,
): FinishedCall {
  return {
    exchange,
    totalMs: nowMs - exchange.arrivedAtMs,
    error: result.isErr() ? result.error : undefined,
  };
}

function logCall(
  logger: Logger,
  {exchange, totalMs, error}: FinishedCall,
): void {
  const {stats} = exchange;
  const fields = {
    ...toLogFields(exchange),
    totalMs: Math.round(totalMs),
    firstTokenMs: roundedMs(stats.firstTokenMs),
    waitedMs: Math.round(stats.waitedMs),
    tokens: stats.tokens,
    attempts: stats.attempts,
  };
  if (error === undefined) logger.debug('request completed', fields);
  else logger.info('request failed', {...fields, error: error.kind});
}

function roundedMs(valueMs: number | undefined): number | undefined {
  return valueMs === undefined ? undefined : Math.round(valueMs);
}
