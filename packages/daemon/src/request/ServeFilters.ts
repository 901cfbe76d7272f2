/**
 * The last filters of the pipelines: they obtain the response from an upstream
 * and send it to the caller.
 */
import type {ClaimedCalls} from '../claims/ClaimedCall.js';
import {err, ok} from 'neverthrow';
import {parseChatRequest} from './chat/ChatRequest.js';
import {serveChat} from './chat/ChatCall.js';
import type {Filter} from './Exchange.js';
import {classOf} from './Exchange.js';
import {servePlain} from './plain/PlainCall.js';
import type {UpstreamAccess} from './UpstreamAccess.js';
import {shardFor} from './UpstreamAccess.js';

/** Creates the filter that serves chat-completion calls. */
export function createChatFilter(access: UpstreamAccess): Filter {
  return async exchange => {
    const request = parseChatRequest(exchange.body);
    if (request.isErr()) return err(request.error);
    const shardId = shardFor(access, exchange);
    if (shardId.isErr()) return err(shardId.error);
    return serveChat(access, exchange, request.value, shardId.value);
  };
}

/** Options of the filter for plain services. */
export interface PlainFilterOptions {
  readonly access: UpstreamAccess;
  readonly claims: ClaimedCalls;
  readonly servicesIgnoringFencing: readonly string[];
}

/** Creates the filter that serves calls of plain services. */
export function createPlainFilter(options: PlainFilterOptions): Filter {
  const {access, claims} = options;
  const unfenced = new Set(options.servicesIgnoringFencing);
  return async exchange => {
    const shardId = shardFor(access, exchange);
    if (shardId.isErr()) return err(shardId.error);
    const fenced = !unfenced.has(exchange.target.serves);
    const response = classOf(exchange).idempotent
      ? await servePlain(access, exchange, shardId.value, {})
      : await claims.run(exchange, fencingToken =>
          servePlain(
            access,
            exchange,
            shardId.value,
            fenced ? {'x-fencing-token': String(fencingToken)} : {},
          ),
        );
    if (response.isErr()) return err(response.error);
    const {status, headers, body} = response.value;
    exchange.response.send(status, headers, body);
    return ok(undefined);
  };
}
