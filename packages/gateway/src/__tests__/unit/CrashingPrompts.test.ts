import type {Server, ServerResponse} from 'node:http';
import {createServer, request as sendRequest} from 'node:http';
import type {AddressInfo} from 'node:net';
import {createServer as createTcpServer} from 'node:net';
import {
  createSeededRandom,
  createSystemClock,
  delay,
  PlatformError,
  toInstanceId,
} from '@toucanrouter/common';
import {createLogger} from '@toucanrouter/logging';
import type {GatewaySettings} from '@toucanrouter/settings';
import {expect} from 'chai';
import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import {createGateway} from '../../Gateway.js';
import type {Dialect} from '../../request/Dialect.js';
import type {
  StateChange,
  StateStore,
  StoredItem,
} from '../../state/StateStore.js';
import {parsePromptSegments} from '../../upstreams/Prompt.js';
import {createConfig, createEntry, createRoute} from './GatewayFixtures.js';
import {testDialect} from './TestDialect.js';
import {emptyOriginStore} from './StreamOriginFixtures.js';

const clock = createSystemClock();
const host = '127.0.0.1';
const engineCount = 12;
const gatewayCount = 2;
/** Time from a request to the begin of its response, or to the crash. */
const prefillMs = 60;
const eventGapMs = 15;
const eventCount = 6;
const replacementDelayMs = 200;
/** Time in which a crash becomes known to all instances. */
const contactMs = 500;
const crashesBeforeVerdict = 5;
const maxLaterArrivals = 3;
const crashingSegment = 'crashing';

/** Reads the segments of a prompt from a header. */
const promptDialect: Dialect = {
  ...testDialect,
  readRequest: message => {
    const request = testDialect.readRequest(message);
    const segments = parsePromptSegments(String(message.headers['parts']));
    return {
      ...request,
      prompt: {segments, promptTokens: 300, maxOutputTokens: 10},
      headers: [...request.headers, 'parts', String(message.headers['parts'])],
    };
  },
};

/** A store whose items are published while gateways follow it. */
function createLiveStore() {
  const changes: StateChange[] = [];
  const waiting = new Set<() => void>();
  const itemsFrom = (revision: number): readonly StoredItem[] =>
    changes.slice(revision).map((_, index) => ({
      key: `${revision + index}`,
      value: '',
    }));
  const updateFrom = (revision: number) => ({
    revision: changes.length,
    items: itemsFrom(revision),
  });
  async function waitForChange(revision: number, waitMs: number) {
    if (changes.length === revision) {
      await new Promise<void>(resolve => {
        const cancel = clock.after(waitMs, resolve);
        waiting.add(() => {
          cancel();
          resolve();
        });
      });
    }
    return updateFrom(revision);
  }
  const store: StateStore = {
    ...emptyOriginStore,
    decode: ({key}) => changes[Number(key)],
    readAll: () => okAsync(updateFrom(0)),
    readChanges: (revision, waitMs) =>
      ResultAsync.fromSafePromise(waitForChange(revision, waitMs)),
    readConfig: () => okAsync(undefined),
    readUpstream: () => okAsync(undefined),
    register: () => errAsync(new PlatformError('not supported', false)),
    renew: () => okAsync({exists: true}),
    saveVerdict: verdict => {
      publish({kind: 'verdict', verdict});
      return okAsync(undefined);
    },
    removeVerdict: segment => {
      publish({kind: 'verdict_removed', segment});
      return okAsync(undefined);
    },
  };
  function publish(change: StateChange): void {
    changes.push(change);
    for (const notify of waiting) notify();
    waiting.clear();
  }
  return {store, publish};
}

interface Arrival {
  readonly requestId: string;
  readonly atMs: number;
}

/** Returns the number of events that are written before a crash. */
type EventsBeforeCrash = (crashIndex: number) => number;

interface EngineOptions {
  readonly eventsBeforeCrash: EventsBeforeCrash;
  readonly prepareResponse: (response: ServerResponse) => void;
}

interface CheckOptions extends EngineOptions {
  /** Segments of all prompts that come before the one that crashes engines. */
  readonly sharedSegments: readonly string[];
}

const longPrompt = Array.from({length: 40}, (_, index) => `shared-${index}`);

async function streamEvents(
  response: ServerResponse,
  count: number,
): Promise<void> {
  for (let index = 1; index <= count; index += 1) {
    response.write(`id: ${index}\ndata: e\n\n`);
    await delay(clock, eventGapMs);
  }
}

/** The end of the connection marks the end of the response. */
function omitLength(response: ServerResponse): void {
  response.useChunkedEncodingByDefault = false;
}

/**
 * Starts engines that stream events. An engine ends when it answers a prompt with
 * the crashing segment, and another one takes its place.
 */
function createEngines(
  publish: (change: StateChange) => void,
  {eventsBeforeCrash, prepareResponse}: EngineOptions,
) {
  const servers = new Set<Server>();
  const arrivals: Arrival[] = [];
  const crashTimesMs: number[] = [];
  let startedCount = 0;
  let closed = false;

  function crash(server: Server, id: string): void {
    if (!servers.delete(server)) return;
    crashTimesMs.push(clock.nowMs());
    server.close();
    server.closeAllConnections();
    clock.after(replacementDelayMs, () => {
      const {id: removedId} = createEntry(id);
      publish({kind: 'upstream_removed', id: removedId});
      if (!closed) void start();
    });
  }

  async function start(): Promise<void> {
    const id = `engine-${startedCount++}`;
    const server = createServer((message, response) => {
      message.resume();
      const requestId = String(message.headers['id']);
      arrivals.push({requestId, atMs: clock.nowMs()});
      const crashes = String(message.headers['parts']).includes(
        crashingSegment,
      );
      const respond = async () => {
        const count = crashes
          ? eventsBeforeCrash(crashTimesMs.length)
          : eventCount;
        if (count > 0) {
          prepareResponse(response);
          response.writeHead(200, {id: requestId, mark: 'm'});
          await streamEvents(response, count);
        }
        if (crashes) crash(server, id);
        else response.end();
      };
      setTimeout(() => void respond(), prefillMs);
    });
    await new Promise<void>(resolve => server.listen(0, host, resolve));
    servers.add(server);
    const {port} = server.address() as AddressInfo;
    publish({kind: 'upstream', entry: createEntry(id, {host, port})});
  }

  return {
    start,
    arrivals,
    crashTimesMs,
    close: () => {
      closed = true;
      for (const server of servers) {
        server.close();
        server.closeAllConnections();
      }
    },
  };
}

async function freePort(): Promise<number> {
  const server = createTcpServer();
  await new Promise<void>(resolve => server.listen(0, host, resolve));
  const {port} = server.address() as AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return port;
}

async function createSettings(index: number): Promise<GatewaySettings> {
  const address = async () => ({host, port: await freePort()});
  return {
    instanceId: toInstanceId(`i${index}`),
    failureDomain: 'a',
    callers: await address(),
    readiness: await address(),
    metrics: await address(),
    peers: await address(),
    storeAddress: 'unused',
    stopGraceMs: 3_000,
    revocationDelayMs: 60_000,
    configDelayMs: 2_000,
    leavingDelayMs: 2_000,
    retryShare: 0.2,
    retryWindowMs: 10_000,
    retryAllowance: 50,
    memoryLimitBytes: undefined,
    logLevel: 'error',
  };
}

/** Starts gateways that know each other, with engines behind them. */
async function startFleet(options: EngineOptions) {
  const {publish, store} = createLiveStore();
  publish({
    kind: 'config',
    config: createConfig({
      routes: [createRoute({maxUpstreams: 3, targetLatencyMs: 1_000})],
    }),
  });
  const engines = createEngines(publish, options);
  for (let index = 0; index < engineCount; index += 1) await engines.start();
  const settings = await Promise.all(
    Array.from({length: gatewayCount}, (_, index) => createSettings(index)),
  );
  for (const {instanceId, peers} of settings) {
    publish({kind: 'peer', entry: {instanceId, address: peers}});
  }
  const create = (own: GatewaySettings, index: number) =>
    createGateway({
      settings: own,
      clock,
      logger: createLogger({
        format: 'json',
        level: 'error',
        instanceId: own.instanceId,
        write: () => undefined,
      }),
      random: createSeededRandom(index + 1),
      dialect: promptDialect,
      store,
      readinessPath: '/ready',
    });
  async function startAll() {
    const started = settings.map(create);
    await Promise.all(started.map(gateway => gateway.start()));
    await delay(clock, 100);
    return started;
  }
  let gateways = await startAll();
  const stopAll = async () => {
    await Promise.all(gateways.map(gateway => gateway.close()));
  };
  return {
    engines,
    ports: settings.map(({callers}) => callers.port),
    restartAll: async () => {
      await stopAll();
      gateways = await startAll();
    },
    close: async () => {
      await stopAll();
      engines.close();
    },
  };
}

interface Answer {
  readonly status: number;
  readonly retryAfter: string | undefined;
}

function send(port: number, id: string, parts: string): Promise<Answer> {
  return new Promise((resolve, reject) => {
    const headers = {id, parts, authorization: 'key'};
    const call = sendRequest(
      {host, port, path: '/chat/x', method: 'POST', headers, agent: false},
      response => {
        response.resume();
        response.on('error', () => undefined);
        response.on('close', () =>
          resolve({
            status: response.statusCode ?? 0,
            retryAfter: response.headers['retry-after'],
          }),
        );
      },
    );
    call.on('error', reject);
    call.end('body');
  });
}

describe('Gateway with prompts that crash engines', () => {
  const none = () => undefined;
  const short = ['class'];
  for (const [moment, eventsBeforeCrash, prepareResponse, sharedSegments] of [
    ['before the first event', () => 0, none, short],
    ['after the first event', () => 1, none, short],
    [
      'after some events',
      (index: number) => 1 + ((index * 3) % 7),
      none,
      short,
    ],
    ['within a response without a length', () => 2, omitLength, short],
    ['and comes late in the prompt', () => 0, none, longPrompt],
  ] as const) {
    // Guards against a prompt segment that crashes one engine after the other,
    // by new requests and by retries, at all instances.
    it(`stops sending requests with a segment that crashes engines ${moment} and serves those that share the rest`, () =>
      checkQuarantine({eventsBeforeCrash, prepareResponse, sharedSegments}));
  }

  // Guards against a verdict that is lost when all instances restart together.
  it('stops sending such requests after all instances have restarted', async () => {
    const fleet = await startFleet({
      eventsBeforeCrash: () => 0,
      prepareResponse: none,
    });
    const prompt = (id: string) => `${crashingSegment}:100,${id}:100`;
    const answers: Promise<Answer>[] = [];
    async function sendSome(name: string, count: number): Promise<void> {
      for (let index = 0; index < count; index += 1) {
        const port = fleet.ports[index % gatewayCount] ?? 0;
        const id = `${name}-${index}`;
        answers.push(send(port, id, prompt(id)));
        await delay(clock, 300);
      }
      await Promise.all(answers);
    }
    await sendSome('before', 10);
    await fleet.restartAll();
    const arrivedBefore = fleet.engines.arrivals.length;
    await sendSome('after', 6);
    const arrivedAfter = fleet.engines.arrivals.length - arrivedBefore;
    await fleet.close();
    expect(arrivedBefore).to.be.above(0);
    expect(arrivedAfter).to.equal(0);
  });

  async function checkQuarantine(options: CheckOptions): Promise<void> {
    const fleet = await startFleet(options);
    const {arrivals, crashTimesMs} = fleet.engines;
    const answers = new Map<string, Promise<Answer>>();
    const sentAtMs = new Map<string, number>();
    const startedAtMs = clock.nowMs();
    for (let index = 0; clock.nowMs() - startedAtMs < 4_000; index += 1) {
      const port = fleet.ports[index % gatewayCount] ?? 0;
      const crashes = index % 5 === 0;
      const id = `${crashes ? 'crashing' : 'sound'}-${index}`;
      const part = crashes ? crashingSegment : `part-${index % 3}`;
      sentAtMs.set(id, clock.nowMs());
      const prompt = [...options.sharedSegments, part, id]
        .map(segment => `${segment}:100`)
        .join(',');
      answers.set(id, send(port, id, prompt));
      await delay(clock, 30);
    }
    const statuses = new Map<string, Answer>();
    for (const [id, answer] of answers) statuses.set(id, await answer);
    await fleet.close();

    const fifthCrashMs = crashTimesMs[crashesBeforeVerdict - 1] ?? startedAtMs;
    const calmMs = Math.max(fifthCrashMs, startedAtMs + 1_000) + contactMs;
    const late = [...sentAtMs].filter(([, atMs]) => atMs > calmMs);
    const isCrashing = (id: string) => id.startsWith('crashing');
    const lateArrivals = arrivals.filter(
      ({atMs, requestId}) => isCrashing(requestId) && atMs > calmMs,
    );
    expect(lateArrivals.length).to.be.at.most(maxLaterArrivals);
    const lateCrashing = late.filter(([id]) => isCrashing(id));
    expect(lateCrashing.length).to.be.at.least(10);
    for (const [id] of lateCrashing) {
      expect(statuses.get(id)?.status, id).to.equal(503);
      expect(Number(statuses.get(id)?.retryAfter), id).to.be.at.least(1);
    }
    for (const [id] of late.filter(([lateId]) => !isCrashing(lateId))) {
      expect(statuses.get(id)?.status, id).to.equal(200);
      const sendCount = arrivals.filter(({requestId}) => requestId === id);
      expect(sendCount.length, id).to.equal(1);
    }
  }
});
