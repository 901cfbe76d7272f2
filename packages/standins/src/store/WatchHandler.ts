/**
 * Watch streams of the key-value stand-in.
 */
import type {ServerDuplexStream} from '@grpc/grpc-js';
import type {Undo} from '@toucanrouter/common';
import type {KeyValueMessages} from '@toucanrouter/keyvalue';
import {unavailableError} from './CallRunner.js';
import type {Counters} from './Counters.js';
import type {KeyValueState, VersionedEntry} from './KeyValueState.js';
import {rangeContains} from './KeyValueState.js';
import {toKeyRange, toMessage} from './KeyValueTransactions.js';
import type {Switches} from './Switches.js';

type WatchStream = ServerDuplexStream<
  KeyValueMessages['watch'],
  KeyValueMessages['watchResponse']
>;

export interface WatchHandlerOptions {
  readonly state: KeyValueState;
  readonly counters: Counters;
  readonly switches: Switches;
}

export interface WatchHandler {
  /** Serves the watches of one stream. */
  serve(stream: WatchStream): void;
  /** Breaks all open streams with "unavailable". */
  cutAll(): void;
}

export function createWatchHandler(options: WatchHandlerOptions): WatchHandler {
  const openStreams = new Map<WatchStream, () => void>();

  function serve(stream: WatchStream): void {
    const watches = new Map<number, Undo>();
    let nextId = 0;

    function stopWatches(): void {
      for (const stop of watches.values()) stop();
      watches.clear();
      openStreams.delete(stream);
    }

    function cut(): void {
      stopWatches();
      stream.emit('error', unavailableError());
    }

    function cancel(watchId: number): void {
      watches.get(watchId)?.();
      watches.delete(watchId);
      stream.write({...responseHeader(), watchId, canceled: true});
    }

    function responseHeader() {
      const clusterId = options.state.clusterId();
      return {header: {clusterId, revision: options.state.revision()}};
    }

    function create(request: KeyValueMessages['watchCreate']): void {
      options.counters.add('watch');
      const watchId = nextId++;
      stream.write({...responseHeader(), watchId, created: true});
      const compactRevision = options.state.compactedRevision();
      const from = request.startRevision || options.state.revision() + 1;
      if (from <= compactRevision) {
        const cancellation = {watchId, canceled: true, compactRevision};
        stream.write({...responseHeader(), ...cancellation});
        return;
      }
      const range = toKeyRange(request.key, request.rangeEnd);

      function send(entries: readonly VersionedEntry[]): void {
        const matching = entries.filter(e => rangeContains(range, e.key));
        if (matching.length === 0) return;
        const events = matching.map(toEvent);
        stream.write({...responseHeader(), watchId, events});
      }

      for (const entries of options.state.changesSince(from)) send(entries);
      watches.set(watchId, options.state.registerCommitListener(send));
    }

    openStreams.set(stream, cut);
    stream.on('data', (request: KeyValueMessages['watch']) => {
      if (options.switches.state().outage === 'hang') return;
      if (request.createRequest) create(request.createRequest);
      else if (request.cancelRequest) cancel(request.cancelRequest.watchId);
    });
    stream.on('end', () => {
      stopWatches();
      stream.end();
    });
    stream.on('cancelled', stopWatches);
    if (options.switches.state().outage === 'refuse') cut();
  }

  return {
    serve,
    cutAll: () => {
      for (const cut of [...openStreams.values()]) cut();
    },
  };
}

function toEvent(entry: VersionedEntry) {
  const type = entry.version === 0 ? ('DELETE' as const) : ('PUT' as const);
  return {type, kv: toMessage(entry)};
}
