#!/usr/bin/env node
/**
 * Measures the latency that the router adds: sends the same lookups directly to
 * a plain service and through the routers of a deployment, alternately.
 * `latency [--calls 1000] [--gap-ms 10] [--rounds 2]`.
 */
import {parseArgs} from 'node:util';
import {Agent, request} from 'undici';
import {createDeployment} from '../deployment/Deployment.js';

const {values} = parseArgs({
  options: {
    calls: {type: 'string', default: '1000'},
    'gap-ms': {type: 'string', default: '10'},
    rounds: {type: 'string', default: '2'},
  },
});
const calls = Number(values.calls);
const gapMs = Number(values['gap-ms']);
const dispatcher = new Agent();
const headers = {authorization: 'Bearer key-martin'};

async function timeCallMs(url: string): Promise<number> {
  const startedAtMs = performance.now();
  const response = await request(url, {headers, dispatcher});
  await response.body.dump();
  if (response.statusCode !== 200) {
    throw new Error(`${url} responded with status ${response.statusCode}`);
  }
  return performance.now() - startedAtMs;
}

async function measure(urls: readonly string[]): Promise<readonly number[]> {
  const pending: Promise<number>[] = [];
  for (let i = 0; i < calls; i++) {
    const url = urls[i % urls.length];
    pending.push(timeCallMs(`${url}?call=${i}`));
    await new Promise(resolve => setTimeout(resolve, gapMs));
  }
  return (await Promise.all(pending)).sort((a, b) => a - b);
}

function quantile(sorted: readonly number[], fraction: number): number {
  const index = Math.min(sorted.length - 1, sorted.length * fraction);
  return sorted[Math.floor(index)] ?? NaN;
}

function describe(title: string, sorted: readonly number[]): string {
  const p50 = quantile(sorted, 0.5).toFixed(1);
  const p99 = quantile(sorted, 0.99).toFixed(1);
  return `${title}: p50 ${p50} ms, p99 ${p99} ms`;
}

const deployment = await createDeployment({
  name: 'tkacik',
  directory: 'latency',
});
try {
  const routers = deployment
    .names('router')
    .map(name => `http://${deployment.addressOf(name)}/services/profiles/p/7`);
  const services = deployment
    .names('service')
    .filter(name => name.startsWith('profiles'))
    .map(name => `http://${deployment.addressOf(name)}/p/7`);
  await measure(routers);
  for (let round = 1; round <= Number(values.rounds); round++) {
    const direct = await measure(services);
    const routed = await measure(routers);
    const addedMs = quantile(routed, 0.99) - quantile(direct, 0.99);
    console.log(describe(`round ${round}, directly to the service`, direct));
    console.log(describe(`round ${round}, through the routers`, routed));
    console.log(`round ${round}, added at p99: ${addedMs.toFixed(1)} ms`);
  }
} finally {
  await dispatcher.close();
  await deployment.stopAll();
}
