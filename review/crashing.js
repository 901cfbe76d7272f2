/**
 * Plays prompts with a part that crashes each engine that begins to write an
 * answer on it, at two instances, and judges whether they are held back.
 */
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';
import {broken, held, notRun, trouble} from './case.js';
import {createClient} from './client.js';
import {
  answerSoundly,
  createTraffic,
  kinds,
  startDeployment,
  streamSoundly,
} from './deployment.js';
import {answerHeaders} from './engine.js';
import {sleep, startRouter} from './router.js';

const calmMs = 4_000;
const troubleMs = 32_000;
/** One request with the part comes this often, at either instance in turn. */
const suspectIntervalMs = 2_000;
/** Sound requests with the same other parts for each one with the part. */
const soundPerSuspect = 4;
const writeDelayMs = 80;
const downMs = 3_000;
const heartbeatIntervalMs = 1_200;
const contactMs = 3_000;
/** More than this many requests with the part may not reach engines. */
const maxReached = 3;
const minCrashes = 5;
const crashingPart = 'badc0ffe';
const partTokens = 100;

/**
 * Returns the result of the case. The prompt holds `otherParts` before the part
 * that crashes engines. `beforeCrash` writes what the engine still writes and
 * returns the time until it ends.
 */
export async function playCrashingPart(
  {directory, note, onEnd},
  {otherParts, beforeCrash = () => 0},
) {
  const startedAtMs = performance.now();
  const crashes = [];
  const reached = [];

  const runModel = run => {
    const {message, response, id} = run;
    const prompt = message.headers['prompt-prefix'] ?? '';
    if (!prompt.includes(crashingPart)) {
      streamSoundly(run);
      return;
    }
    reached.push(performance.now());
    note(`${message.headers['request-id']}, with the part, reaches ${id}`);
    if (!trouble) {
      streamSoundly(run);
      return;
    }
    const begin = () => {
      const untilCrashMs = beforeCrash(run, answerHeaders(message, id));
      timer = setTimeout(() => void crash(id), untilCrashMs);
    };
    let timer = setTimeout(begin, writeDelayMs);
    response.on('close', () => clearTimeout(timer));
  };

  const crash = async id => {
    const engine = deployment.engines.find(other => other.id === id);
    engine.crash();
    crashes.push(performance.now());
    note(`${id} crashes (${crashes.length})`);
    await sleep(downMs);
    await engine.restart();
    note(`${id} is back`);
    // It keeps the times at which it writes its entry.
    const phaseMs = (performance.now() - startedAtMs) % heartbeatIntervalMs;
    await sleep(heartbeatIntervalMs - phaseMs);
    deployment.store.set(`servers/${id}`, engine.entry());
  };

  const deployment = await startDeployment({
    onEnd,
    runModel,
    runPlain: answerSoundly,
  });
  const sent = [];
  const traffics = [];
  for (const number of [1, 2]) {
    const router = await startRouter({
      directory,
      name: `front-a-${number}`,
      zone: 'zone-a',
      storeAddress: deployment.address,
    });
    onEnd(router.stop);
    const client = createClient(router);
    onEnd(client.close);
    const options = {seed: number, idPrefix: `r${number}`};
    const traffic = createTraffic(client, sent, options);
    onEnd(traffic.stop);
    traffics.push(traffic);
  }
  note('the instances are ready');
  traffics.forEach(traffic => traffic.start());
  await sleep(calmMs);
  const hint = kinds.find(({name}) => name === 'tartan-hint');
  const until = performance.now() + troubleMs;
  const suspects = [];
  while (performance.now() < until) {
    const traffic = traffics[suspects.length % traffics.length];
    const request = traffic.send(hint, ([first]) => [
      first,
      ...otherParts,
      [crashingPart, partTokens],
    ]);
    suspects.push(request.id);
    for (let count = 0; count < soundPerSuspect; count += 1) {
      await sleep(suspectIntervalMs / soundPerSuspect);
      traffic.send(hint, ([first, second]) => [
        first,
        ...(otherParts.length > 0 ? otherParts : [second]),
      ]);
    }
  }
  traffics.forEach(traffic => traffic.stop());
  await sleep(3_500);

  const ranAt = new Map();
  for (const {id, runs} of deployment.engines) {
    for (const run of runs) ranAt.set(run.id, id);
  }
  for (const {kind, request} of sent) {
    const {id, atMs, answer, endMs = Infinity} = request;
    const engine = ranAt.get(id) ?? 'no engine';
    const part = suspects.includes(id) ? ', with the part,' : '';
    const text = `${kind} ${id}${part} sent; ran at ${engine}; got ${answer}`;
    note(`${text}; ${endMs.toFixed(0)} ms`, atMs);
  }
  note(`${suspects.length} requests with the part, ${crashes.length} crashes`);
  if (!trouble) return suspects.length > 0 ? held : notRun;
  if (crashes.length < minCrashes) {
    note(`fewer than ${minCrashes} crashes`);
    return held;
  }
  const fromMs = crashes[minCrashes - 1] + contactMs;
  const late = reached.filter(atMs => atMs > fromMs).length;
  note(`${late} requests with the part reached engines too late`);
  return late > maxReached ? broken : held;
}
