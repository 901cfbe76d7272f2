/**
 * Measures the cost of one poll of the platform's instance list by number of
 * entries.
 */
import {parseInstanceList} from '@toucanrouter/keyvalue';
import {measureMicrosPerCall} from './Cost.js';
import type {Point} from './Fit.js';
import {sampleMember} from './SampleMembers.js';
import type {Measurement, Series} from './Series.js';
import {measurePoints} from './Series.js';

const sizes = [100, 500, 1_000, 2_500];
const calls = 10;

/** About five engines per router, as in the design's scale. */
const engineShare = 0.84;

function listEntry(index: number, size: number) {
  const {failureDomain, incarnation, peerAddress, region} = sampleMember(index);
  const common = {
    region,
    failure_domain: failureDomain,
    incarnation: String(incarnation),
    state: 'live',
  };
  const isEngine = index < size * engineShare;
  const labels = isEngine
    ? {
        ...common,
        id: `engine-${index}`,
        role: 'engine',
        model: `model-${index % 9}`,
      }
    : {
        ...common,
        id: `router-${index}`,
        role: 'router',
        peer_address: peerAddress,
      };
  return {targets: [peerAddress], labels};
}

function listText(size: number): string {
  return JSON.stringify(
    Array.from({length: size}, (_, index) => listEntry(index, size)),
  );
}

function measureCpu(size: number): Point {
  const text = listText(size);
  const run = () => {
    const parsed = parseInstanceList(JSON.parse(text));
    if (parsed.isErr() || parsed.value.faults.length > 0) {
      throw new Error('the sample list has faults');
    }
  };
  return {x: size, y: measureMicrosPerCall(calls, run)};
}

async function run(): Promise<readonly Series[]> {
  const x = 'entries';
  return [
    {
      key: 'list.bytes',
      title: 'one answer of the instance list',
      x,
      y: 'bytes',
      points: await measurePoints(sizes, size => ({
        x: size,
        y: Buffer.byteLength(listText(size)),
      })),
    },
    {
      key: 'list.cpu',
      title: 'parsing and checking one answer',
      x,
      y: 'µs',
      points: await measurePoints(sizes, measureCpu),
    },
  ];
}

/** Measurements of the platform's instance list. */
export const listSlopes: Measurement = {
  name: 'list',
  description: 'parseInstanceList of the platform package',
  run,
};
