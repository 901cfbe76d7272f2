/**
 * A small deployment like the users': the kinds of request of one sheet at the
 * share of one machine, six model engines and four engines of a plain service.
 */
import {Buffer} from 'node:buffer';
import {clearTimeout, setTimeout} from 'node:timers';
import {answerHeaders, createEngine} from './engine.js';
import {createStore} from './store.js';

/** Kinds of request, as on the sheet; `perSecond` is a fifth of it. */
export const kinds = [
  {
    name: 'pattern-draft',
    perSecond: 2.5,
    path: '/draft/',
    limitMs: 15_000,
    events: 76,
    parts: [
      [1, 512],
      [145, 4870],
    ],
    ownTokens: 6610,
    bodyBytes: 12_000,
  },
  {
    name: 'fitting-chat',
    perSecond: 4.6,
    path: '/chat/',
    limitMs: 12_000,
    events: 58,
    parts: [
      [40, 119],
      [396, 79],
    ],
    ownTokens: 628,
    bodyBytes: 830,
  },
  {
    name: 'tartan-hint',
    perSecond: 4.1,
    path: '/hint/',
    limitMs: 3_000,
    events: 5,
    parts: [
      [20, 341],
      [349, 227],
    ],
    ownTokens: 1800,
    bodyBytes: 2_400,
  },
  {
    name: 'cloth-order',
    perSecond: 2.8,
    path: '/order/',
    limitMs: 1_500,
    bodyBytes: 600,
  },
];

const routes = [
  {
    name: 'draft',
    prefix: '/draft/',
    kind: 'streaming',
    timeout_ms: 15_000,
    target_latency_ms: 1_500,
    target_gap_ms: 1_000,
    priority: 2,
    service: 'tailor-llm',
    attempts: 1,
    resumable: false,
    session_affinity: true,
  },
  {
    name: 'chat',
    prefix: '/chat/',
    kind: 'streaming',
    timeout_ms: 12_000,
    target_latency_ms: 300,
    target_gap_ms: 250,
    priority: 0,
    service: 'tailor-llm',
    attempts: 2,
    resumable: true,
    session_affinity: true,
  },
  {
    name: 'hint',
    prefix: '/hint/',
    kind: 'streaming',
    timeout_ms: 3_000,
    target_latency_ms: 400,
    target_gap_ms: 400,
    priority: 1,
    service: 'tailor-llm',
    attempts: 1,
    resumable: false,
    session_affinity: true,
  },
  {
    name: 'order',
    prefix: '/order/',
    kind: 'non_idempotent',
    timeout_ms: 800,
    target_latency_ms: 300,
    priority: 2,
    service: 'shop-app',
    attempts: 1,
  },
  {
    name: 'read',
    prefix: '/read/',
    kind: 'idempotent',
    timeout_ms: 800,
    target_latency_ms: 300,
    priority: 2,
    service: 'shop-app',
    attempts: 2,
  },
];

const configuration = {
  version: 1,
  routes: routes.map(route => ({
    host: 'shop.example',
    allow_anonymous: true,
    ...route,
  })),
  services: [
    {
      name: 'tailor-llm',
      health_path: '/health',
      connection_limit: 620,
      engine: {slots: 128, kv_cache_tokens: 921_226, models: [{name: 'm'}]},
    },
    {name: 'shop-app', health_path: '/health', connection_limit: 110},
  ],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
};

const prefillTokensPerMs = 112;
const firstEventMs = 47;
const eventGapMs = 35;

/** Runs a request of a model engine soundly, as a stream of events. */
export function streamSoundly({message, response, id}) {
  const counts = message.headers['token-counts'] ?? '0,1';
  const [tokens, count] = counts.split(',').map(Number);
  let last = Number(message.headers['last-event-id'] ?? 0);
  let timer = setTimeout(
    () => {
      response.writeHead(200, {
        ...answerHeaders(message, id),
        'Content-Type': 'text/event-stream',
      });
      const next = () => {
        if (last >= count) {
          response.end();
          return;
        }
        last += 1;
        response.write(`id: ${last}\ndata: ${'x'.repeat(40)}\n\n`);
        timer = setTimeout(next, eventGapMs);
      };
      next();
    },
    firstEventMs + tokens / prefillTokensPerMs,
  );
  response.on('close', () => clearTimeout(timer));
}

/** Runs a request of the plain service soundly. */
export function answerSoundly({message, response, id}) {
  const timer = setTimeout(() => {
    const body = `done ${message.headers['request-id']} `.padEnd(800, 'x');
    response.writeHead(200, {
      ...answerHeaders(message, id),
      'Content-Length': body.length,
    });
    response.end(body);
  }, 60);
  response.on('close', () => clearTimeout(timer));
}

/** Starts the store and the engines. */
export async function startDeployment({onEnd, runModel, runPlain}) {
  const store = createStore();
  onEnd(store.close);
  const port = await store.listen();
  store.set('op/config', JSON.stringify(configuration));
  const engines = [];
  const start = async (service, id, slots, run) => {
    const engine = await createEngine({id, service, run}).listen();
    engine.slots = slots;
    onEnd(engine.close);
    engines.push(engine);
    store.set(`servers/${id}`, engine.entry());
  };
  const modelIds = [
    'i-48aa677580',
    'i-d01560eac7',
    'i-898adc849e',
    'i-fcb406c22d',
    'i-684a2b6cb3',
    'i-9866856888',
  ];
  const plainIds = [
    'i-97223ee78b',
    'i-6b6955e94b',
    'i-b8ee7a8d88',
    'i-aace57a97e',
  ];
  for (const id of modelIds) await start('tailor-llm', id, 128, runModel);
  for (const id of plainIds) await start('shop-app', id, 6, runPlain);
  return {store, address: `127.0.0.1:${port}`, engines, modelIds, plainIds};
}

/** Numbers from 0 to 1 that repeat with the seed. */
function createRandom(seed) {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

/** Creates the traffic of one client; `sent` collects the requests. */
export function createTraffic(client, sent, {seed = 1, idPrefix = 'r'} = {}) {
  const random = createRandom(seed);
  const timers = new Set();
  let count = 0;
  const hex = number => number.toString(16).padStart(8, '0');

  /** Returns the headers of a prompt with the given shared parts. */
  function promptHeaders({ownTokens, events}, parts) {
    const prefix = [...parts, [`f${idPrefix}${hex(count)}`, ownTokens]];
    const tokens = prefix.reduce((sum, [, size]) => sum + size, 0);
    return {
      Model: 'm',
      'Token-Counts': `${tokens},${events}`,
      'Prompt-Prefix': prefix.map(([id, size]) => `${id}:${size}`).join(','),
    };
  }

  function partsOf(kind) {
    return kind.parts.map(([things, tokens], index) => {
      const thing = hex(Math.floor(random() * things));
      return [`${kind.name.length}${index}${thing}`, tokens];
    });
  }

  /** Sends one request; `changeParts` may change the shared parts. */
  function send(kind, changeParts = parts => parts) {
    count += 1;
    const request = client.send({
      id: `${idPrefix}${hex(count)}`,
      path: `${kind.path}${count}`,
      method: 'POST',
      body: Buffer.alloc(kind.bodyBytes, 'b'),
      limitMs: kind.limitMs,
      headers:
        kind.parts === undefined
          ? {}
          : promptHeaders(kind, changeParts(partsOf(kind))),
    });
    sent.push({kind: kind.name, request});
    return request;
  }

  function schedule(kind) {
    const waitMs = (-Math.log(1 - random()) * 1000) / kind.perSecond;
    const timer = setTimeout(() => {
      timers.delete(timer);
      send(kind);
      schedule(kind);
    }, waitMs);
    timers.add(timer);
  }

  return {
    send,
    /** Sends each kind at its rate until stopped. */
    start: () => kinds.forEach(schedule),
    stop: () => timers.forEach(timer => clearTimeout(timer)),
  };
}
