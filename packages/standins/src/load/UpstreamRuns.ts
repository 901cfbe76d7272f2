/**
 * Reads the run records of the upstreams.
 */
import {request} from 'undici';
import type {EngineRunRecord} from '../engine/EngineRun.js';
import type {ServiceRunRecord} from '../service/ServiceRuns.js';

/** Run records of all upstreams. */
export interface UpstreamRuns {
  readonly engineRuns: readonly EngineRunRecord[];
  readonly serviceRuns: readonly ServiceRunRecord[];
  /** Upstreams that did not respond; their runs are missing. */
  readonly unreachable: readonly string[];
}

const readTimeoutMs = 5000;

/** Reads `/runs` of engines and services at `host:port` addresses. */
export async function readUpstreamRuns(
  engines: readonly string[],
  services: readonly string[],
): Promise<UpstreamRuns> {
  const unreachable: string[] = [];

  async function readAll<T>(addresses: readonly string[]): Promise<T[]> {
    const lists = await Promise.all(
      addresses.map(async address => {
        const runs = await readRuns<T>(address);
        if (runs === undefined) unreachable.push(address);
        return runs ?? [];
      }),
    );
    return lists.flat();
  }

  const engineRuns = await readAll<EngineRunRecord>(engines);
  const serviceRuns = await readAll<ServiceRunRecord>(services);
  return {engineRuns, serviceRuns, unreachable};
}

async function readRuns<T>(address: string): Promise<T[] | undefined> {
  try {
    const response = await request(`http://${address}/runs`, {
      headersTimeout: readTimeoutMs,
      bodyTimeout: readTimeoutMs,
    });
    return ((await response.body.json()) as {runs: T[]}).runs;
  } catch {
    return undefined;
  }
}
