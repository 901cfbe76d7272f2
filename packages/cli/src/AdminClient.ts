/**
 * Client of the administration API.
 */
import type {
  AdminErrorBody,
  BurnReportResponse,
  ConfigAcceptedResponse,
  ConfigApplyRequest,
  ConfigDiffRequest,
  ConfigDiffResponse,
  ConfigHistoryResponse,
  ConfigInForceResponse,
  ConfigShowResponse,
  FleetStatus,
  QueuedRequests,
  UpstreamChangeRequest,
} from '@toucanrouter/common';
import {isErrorKind} from '@toucanrouter/common';
import {fetch} from 'undici';
import {exitCodes} from './ExitCodes.js';
import {
  responseLostError,
  fromErrorBody,
  ToolError,
  unreachableError,
} from './ToolError.js';

/** Methods of the administration API; each throws a `ToolError` on failure. */
export interface AdminClient {
  applyConfig(request: ConfigApplyRequest): Promise<ConfigAcceptedResponse>;
  burnReport(): Promise<BurnReportResponse>;
  changeUpstream(
    upstreamId: string,
    action: 'drain' | 'undrain',
    request: UpstreamChangeRequest,
  ): Promise<ConfigAcceptedResponse>;
  config(): Promise<ConfigShowResponse>;
  configHistory(limit: number): Promise<ConfigHistoryResponse>;
  configInForce(version: number): Promise<ConfigInForceResponse>;
  diffConfig(request: ConfigDiffRequest): Promise<ConfigDiffResponse>;
  queuedRequests(): Promise<QueuedRequests>;
  status(): Promise<FleetStatus>;
}

/** Address and credentials of the administration API. */
export interface AdminClientOptions {
  /** Such as `http://127.0.0.1:9090`. */
  readonly address: string;
  readonly token: string;
}

/** A response needs at most one platform call, which has its own timeout. */
const callTimeoutMs = 20_000;

/** Creates a client of a single instance. */
export function createAdminClient(options: AdminClientOptions): AdminClient {
  const get = <T>(path: string) => call<T>(options, path);
  const change = <T>(
    path: string,
    body: ConfigApplyRequest | UpstreamChangeRequest,
  ) => callWithRetry<T>(options, path, body);
  return {
    applyConfig: request => change('/config/apply', request),
    burnReport: () => get('/reports/burn'),
    changeUpstream: (upstreamId, action, request) =>
      change(`/upstreams/${encodeURIComponent(upstreamId)}/${action}`, request),
    config: () => get('/config'),
    configHistory: limit => get(`/config/history?limit=${limit}`),
    configInForce: version => get(`/config/in-force?version=${version}`),
    diffConfig: request => call(options, '/config/diff', request),
    queuedRequests: () => get('/requests'),
    status: () => get('/status'),
  };
}

/** Retries once after a lost response; the write id makes this safe. */
async function callWithRetry<T>(
  options: AdminClientOptions,
  path: string,
  body: ConfigApplyRequest | UpstreamChangeRequest,
): Promise<T> {
  try {
    return await call<T>(options, path, body);
  } catch (error) {
    if (!isBrokenConnection(error)) throw error;
  }
  try {
    return await call<T>(options, path, body);
  } catch (error) {
    throw isUnreachable(error) ? responseLostError(body.writeId, error) : error;
  }
}

function isUnreachable(error: unknown): error is ToolError {
  return error instanceof ToolError && error.exitCode === exitCodes.unreachable;
}

/**
 * Returns whether the request may have been sent: it was not if the connection
 * was refused or the host is unknown.
 */
function isBrokenConnection(error: unknown): boolean {
  if (!isUnreachable(error)) return false;
  const cause = (error.cause as {cause?: {code?: string}} | undefined)?.cause;
  return cause?.code !== 'ECONNREFUSED' && cause?.code !== 'ENOTFOUND';
}

async function call<T>(
  options: AdminClientOptions,
  path: string,
  body?: unknown,
): Promise<T> {
  const {status, text} = await sendRequest(options, path, body);
  const value = parseJson(text);
  if (status === 200 && value !== undefined) return value as T;
  if (isErrorBody(value)) throw fromErrorBody(value);
  throw new ToolError(
    exitCodes.failed,
    `${options.address} responded with status ${status} and without a toucanrouter error`,
    {next: 'check that --address names the administration port'},
  );
}

async function sendRequest(
  {address, token}: AdminClientOptions,
  path: string,
  body: unknown,
): Promise<{status: number; text: string}> {
  try {
    const response = await fetch(`${address}/admin/v1${path}`, {
      method: body === undefined ? 'GET' : 'POST',
      headers: {
        authorization: `Bearer ${token}`,
        'content-type': 'application/json',
      },
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(callTimeoutMs),
    });
    return {status: response.status, text: await response.text()};
  } catch (cause) {
    throw unreachableError(address, cause);
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function isErrorBody(value: unknown): value is AdminErrorBody {
  const type = (value as Partial<AdminErrorBody> | undefined)?.error?.type;
  return typeof type === 'string' && isErrorKind(type);
}
