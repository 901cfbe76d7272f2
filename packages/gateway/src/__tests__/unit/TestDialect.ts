import {readRequestRate, readRetryAfter} from '@toucanrouter/common';
import type {Dialect} from '../../request/Dialect.js';

const passedOnHeaders = ['mark', 'content-length', 'content-type'];

/** A wire format with short header names. */
export const testDialect: Dialect = {
  readRequest: message => ({
    requestId: String(message.headers['id'] ?? ''),
    method: message.method ?? '',
    host: 'h',
    target: message.url ?? '',
    path: message.url ?? '',
    key: message.headers.authorization,
    callerTimeoutMs: undefined,
    prompt: undefined,
    resumeAfterId: message.headers['after'] as string | undefined,
    resumesRequestId: message.headers['resumes'] as string | undefined,
    headers: ['id', String(message.headers['id'] ?? '')],
  }),
  upstreamHeaders: (request, attributes) => [
    ...request.headers,
    ...(attributes.resumeAfterId === undefined
      ? []
      : ['after', attributes.resumeAfterId]),
  ],
  readResponse: (status, headers) => ({
    status,
    requestId: headers['id'] as string | undefined,
    notRun: headers['not-run'] !== undefined,
    misdirected: status === 421,
    stamped: headers['mark'] !== undefined,
    mayBeEventStream:
      (headers['content-type'] ?? 'text/event-stream') === 'text/event-stream',
    leaving: headers['leaving'] !== undefined,
    retryAfter: readRetryAfter(headers['retry-after']),
    requestRate: readRequestRate(headers['rate-limit']),
    contentEncoded: false,
    headers: passedOnHeaders.flatMap(name =>
      headers[name] === undefined ? [] : [name, String(headers[name])],
    ),
  }),
};
