/**
 * Serves this instance's view of the store to peers that read the store through
 * it. A response states how the last confirmation of the store lies to the
 * arrival of the request, so that the peer knows the age whatever happens to
 * either process in between.
 */
import type {Server} from 'node:http';
import type {Clock} from '@toucanrouter/common';
import type {ConfigAge} from '../config/ConfigAge.js';
import type {RouteResponse} from '../server/RouteServer.js';
import {
  createRouteServer,
  jsonResponse,
  textResponse,
} from '../server/RouteServer.js';
import type {LoggedItems, StateLog} from './StateLog.js';
import type {StoredItem, StoreEra} from './StateStore.js';
import {toStoreEra} from './StateStore.js';
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
  /** History of the store that the revision belongs to. */
  readonly era?: StoreEra | undefined;
  /**
   * Time from the arrival of the request to the last read of the store, which
   * may show an older configuration than the one in force.
   */
  readonly readAfterMs?: number | undefined;
  /** Version of the configuration that this read showed. */
  readonly configVersion?: number | undefined;
}

/** Options of a relay server. */
export interface RelayServerOptions {
  readonly clock: Clock;
  readonly log: StateLog;
  readonly configAge: ConfigAge;
  /** Age of the last read of the store. */
  readonly readAge: Pick<ConfigAge, 'confirmedAfterMs'>;
  /** Version of the configuration that the store shows. */
  readonly shownConfigVersion: () => number;
  /** True while this instance reads the store, or an instance that does. */
  readonly isConnected: () => boolean;
  readonly lastAbsence: () => EndedAbsence | undefined;
}

export const relayPath = '/state';
/** Longest wait that a peer may ask for. */
const maxWaitMs = 5_000;
/** Bounds memory: polls that wait at the same time; further ones are refused. */
export const maxWaitingPolls = 512;
const statusBadRequest = 400;
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
  let waitingPollsCount = 0;

  async function itemsSince(
    revision: number,
    era: StoreEra | undefined,
    waitMs: number,
  ): Promise<LoggedItems | 'too_many_polls' | undefined> {
    const atOnce = log.since(revision, era);
    if (atOnce === undefined || atOnce.complete || atOnce.items.length > 0) {
      return atOnce;
    }
    if (waitingPollsCount >= maxWaitingPolls) return 'too_many_polls';
    waitingPollsCount += 1;
    await waitForChange(options, Math.min(waitMs, maxWaitMs));
    waitingPollsCount -= 1;
    return log.since(revision, era);
  }

  async function relayState(query: URLSearchParams): Promise<RouteResponse> {
    const arrival = configAge.mark();
    const after = Number(query.get('after') ?? '0');
    const waitMs = Number(query.get('wait_ms') ?? '0');
    const era = query.has('era') ? Number(query.get('era')) : undefined;
    if (
      !Number.isFinite(after) ||
      !(waitMs >= 0) ||
      (era !== undefined && !Number.isSafeInteger(era))
    ) {
      return textResponse(
        'after, era and wait_ms must be numbers\n',
        statusBadRequest,
      );
    }
    const logged = options.isConnected()
      ? await itemsSince(
          after,
          era === undefined ? undefined : toStoreEra(era),
          waitMs,
        )
      : undefined;
    if (logged === 'too_many_polls') {
      return textResponse(
        `${maxWaitingPolls} polls wait for a change already\n`,
        statusUnavailable,
      );
    }
    if (logged === undefined || !options.isConnected()) {
      return textResponse(
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
      era: log.era(),
      readAfterMs: options.readAge.confirmedAfterMs(arrival),
      configVersion: options.shownConfigVersion(),
    };
    return jsonResponse(response);
  }

  return createRouteServer({[relayPath]: relayState});
}
