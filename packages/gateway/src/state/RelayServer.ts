/**
 * Serves this instance's view of the store to peers that read the store through
 * it. A response states how the last confirmation of the store lies to the
 * arrival of the request, so that the peer knows the age whatever happens to
 * either process in between.
 */
import type {Server} from 'node:http';
import {createAdaptorServer} from '@hono/node-server';
import type {Clock} from '@toucanrouter/common';
import {Hono} from 'hono';
import type {ConfigAge} from '../config/ConfigAge.js';
import type {LoggedItems, StateLog} from './StateLog.js';
import type {StoredItem} from './StateStore.js';
import type {EndedAbsence, StoreAbsence} from './StoreAbsence.js';

/** A response to a peer. */
export interface RelayResponse {
  readonly revision: number;
  /** True if the items replace everything that the peer knows. */
  readonly complete: boolean;
  readonly items: readonly StoredItem[];
  /** Time from the arrival of the request to the last confirmation. */
  readonly confirmedAfterMs: number;
  /**
   * Time since the end of the last absence of the store that may have made
   * entries expire; null if there was none.
   */
  readonly regainedAgoMs: number | null;
  /** Why the store was absent then; earlier builds do not tell. */
  readonly absence?: StoreAbsence | undefined;
}

/** Options of a relay server. */
export interface RelayServerOptions {
  readonly clock: Clock;
  readonly log: StateLog;
  readonly configAge: ConfigAge;
  /** True while this instance reads the store, or an instance that does. */
  readonly isConnected: () => boolean;
  readonly lastAbsence: () => EndedAbsence | undefined;
}

export const relayPath = '/state';
/** Longest wait that a peer may ask for. */
const maxWaitMs = 5_000;
const statusUnavailable = 503;

/** Resolves when the log changed, or after `waitMs`. */
function waitForChange(
  {clock, log}: RelayServerOptions,
  waitMs: number,
): Promise<void> {
  return new Promise(resolve => {
    const finish = () => {
      stopListening();
      cancelTimer();
      resolve();
    };
    const stopListening = log.onChange(finish);
    const cancelTimer = clock.after(waitMs, finish);
  });
}

/** Creates the server without listening. */
export function createRelayServer(options: RelayServerOptions): Server {
  const {configAge, log} = options;

  async function itemsSince(
    revision: number,
    waitMs: number,
  ): Promise<LoggedItems | undefined> {
    const atOnce = log.since(revision);
    if (atOnce === undefined || atOnce.complete || atOnce.items.length > 0) {
      return atOnce;
    }
    await waitForChange(options, Math.min(waitMs, maxWaitMs));
    return log.since(revision);
  }

  const app = new Hono();
  app.get(relayPath, async context => {
    const arrival = configAge.mark();
    const after = Number(context.req.query('after') ?? '0');
    const waitMs = Number(context.req.query('wait_ms') ?? '0');
    if (!Number.isFinite(after) || !(waitMs >= 0)) {
      return context.text('after and wait_ms must be numbers\n', 400);
    }
    const logged = options.isConnected()
      ? await itemsSince(after, waitMs)
      : undefined;
    if (logged === undefined || !options.isConnected()) {
      return context.text(
        'the store is not read at present\n',
        statusUnavailable,
      );
    }
    const absence = options.lastAbsence();
    const response: RelayResponse = {
      ...logged,
      confirmedAfterMs: configAge.confirmedAfterMs(arrival),
      regainedAgoMs: absence?.endedAgoMs ?? null,
      absence: absence?.reason,
    };
    return context.json(response);
  });
  return createAdaptorServer({fetch: app.fetch}) as Server;
}
