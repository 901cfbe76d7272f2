/**
 * The origins of the streams that this instance began. It knows nothing of the
 * streams of other instances, or from before a restart.
 */
import {createBoundedMap} from '@toucanrouter/policy';
import type {
  StreamKey,
  StreamOrigin,
  StreamOrigins,
} from '../../streams/StreamOrigins.js';

/** Bounds the streams to remember; the oldest are forgotten first. */
const maxStreams = 16_384;
/** A longer id is not remembered, since it would take memory from others. */
const maxRequestIdLength = 256;

function keyOf({requestId, workspaceId}: StreamKey): string {
  return JSON.stringify([workspaceId ?? '', requestId]);
}

function isSameOrigin(a: StreamOrigin, b: StreamOrigin): boolean {
  return a.service === b.service && a.softwareVersion === b.softwareVersion;
}

/** Creates origins that are kept in the memory of this instance only. */
export function createLocalStreamOrigins(): StreamOrigins {
  const origins = createBoundedMap<string, StreamOrigin | 'ambiguous'>(
    maxStreams,
  );
  return {
    mayBegin: () => true,
    streamBegan: (key, origin) => {
      const {requestId} = key;
      if (requestId === '' || requestId.length > maxRequestIdLength) return;
      const previous = origins.get(keyOf(key));
      const isAmbiguous =
        previous !== undefined &&
        (previous === 'ambiguous' || !isSameOrigin(previous, origin));
      origins.set(keyOf(key), isAmbiguous ? 'ambiguous' : origin);
    },
    find: (key, services) => {
      if (key === undefined) {
        const reason = 'the caller does not name the request that began it';
        return Promise.resolve({kind: 'unknown', reason});
      }
      const origin = origins.get(keyOf(key));
      if (origin === undefined) {
        const reason = 'this instance did not begin the stream';
        return Promise.resolve({kind: 'unknown', reason});
      }
      if (origin === 'ambiguous') {
        const reason = 'several streams began under the same request id';
        return Promise.resolve({kind: 'unknown', reason});
      }
      if (!services.includes(origin.service)) {
        const reason = `the route does not lead to service ${origin.service}`;
        return Promise.resolve({kind: 'unknown', reason});
      }
      return Promise.resolve({kind: 'known', origin});
    },
  };
}
