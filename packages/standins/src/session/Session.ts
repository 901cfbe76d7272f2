/**
 * Records a session for golden files: requests, responses and the runs of the
 * upstreams. Generated ids, addresses, fencing tokens and times are normalised.
 */
import {request} from 'undici';
import type {Deployment} from '../deployment/Deployment.js';

export interface SessionRequest {
  readonly method: 'DELETE' | 'GET' | 'POST' | 'PUT';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

export interface SessionStep {
  readonly title: string;
  /** Changes switches of stand-ins before the request is sent. */
  readonly prepare?: (deployment: Deployment) => Promise<void>;
  readonly request: SessionRequest;
}

const recordedHeaders = ['content-type', 'retry-after'];

/** Runs the steps in order against one router and returns the record. */
export async function recordSession(
  deployment: Deployment,
  steps: readonly SessionStep[],
): Promise<string> {
  const [router = ''] = deployment.names('router');
  const address = deployment.addressOf(router);
  const sections: string[] = [];
  for (const step of steps) {
    await step.prepare?.(deployment);
    const response = await send(address, step.request);
    sections.push(formatStep(step, response));
  }
  sections.push(await formatRuns(deployment));
  return normalise(sections.join('\n'));
}

async function send(address: string, sent: SessionRequest): Promise<string> {
  const response = await request(`http://${address}${sent.path}`, {
    method: sent.method,
    headers: sent.headers,
    body: sent.body,
  });
  const headers = recordedHeaders
    .filter(name => response.headers[name] !== undefined)
    .map(name => `< ${name}: ${String(response.headers[name])}`);
  const body = await response.body.text();
  return [
    `< ${response.statusCode}`,
    ...headers,
    ...prefixed('<   ', body),
  ].join('\n');
}

function formatStep(
  {title, request: sent}: SessionStep,
  response: string,
): string {
  const headers = Object.entries(sent.headers ?? {}).map(
    ([name, value]) => `> ${name}: ${value}`,
  );
  return [
    `# ${title}`,
    `> ${sent.method} ${sent.path}`,
    ...headers,
    ...prefixed('>   ', sent.body ?? ''),
    response,
    '',
  ].join('\n');
}

function prefixed(prefix: string, text: string): readonly string[] {
  if (text === '') return [];
  return text
    .trimEnd()
    .split('\n')
    .map(line => `${prefix}${line}`.trimEnd());
}

/**
 * Sorts the runs, since a session does not determine which upstream runs which.
 */
async function formatRuns(deployment: Deployment): Promise<string> {
  const {engineRuns, serviceRuns} = await deployment.readRuns();
  const lines = [
    ...engineRuns.map(run => `engine ${JSON.stringify(run)}`),
    ...serviceRuns.map(run => `service ${JSON.stringify(run)}`),
  ];
  const normalised = lines.map(normalise).sort();
  return ['# What the upstreams ran', ...normalised, ''].join('\n');
}

function normalise(text: string): string {
  return text
    .replace(/"created":\d+/g, '"created":0')
    .replace(/router-\d+-[0-9a-f]{24}/g, 'REQUEST')
    .replace(/"fencingToken":\d+/g, '"fencingToken":0')
    .replace(/127\.0\.0\.1:\d+/g, 'ADDRESS')
    .replace(/^< retry-after: \d+$/gm, '< retry-after: SECONDS');
}
