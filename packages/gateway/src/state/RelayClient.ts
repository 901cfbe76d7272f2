/**
 * Reads the state of the store through another instance.
 */
import {
  connectWithin,
  hasTooManyValues,
  PlatformError,
  readWholeBody,
} from '@toucanrouter/common';
import {Agent, request} from '@toucanrouter/common/http-client';
import type {ListenAddress} from '@toucanrouter/settings';
import {err, ok, ResultAsync} from 'neverthrow';
import type {Result} from 'neverthrow';
import * as z from 'zod';
import type {RelayResponse} from './RelayServer.js';
import {relayPath} from './RelayServer.js';
import type {StoreEra} from './StateStore.js';
import {toStoreEra} from './StateStore.js';

/** Reads from other instances until it is closed. */
export interface RelayClient {
  /** Waits up to `waitMs` for items after `revision` of the history `era`. */
  read(
    address: ListenAddress,
    revision: number,
    waitMs: number,
    timeoutMs: number,
    era?: StoreEra,
  ): ResultAsync<RelayResponse, PlatformError>;
  close(): Promise<void>;
}

const itemSchema = z
  .object({key: z.string(), value: z.string().optional()})
  .transform(({key, value}) => ({key, value}));

const responseSchema = z.object({
  revision: z.number(),
  complete: z.boolean(),
  // Ends at the first unsound item: an array of the schema would hold an issue
  // for each of them.
  items: z
    .array(z.unknown())
    .transform(items => items.map(item => itemSchema.parse(item))),
  confirmedAfterMs: z.number(),
  regainedAgoMs: z.number().nullable(),
  absence: z.enum(['outage', 'cut_off', 'unknown']).optional(),
  era: z.number().int().transform(toStoreEra).optional(),
  readAfterMs: z.number().optional(),
  configVersion: z.number().optional(),
});

/** Bounds memory; a full snapshot of a large fleet is far smaller. */
const maxResponseBytes = 16 * 1024 * 1024;
const keepAliveTimeoutMs = 10_000;
/** `undici` does not cancel a call before its connection is established. */
const connectTimeoutMs = 500;
const statusOk = 200;

function failure(address: ListenAddress, reason: string): PlatformError {
  const instance = `${address.host}:${address.port}`;
  return new PlatformError(`instance ${instance}: ${reason}`, false);
}

/** Creates a client without connections. */
export function createRelayClient(): RelayClient {
  const dispatcher = new Agent({
    pipelining: 1,
    connections: 1,
    connect: connectWithin(connectTimeoutMs),
    keepAliveTimeout: keepAliveTimeoutMs,
  });

  async function read(
    address: ListenAddress,
    path: string,
    timeoutMs: number,
  ): Promise<Result<RelayResponse, PlatformError>> {
    try {
      const response = await request(
        `http://${address.host}:${address.port}${path}`,
        {dispatcher, signal: AbortSignal.timeout(timeoutMs)},
      );
      const body = await readWholeBody(response.body, maxResponseBytes);
      const text = body.toString();
      if (response.statusCode !== statusOk) {
        return err(failure(address, `status ${response.statusCode}`));
      }
      if (hasTooManyValues(text)) {
        return err(failure(address, 'the response has too many values'));
      }
      return ok(responseSchema.parse(JSON.parse(text)));
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      return err(failure(address, reason));
    }
  }

  return {
    read: (address, revision, waitMs, timeoutMs, era) => {
      const eraQuery = era === undefined ? '' : `&era=${era}`;
      const path = `${relayPath}?after=${revision}&wait_ms=${waitMs}${eraQuery}`;
      return new ResultAsync(read(address, path, timeoutMs));
    },
    close: () => dispatcher.destroy(),
  };
}
