/**
 * The parts of `undici` that this project uses. Its main module loads all of its
 * parts, which takes a large share of the processor time of a start. This module
 * has an entry of its own, so that programs without HTTP calls do not load it.
 */
import type {
  Agent as UndiciAgent,
  Client as UndiciClient,
  Dispatcher,
  request as undiciRequest,
} from 'undici';
import requestWith from 'undici/lib/api/api-request.js';
import agent from 'undici/lib/dispatcher/agent.js';
import client from 'undici/lib/dispatcher/client.js';

export {limitHeaderLines, maxHeaderLinesCount} from './HeaderLines.js';

/** Sends requests to any origin. */
export const Agent = agent as typeof UndiciAgent;

/** Sends requests over one connection. */
export const Client = client as typeof UndiciClient;
export type Client = UndiciClient;

/** Options of a request. */
export type HttpRequestOptions = NonNullable<
  Parameters<typeof undiciRequest>[1]
> & {readonly dispatcher: Dispatcher};

const call = requestWith as (
  this: Dispatcher,
  options: Dispatcher.RequestOptions<unknown>,
) => Promise<Dispatcher.ResponseData<unknown>>;

/** Sends a request and resolves to the head of its response. */
export function request(
  url: string,
  {dispatcher, ...options}: HttpRequestOptions,
): Promise<Dispatcher.ResponseData<unknown>> {
  const {origin, pathname, search} = new URL(url);
  return call.call(dispatcher, {
    ...options,
    method: options.method ?? 'GET',
    origin,
    path: `${pathname}${search}`,
  });
}
