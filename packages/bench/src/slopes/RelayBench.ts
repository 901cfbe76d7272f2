/**
 * Test bed for the relay: the platform stand-in and the clients run in this
 * process, the engine and a complete daemon in child processes.
 */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {createSystemClock} from '@toucanrouter/common';
import {createConfigStore, createKeyValueClient} from '@toucanrouter/keyvalue';
import type {PlatformStandIn} from '@toucanrouter/standins';
import {createPlatformStandIn} from '@toucanrouter/standins';
import {Agent} from 'undici';
import type {MeasuredChild} from './ChildProcess.js';
import {startChild} from './ChildProcess.js';
import type {ChunkPlan} from './ChunkEngine.js';
import type {RelayRouterPlan} from './RelayRouter.js';
import {sampleConfig, sampleKey} from './SampleConfig.js';

/** A daemon with an engine behind it. */
export interface RelayBench {
  readonly engine: MeasuredChild;
  readonly router: MeasuredChild;
  /** Makes a streamed call; resolves to whether the response was complete. */
  call(plan: ChunkPlan): Promise<boolean>;
  close(): Promise<void>;
}

/**
 * Number of ids under which the one engine process is listed. The scheduler
 * starts each engine with a low concurrency limit, so one id would not suffice.
 */
const engineIdCount = 32;

const workspaceCount = 1_300;
const model = 'model-1';
const endMarker = '[DONE]';

async function storeConfig(platform: PlatformStandIn): Promise<void> {
  const clock = createSystemClock();
  const address = platform.keyValueAddress;
  const store = createKeyValueClient({address, timeoutMs: 2_000, clock});
  const configStore = createConfigStore({
    store,
    clock,
    createWriteId: () => 'relay-bench',
  });
  const {classesText} = sampleConfig(workspaceCount, 1);
  const stored = await configStore.change({
    expectedVersion: 0,
    classesText,
    drainedUpstreams: [],
    author: 'bench',
  });
  store.close();
  if (stored.isErr()) throw stored.error;
}

function listEngines(platform: PlatformStandIn, address: string): void {
  for (let index = 0; index < engineIdCount; index++) {
    const id = `engine-${index}`;
    platform.setInstance(id, {
      targets: [address],
      labels: {
        id,
        role: 'engine',
        model,
        region: 'region-1',
        failure_domain: 'region-1-0',
        incarnation: '1',
        state: 'live',
      },
    });
  }
}

async function sendStreamedCall(
  agent: Agent,
  address: string,
  plan: ChunkPlan,
): Promise<boolean> {
  const {body, statusCode} = await agent.request({
    origin: `http://${address}`,
    path: '/v1/chat/completions',
    method: 'POST',
    headers: {
      authorization: `Bearer ${sampleKey(7)}`,
      'content-type': 'application/json',
    },
    body: JSON.stringify({
      model,
      stream: true,
      messages: [{role: 'user', content: JSON.stringify(plan)}],
    }),
  });
  let last = '';
  for await (const part of body as AsyncIterable<Buffer>) {
    last = part.subarray(-16).toString('utf8');
  }
  return statusCode === 200 && last.includes(endMarker);
}

/** Starts all parts; resolves when the daemon has started. */
export async function createRelayBench(): Promise<RelayBench> {
  const directory = mkdtempSync(join(tmpdir(), 'toucanrouter-slopes-'));
  const tokenFile = join(directory, 'token');
  writeFileSync(tokenFile, 'token\n');
  const platform = await createPlatformStandIn();
  const engine = startChild('ChunkEngine');
  const router = startChild('RelayRouter');
  const agent = new Agent({connections: 256, pipelining: 1});
  const close = async (): Promise<void> => {
    await agent.destroy();
    await Promise.all([router.stop(), engine.stop()]);
    await platform.close();
    rmSync(directory, {recursive: true, force: true});
  };
  try {
    await storeConfig(platform);
    listEngines(platform, await engine.call<string>('start'));
    const {instanceListUrl, keyValueAddress} = platform;
    const plan: RelayRouterPlan = {instanceListUrl, keyValueAddress, tokenFile};
    const address = await router.call<string>('start', plan);
    const call = (chunks: ChunkPlan) =>
      sendStreamedCall(agent, address, chunks);
    return {engine, router, call, close};
  } catch (error) {
    await close();
    throw error;
  }
}
