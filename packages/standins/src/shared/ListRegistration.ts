/**
 * Registers one instance in the platform's instance list and keeps the entry
 * up to date.
 */
import {request} from 'undici';

/** State of an instance as published in the list. */
export type ListedState = 'leaving' | 'live';

export interface ListEntry {
  /** URL of the list; the entry is written to `<listUrl>/<id>`. */
  readonly listUrl: string;
  readonly id: string;
  /** `host:port`. */
  readonly address: string;
  /** Labels other than `id` and `state`. */
  readonly labels: Readonly<Record<string, string>>;
}

export interface ListRegistration {
  setState(state: ListedState): Promise<void>;
  /** Stops registering and removes the entry. */
  remove(): Promise<void>;
  /** Stops registering but leaves the entry in the list, as a crash would. */
  abandon(): void;
}

const registerIntervalMs = 1000;
const callTimeoutMs = 2000;

/** Registers an entry and refreshes it every second until it is removed. */
export function registerInList(entry: ListEntry): ListRegistration {
  const url = `${entry.listUrl}/${encodeURIComponent(entry.id)}`;
  let state: ListedState = 'live';
  let lastPut = Promise.resolve();

  function put(): Promise<void> {
    const labels = {...entry.labels, id: entry.id, state};
    lastPut = callList(
      url,
      'PUT',
      JSON.stringify({targets: [entry.address], labels}),
    );
    return lastPut;
  }

  const timer = setInterval(() => void put(), registerIntervalMs);
  void put();
  return {
    setState: async next => {
      state = next;
      await put();
    },
    remove: async () => {
      clearInterval(timer);
      // A PUT that arrives after the DELETE would register the entry again.
      await lastPut;
      await callList(url, 'DELETE', undefined);
    },
    abandon: () => clearInterval(timer),
  };
}

/** Calls the list; a failed call is retried at the next interval. */
async function callList(
  url: string,
  method: 'DELETE' | 'PUT',
  body: string | undefined,
): Promise<void> {
  try {
    const response = await request(url, {
      method,
      body,
      headers: {'content-type': 'application/json'},
      headersTimeout: callTimeoutMs,
      bodyTimeout: callTimeoutMs,
    });
    await response.body.dump();
  } catch {
    // Outages of the list are tolerated; the next interval sends the entry
    // again.
  }
}
