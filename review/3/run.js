/**
 * Case 3: sound engines fall silent for a second now and then and go on. Beside
 * them two of six engines break off some of their answers. A stream that a sound
 * engine would have finished is given up for one that such an engine breaks off.
 */
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {broken, held, notRun, runCase, trouble} from '../case.js';
import {createClient} from '../client.js';
import {answerSoundly, createTraffic, startDeployment} from '../deployment.js';
import {answerHeaders} from '../engine.js';
import {sleep, startRouter} from '../router.js';

const here = dirname(fileURLToPath(import.meta.url));
const calmMs = 4_000;
const episodes = 9;
/** Engines that break off a share of their answers, for 6.5 s each time. */
const faultyCount = 2;
const faultyMs = 6_500;
const betweenMs = 2_500;
const faultyShare = 0.45;
/** Each sound engine is silent for this time once in a period. */
const silentMs = 1_200;
const periodMs = 8_000;
const prefillTokensPerMs = 112;
const firstEventMs = 47;
const eventGapMs = 35;
/** More than this many losses break the rule. */
const maxLost = 3;

const faulty = new Set();
let faultyAnswers = 0;
let brokenOff = 0;
const offsets = new Map();

/** Returns whether the next answer of a faulty engine is broken off. */
function isBrokenOff() {
  faultyAnswers += 1;
  const before = Math.floor((faultyAnswers - 1) * faultyShare);
  return Math.floor(faultyAnswers * faultyShare) > before;
}

/** Returns the time until an engine writes again; 0 if it is not silent. */
function silenceLeftMs(id) {
  const offset = offsets.get(id) ?? offsets.size * 1_300;
  offsets.set(id, offset);
  const at = (performance.now() + offset) % periodMs;
  return Math.max(0, silentMs - at);
}

const ends = new Map();

function runModel({message, response, id}) {
  const requestId = message.headers['request-id'];
  const [tokens, count] = message.headers['token-counts']
    .split(',')
    .map(Number);
  const breaksOff = faulty.has(id) && isBrokenOff();
  let last = Number(message.headers['last-event-id'] ?? 0);
  let written = 0;
  const log = ends.get(requestId) ?? [];
  ends.set(requestId, log);
  const run = {id, from: last, end: 'canceled', sound: !faulty.has(id)};
  log.push(run);
  const next = () => {
    const waitMs = silenceLeftMs(id);
    if (waitMs > 0) {
      timer = setTimeout(next, waitMs);
      return;
    }
    if (breaksOff && written > 0) {
      run.end = 'broken off';
      brokenOff += 1;
      response.socket.resetAndDestroy();
      return;
    }
    if (last >= count) {
      run.end = 'complete';
      response.end();
      return;
    }
    if (written === 0) {
      response.writeHead(200, {
        ...answerHeaders(message, id),
        'Content-Type': 'text/event-stream',
      });
    }
    last += 1;
    written += 1;
    run.to = last;
    response.write(`id: ${last}\ndata: ${'x'.repeat(40)}\n\n`);
    timer = setTimeout(next, eventGapMs);
  };
  let timer = setTimeout(next, firstEventMs + tokens / prefillTokensPerMs);
  response.on('close', () => {
    clearTimeout(timer);
    run.sound &&= !faulty.has(id);
  });
}

await runCase(join(here, 'record.txt'), async ({directory, note, onEnd}) => {
  const deployment = await startDeployment({
    onEnd,
    runModel,
    runPlain: answerSoundly,
  });
  const router = await startRouter({
    directory,
    name: 'front-a-1',
    zone: 'zone-a',
    storeAddress: deployment.address,
  });
  onEnd(router.stop);
  note('the instance is ready');
  const client = createClient(router);
  onEnd(client.close);
  const sent = [];
  const traffic = createTraffic(client, sent);
  onEnd(traffic.stop);
  traffic.start();
  await sleep(calmMs);
  for (let episode = 0; episode < episodes; episode += 1) {
    const ids = deployment.modelIds;
    for (let index = 0; trouble && index < faultyCount; index += 1) {
      faulty.add(ids[(episode * faultyCount + index) % ids.length]);
    }
    note(`engines that break off answers: ${[...faulty].join(', ') || 'none'}`);
    await sleep(faultyMs);
    faulty.clear();
    note('all engines are sound');
    await sleep(betweenMs);
  }
  traffic.stop();
  await sleep(8_000);
  let lost = 0;
  for (const {kind, request} of sent) {
    const {id, atMs, answer, endMs = Infinity} = request;
    const runs = ends.get(id) ?? [];
    const [first] = runs;
    const wasLost =
      answer.endsWith('cut') &&
      first?.end === 'canceled' &&
      first.sound &&
      runs.at(-1).end === 'broken off';
    if (wasLost) lost += 1;
    const ran = runs
      .map(run => `${run.id} after ${run.from} to ${run.to}, ${run.end}`)
      .join('; ');
    const mark = wasLost ? '  LOST' : '';
    note(
      `${kind} ${id} got ${answer} in ${endMs.toFixed(0)} ms; ${ran}${mark}`,
      atMs,
    );
  }
  const hedged = [...ends.values()].filter(runs => runs.length > 1).length;
  note(
    `${sent.length} requests, ${hedged} at two engines, ${brokenOff} broken off`,
  );
  note(`${lost} streams of sound engines were given up and then lost`);
  if (sent.length < 100) return notRun;
  return lost > maxLost ? broken : held;
});
