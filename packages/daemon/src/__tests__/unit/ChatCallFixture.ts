/**
 * Chat-completion calls against engine stand-ins on loopback: several entry
 * instances, permits that a fake scheduler grants in rotation, and engines that
 * are replaced under another id after they ended.
 */
import type {Clock, InstanceId, UpstreamInfo} from '@toucanrouter/common';
import {
  createBufferBudget,
  createSeededRandom,
  createSystemClock,
  delay,
  RouterError,
  toInstanceId,
  toPermitId,
  toRequestId,
  toShardId,
} from '@toucanrouter/common';
import type {Logger} from '@toucanrouter/logging';
import type {ReceivedEnvelope} from '@toucanrouter/peer';
import {createHedgeBudget, createRetryBudget} from '@toucanrouter/policy';
import type {EngineStandIn, EngineSwitchChange} from '@toucanrouter/standins';
import {createEngineStandIn} from '@toucanrouter/standins';
import {err, ok} from 'neverthrow';
import {Agent} from 'undici';
import type {QuarantineExchange} from '../../fleet/QuarantineExchange.js';
import {createQuarantineExchange} from '../../fleet/QuarantineExchange.js';
import {createUpstreamDirectory} from '../../fleet/UpstreamDirectory.js';
import {serveChat} from '../../request/chat/ChatCall.js';
import {probeEngine} from '../../request/chat/EngineProbe.js';
import type {PromptGuard} from '../../request/chat/PromptGuard.js';
import {createPromptGuard} from '../../request/chat/PromptGuard.js';
import {parseChatRequest} from '../../request/chat/ChatRequest.js';
import type {Exchange} from '../../request/Exchange.js';
import {createLimitedUpstreams} from '../../request/LimitedUpstreams.js';
import {createPausedUpstreams} from '../../request/PausedUpstreams.js';
import type {UpstreamAccess} from '../../request/UpstreamAccess.js';
import type {
  Permit,
  PermitClient,
  PermitRequest,
} from '../../scheduling/PermitClient.js';
import {testClass, upstreamInfo} from './SchedulingFixture.js';
import {createTestExchange} from './ExchangeFixture.js';

/** How a call ended: `answered`, or the kind of its error. */
export interface CallOutcome {
  readonly kind: string;
  readonly attempts: number;
  readonly retryAfterMs: number | undefined;
}

/** Messages of a prompt, outermost first. */
export type TestPrompt = readonly string[];

export interface ChatFleet {
  /** Engines that have ended so far. */
  crashCount(): number;
  /** Permits that were requested so far. */
  permitCount(): number;
  /** Runs one call at an entry instance to its end. */
  call(entryIndex: number, prompt: TestPrompt): Promise<CallOutcome>;
  /** Moves the clock by which the entry instances judge prompts. */
  advance(byMs: number): void;
  /** Waits until the entry instances have judged all broken connections. */
  settle(): Promise<void>;
  /** Changes the fault switches of all engines. */
  switchEngines(change: EngineSwitchChange): void;
  /** Returns the number of segments that an entry instance blocks. */
  blockedCount(entryIndex: number): number;
  close(): Promise<void>;
}

export interface ChatFleetOptions {
  readonly entryCount: number;
  readonly engineCount: number;
  /** Engines crash while they answer a prompt with this text. */
  readonly crashOnText: string;
  /** Tokens before such a crash; 0 if absent. */
  readonly crashAfterTokens?: number;
  /** Length of the responses; 2 if absent. */
  readonly maxTokens?: number;
  /** The scheduler reports each upstream as a straggler once it is sent work. */
  readonly suspectsAll?: boolean;
}

interface TestEntry {
  readonly id: InstanceId;
  readonly access: UpstreamAccess;
  readonly exchange: QuarantineExchange;
}

interface TestEngine {
  readonly info: UpstreamInfo;
  readonly standIn: EngineStandIn;
}

const model = 'advisor';
const shardId = toShardId(`engine:${model}@here`);
const profile = {tokenGapMs: 1, prefillMsPerToken: 0};
const deadlineMs = 5_000;
const settlePollMs = 5;
const silentLogger: Logger = {
  debug: () => undefined,
  error: () => undefined,
  info: () => undefined,
  warn: () => undefined,
};

/** Starts the engines and creates the entry instances. */
export async function createChatFleet(
  options: ChatFleetOptions,
): Promise<ChatFleet> {
  const clock = createSystemClock();
  let offsetMs = 0;
  let pendingProbes = 0;
  const guardClock: Clock = {
    ...clock,
    nowMs: () => clock.nowMs() + offsetMs,
    after: (_delayMs, run) => {
      pendingProbes += 1;
      return clock.after(0, run);
    },
  };
  let pendingNews = 0;
  const newsClock: Clock = {
    ...clock,
    after: (_delayMs, run) => {
      pendingNews += 1;
      return clock.after(0, () => {
        pendingNews -= 1;
        run();
      });
    },
  };
  const directory = createUpstreamDirectory();
  const engines: TestEngine[] = [];
  const started: Promise<void>[] = [];
  let engineIds = 0;
  let crashes = 0;
  let permits = 0;
  let calls = 0;

  async function startEngine(): Promise<void> {
    const name = `engine-${++engineIds}`;
    const standIn: EngineStandIn = await createEngineStandIn({
      id: name,
      model,
      profile,
      onCrash: () => replaceEngine(engine),
    });
    const info = {...upstreamInfo(name), address: standIn.address};
    const engine = {info, standIn};
    const {crashAfterTokens, crashOnText} = options;
    standIn.switch({crashOnText, crashAfterTokens});
    engines.push(engine);
    directory.setListed(engines.map(entry => entry.info));
  }

  function replaceEngine(engine: TestEngine): void {
    crashes += 1;
    engines.splice(engines.indexOf(engine), 1);
    void engine.standIn.close();
    started.push(startEngine());
  }

  function grant({exclude}: PermitRequest): Permit | undefined {
    permits += 1;
    const candidates = engines.filter(({info}) => !exclude.includes(info.id));
    const engine = candidates[permits % candidates.length];
    if (engine === undefined) return undefined;
    const permit: Permit = {
      permitId: toPermitId(`permit-${permits}`),
      upstreamId: engine.info.id,
      recordTokens: () => undefined,
      onPreempt: undefined,
      onSuspect: undefined,
      release: () => undefined,
    };
    if (options.suspectsAll) setImmediate(() => permit.onSuspect?.());
    return permit;
  }

  function createEntry(index: number): TestEntry {
    const selfId = toInstanceId(`router-${index}`);
    const guard = createGuard(() => exchange.notify());
    const exchange = createQuarantineExchange({
      clock: newsClock,
      guard,
      fleet: {
        selfId,
        alive: () => entries.map(entry => ({instanceId: entry.id})),
        send: (to, envelope) => {
          const peer = entries.find(({id}) => id === to);
          peer?.exchange.receive(selfId, envelope as ReceivedEnvelope);
          return peer !== undefined;
        },
      },
    });
    return {id: selfId, access: createAccess(guard), exchange};
  }

  function createGuard(onNews: () => void): PromptGuard {
    return createPromptGuard({
      clock: guardClock,
      logger: silentLogger,
      random: createSeededRandom(1),
      probe: async address => {
        const result = await probeEngine(clock, address);
        pendingProbes -= 1;
        return result;
      },
      find: directory.find,
      onNews,
    });
  }

  function createAccess(promptGuard: PromptGuard): UpstreamAccess {
    const client: Pick<PermitClient, 'acquire'> = {
      acquire: (_shardId, request) => {
        const permit = grant(request);
        const message = 'no engine is left';
        return Promise.resolve(
          permit === undefined
            ? err(new RouterError('no_upstream', message))
            : ok(permit),
        );
      },
    };
    return {
      clock,
      region: 'here',
      directory,
      permits: client as PermitClient,
      dispatcher: new Agent(),
      responseBuffers: createBufferBudget(),
      retryBudget: createRetryBudget(),
      hedgeBudget: {...createHedgeBudget(), tryHedge: () => true},
      promptGuard,
      pausedUpstreams: createPausedUpstreams({
        clock,
        logger: silentLogger,
        directory,
      }),
      limitedUpstreams: createLimitedUpstreams({
        clock,
        logger: silentLogger,
        directory,
        onChange: () => undefined,
      }),
      random: createSeededRandom(1),
    };
  }

  function createExchange(body: Buffer): Exchange {
    return createTestExchange({
      requestId: toRequestId(`request-${++calls}`),
      body,
      target: {kind: 'engine', serves: model, method: 'POST', path: '/'},
      serviceClass: testClass,
      nowMs: clock.nowMs(),
      limitMs: deadlineMs,
    });
  }

  const entries = Array.from({length: options.entryCount}, (_, index) =>
    createEntry(index),
  );

  async function call(
    entryIndex: number,
    prompt: TestPrompt,
  ): Promise<CallOutcome> {
    await Promise.all(started);
    const messages = prompt.map(content => ({role: 'user', content}));
    const {maxTokens = 2} = options;
    const body = Buffer.from(
      JSON.stringify({model, messages, max_tokens: maxTokens}),
    );
    const request = parseChatRequest(body)._unsafeUnwrap();
    const exchange = createExchange(body);
    const {access} = entries[entryIndex]!;
    const result = await serveChat(access, exchange, request, shardId);
    return {
      kind: result.isOk() ? 'answered' : result.error.kind,
      attempts: exchange.stats.attempts,
      retryAfterMs: result.isErr() ? result.error.retryAfterMs : undefined,
    };
  }

  for (let i = 0; i < options.engineCount; i++) await startEngine();
  return {
    crashCount: () => crashes,
    permitCount: () => permits,
    call,
    advance: byMs => {
      offsetMs += byMs;
    },
    settle: async () => {
      do await delay(clock, settlePollMs);
      while (pendingProbes > 0 || pendingNews > 0);
    },
    switchEngines: change => {
      for (const {standIn} of engines) standIn.switch(change);
    },
    blockedCount: index => entries[index]!.access.promptGuard.blockedCount(),
    close: async () => {
      await Promise.all(started);
      await Promise.all(engines.map(({standIn}) => standIn.close()));
      await Promise.all(
        entries.map(({access}) => (access.dispatcher as Agent).destroy()),
      );
    },
  };
}
