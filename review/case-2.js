/**
 * The frame of a case: a deployment of routers beside stand-ins, a record of
 * what happened, and the exit code.
 */
import process from 'node:process';
import {writeFileSync} from 'node:fs';
import {fileURLToPath, URL} from 'node:url';
import {createFolder, createRouter} from './router-2.js';
import {startStore} from './store-2.js';
import {performance} from 'node:perf_hooks';
import {setTimeout} from 'node:timers';
import console from 'node:console';

const exitHeld = 0;
const exitBroken = 1;
const exitNotRun = 2;
/** A case ends within 120 s. */
const maxCaseMs = 112_000;

export const delay = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Zones of the machines of plamenik-router. */
const zones = ['lju-a', 'lju-a', 'lju-b', 'mb-a', 'ce-a'];

/** Starts a store and creates the routers of a small deployment. */
export async function createDeployment({routerCount = zones.length} = {}) {
  const folder = createFolder();
  const store = await startStore({host: '127.0.0.1'});
  const routers = [];
  for (let index = 0; index < routerCount; index += 1) {
    const zone = zones[index % zones.length];
    const name = `front-${zone}-${index + 1}`;
    routers.push(
      await createRouter({
        name,
        zone,
        host: `127.0.0.${index + 11}`,
        storeAddress: await store.openFor(name),
        folder: folder.path,
      }),
    );
  }
  return {
    folder,
    store,
    routers,
    start: async () => {
      for (const router of routers) router.start();
      const ready = await Promise.all(routers.map(each => each.waitReady()));
      if (ready.includes(false)) throw new Error('a router did not start');
    },
    close: async () => {
      await Promise.all(routers.map(router => router.stop()));
      store.close();
      if (process.env.KEEP !== '1') folder.close();
      else console.log(`kept ${folder.path}`);
    },
  };
}

/**
 * Runs a case. `play` gets a deployment, whether the disruption happens and a
 * function that adds a line to the record; it returns whether the rule held.
 */
export async function runCase(caseUrl, options, play) {
  const lines = [];
  const startedAtMs = performance.now();
  const record = text => {
    const atS = ((performance.now() - startedAtMs) / 1_000).toFixed(3);
    lines.push(`${atS.padStart(8)} s  ${text}`);
  };
  const isTrouble = process.env.TROUBLE !== '0';
  let exitCode = exitNotRun;
  let deployment;
  record(isTrouble ? 'with the disruption' : 'without the disruption');
  try {
    deployment = await createDeployment(options);
    const timeout = delay(maxCaseMs).then(() => {
      throw new Error('the case took too long');
    });
    const hasHeld = await Promise.race([
      play({deployment, isTrouble, record}),
      timeout,
    ]);
    exitCode = hasHeld ? exitHeld : exitBroken;
    record(hasHeld ? 'the rule held' : 'THE RULE WAS BROKEN');
  } catch (error) {
    record(`the case could not run: ${error.stack}`);
  }
  await deployment?.close();
  const file = fileURLToPath(new URL('record.txt', caseUrl));
  writeFileSync(file, `${lines.join('\n')}\n`);
  console.log(lines.at(-1));
  process.exit(exitCode);
}
