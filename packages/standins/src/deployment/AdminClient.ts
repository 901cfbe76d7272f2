/**
 * Client of the administration API and of the stand-ins' switches.
 */
import {randomUUID} from 'node:crypto';
import {request} from 'undici';
import {writerToken} from './RouterFiles.js';

const callTimeoutMs = 5000;

interface AdminResponse {
  readonly status: number;
  readonly text: string;
}

/** Calls a path; a connection failure is reported as status 0. */
async function call(
  address: string,
  path: string,
  body?: unknown,
): Promise<AdminResponse> {
  try {
    const response = await request(`http://${address}${path}`, {
      method: body === undefined ? 'GET' : 'POST',
      headers: {
        authorization: `Bearer ${writerToken}`,
        'content-type': 'application/json',
      },
      body: body === undefined ? undefined : JSON.stringify(body),
      headersTimeout: callTimeoutMs,
      bodyTimeout: callTimeoutMs,
    });
    return {status: response.statusCode, text: await response.body.text()};
  } catch (error) {
    return {status: 0, text: String(error)};
  }
}

/** Reports whether an instance is ready for callers. */
export async function isReady(address: string): Promise<boolean> {
  return (await call(address, '/readyz')).status === 200;
}

/** Returns the configuration version in force; 0 if there is none. */
export async function configVersion(address: string): Promise<number> {
  const response = await call(address, '/admin/v1/config');
  if (response.status !== 200) return 0;
  return (JSON.parse(response.text) as {version?: number}).version ?? 0;
}

/** Applies a classes file; throws if the instance rejects it. */
export async function applyClassesAt(
  address: string,
  classesText: string,
): Promise<void> {
  const response = await call(address, '/admin/v1/config/apply', {
    classesText,
    expectedVersion: await configVersion(address),
    author: 'deployment',
    writeId: randomUUID(),
  });
  if (response.status === 200) return;
  throw new Error(`classes were rejected: ${response.status} ${response.text}`);
}

/** Reads a document of the administration API as text. */
export async function readAdmin(
  address: string,
  path: string,
): Promise<string> {
  return (await call(address, path)).text;
}

/** Changes switches of a stand-in; one that crashes sends no response. */
export async function postSwitches(
  address: string,
  change: object,
): Promise<void> {
  const response = await call(address, '/switches', change);
  if (response.status === 200 || 'crash' in change) return;
  throw new Error(
    `cannot change switches of ${address}: ${response.status} ${response.text}`,
  );
}
