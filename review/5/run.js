/**
 * Case 5: an instance is cut off from the store for 4.5 s, several times. About
 * the end of each cut the entry of one engine is removed; the engine goes on to
 * serve for some seconds, as engines do that never report that they leave.
 */
import {performance} from 'node:perf_hooks';
import {clearInterval, setInterval} from 'node:timers';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {broken, held, notRun, runCase, trouble} from '../case.js';
import {createClient} from '../client.js';
import {
  answerSoundly,
  createTraffic,
  startDeployment,
  streamSoundly,
} from '../deployment.js';
import {createEngine} from '../engine.js';
import {startLink} from '../link.js';
import {bounds, sleep, startRouter} from '../router.js';

const here = dirname(fileURLToPath(import.meta.url));
const cycles = 6;
const calmMs = 4_000;
/** `core_cut` of the site lasts up to 5.5 s. */
const cutMs = 4_500;
/** The entry is removed this long before the end of the cut, or after it. */
const removedAtMs = [-200, 200, 600];
/** The engine serves this long after its entry was removed. */
const servesMs = 5_500;
const contactMs = 3_000;
const service = 'shop-app';
const readIntervalMs = 40;

await runCase(join(here, 'record.txt'), async ({directory, note, onEnd}) => {
  const deployment = await startDeployment({
    onEnd,
    runModel: streamSoundly,
    runPlain: answerSoundly,
  });
  const {store, engines} = deployment;
  const link = await startLink(Number(deployment.address.split(':')[1]));
  onEnd(link.stop);
  const router = await startRouter({
    directory,
    name: 'front-a-1',
    zone: 'zone-a',
    storeAddress: `127.0.0.1:${link.port}`,
  });
  onEnd(router.stop);
  note('the instance is ready');
  const client = createClient(router);
  onEnd(client.close);
  const sent = [];
  const traffic = createTraffic(client, sent);
  onEnd(traffic.stop);
  traffic.start();
  let reads = 0;
  const timer = setInterval(() => {
    reads += 1;
    const id = `read${reads}`;
    const path = `/read/${reads}`;
    const request = client.send({id, path, method: 'GET', limitMs: 1_500});
    sent.push({kind: 'profile-read', request});
  }, readIntervalMs);
  onEnd(() => clearInterval(timer));

  let late = 0;
  let judged = 0;
  for (let cycle = 0; cycle < cycles; cycle += 1) {
    await sleep(calmMs);
    const added = await createEngine({
      id: `i-aaaaaaaa0${cycle}`,
      service,
      run: answerSoundly,
    }).listen();
    added.slots = 6;
    onEnd(added.close);
    store.set(`servers/${added.id}`, added.entry());
    await sleep(1_500);
    if (trouble) await link.cut();
    note(trouble ? 'the link to the store is cut' : 'no cut');
    const leaving = engines.filter(({id}) => id.startsWith('i-')).at(-1);
    const offsetMs = removedAtMs[cycle % removedAtMs.length];
    await sleep(cutMs + Math.min(0, offsetMs));
    const remove = () => {
      store.remove(`servers/${leaving.id}`);
      note(`the entry of ${leaving.id} is removed`);
      return performance.now();
    };
    let removedMs = offsetMs < 0 ? remove() : undefined;
    await sleep(Math.max(0, -offsetMs));
    if (trouble) link.heal();
    note('the link to the store works');
    const healedMs = performance.now();
    await sleep(Math.max(0, offsetMs));
    removedMs ??= remove();
    await sleep(servesMs);
    const inTouchMs = trouble ? healedMs + contactMs : -Infinity;
    const boundMs = Math.max(removedMs + bounds.drain_ms, inTouchMs);
    const tooLate = leaving.runs.filter(({atMs}) => atMs > boundMs);
    judged += leaving.runs.length;
    late += tooLate.length;
    for (const {id, atMs} of tooLate) {
      const afterMs = (atMs - removedMs).toFixed(0);
      note(`${id} reaches ${leaving.id} ${afterMs} ms after it`, atMs);
    }
    leaving.close();
    engines.splice(engines.indexOf(leaving), 1);
    engines.push(added);
    note(`${leaving.id} has ended`);
  }
  traffic.stop();
  clearInterval(timer);
  await sleep(1_600);
  for (const {kind, request} of sent) {
    const {id, atMs, answer, endMs = Infinity} = request;
    note(`${kind} ${id} sent; got ${answer} in ${endMs.toFixed(0)} ms`, atMs);
  }
  note(`${judged} requests at engines that left, ${late} of them too late`);
  if (judged < 20) return notRun;
  return late > 0 ? broken : held;
});
