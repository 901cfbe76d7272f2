/**
 * Drills of a soak: the store is away for a moment and comes back from a copy,
 * beside changes of the configuration. Checks that each instance has every
 * configuration in force in time, never an older one, and that it is listed.
 */
import {get} from 'node:http';
import {clearInterval, setInterval} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {bounds} from '../../review/router.js';

const metricsPort = 9464;
const configKey = 'op/config';
const pollMs = 100;
/** Time in which an instance is in touch again after a disturbance. */
export const contactMs = 3_000;
const maxAwayMs = 4_000;
const minAwayMs = 300;
const maxCopyAgeMs = 9_000;
/** The revisions of such a copy are soon given out again. */
const maxRecentAgeMs = 1_000;
const maxWriteAgainMs = 600;
const minGapMs = 3_500;
const maxGapMs = 9_000;
/** Pause between a change before a drill and the drill. */
const maxPauseMs = 2_000;
/** Shares of the drills that follow a change and that are played twice. */
const changedBeforeShare = 0.7;
const repeatedShare = 0.25;
/** Shares of the copies that are recent and of the changes that come soon. */
const recentShare = 0.5;
const soonShare = 0.5;
const awayPollMs = 10;
/** Changes of the configuration around a drill come so long after its end. */
const maxChangeDelayMs = 900;
/** Such a change may come before the instances notice that the store is back. */
const maxSoonChangeDelayMs = 200;

function readVersion(host) {
  return new Promise(resolve => {
    const call = get(
      {host, port: metricsPort, path: '/metrics', agent: false, timeout: 500},
      response => {
        let text = '';
        response.on('data', chunk => (text += chunk));
        response.on('end', () => {
          const match = /^toucanrouter_config_version (\d+)$/m.exec(text);
          resolve(match === null ? undefined : Number(match[1]));
        });
        response.on('error', () => resolve(undefined));
      },
    );
    call.on('timeout', () => call.destroy());
    call.on('error', () => resolve(undefined));
  });
}

/** Plays drills until they are closed. */
export function createDrills({
  source,
  store,
  configuration,
  fleet,
  random,
  nowMs,
  onViolation,
}) {
  const changes = [{version: configuration.version, atMs: 0}];
  const report = {drills: 0, changes: 0, checks: 0};
  let returnedAtMs = 0;
  const restoredAtMs = [];
  let closed = false;

  function change() {
    const previous = changes.at(-1).version;
    const version = previous + 1 + Math.floor(random() * 3);
    const added = {...configuration.routes[0], prefix: `/added-${version}/`};
    source.set(
      configKey,
      JSON.stringify({
        ...configuration,
        version,
        routes: [...configuration.routes, added],
      }),
    );
    changes.push({version, atMs: nowMs()});
    report.changes += 1;
  }

  /** The store confirms a change only while it is there. */
  async function changeWhenThere() {
    while (store.isAway()) await sleep(awayPollMs);
    if (!closed) change();
  }

  async function drill() {
    store.leave();
    await sleep(minAwayMs + random() * (maxAwayMs - minAwayMs));
    const maxAgeMs = random() < recentShare ? maxRecentAgeMs : maxCopyAgeMs;
    store.restore(random() * maxAgeMs, random() * maxWriteAgainMs);
    returnedAtMs = nowMs();
    restoredAtMs.push(returnedAtMs);
    report.drills += 1;
  }

  async function run() {
    while (!closed) {
      await sleep(minGapMs + random() * (maxGapMs - minGapMs));
      if (random() < changedBeforeShare) await changeWhenThere();
      await sleep(random() * maxPauseMs);
      if (closed) return;
      await drill();
      if (random() < repeatedShare) await drill();
      const isSoon = random() < soonShare;
      await sleep(
        random() * (isSoon ? maxSoonChangeDelayMs : maxChangeDelayMs),
      );
      await changeWhenThere();
    }
  }

  function isInTouch(instance, life) {
    const atMs = nowMs();
    return (
      fleet.isUndisturbed(life) &&
      atMs - life.readyAtMs > contactMs &&
      !store.isAway() &&
      atMs - returnedAtMs > contactMs &&
      instance.freezes.every(({toMs}) => atMs - toMs > contactMs)
    );
  }

  async function checkInstance(instance) {
    const life = fleet.lifeOf(instance);
    if (life === undefined || !isInTouch(instance, life)) return;
    const askedAtMs = nowMs();
    const due = changes.findLast(
      ({atMs}) => atMs < askedAtMs - bounds.config_apply_ms,
    );
    const version = await readVersion(instance.host);
    if (version === undefined || !isInTouch(instance, life)) return;
    report.checks += 1;
    const where = `${instance.name}, started at ${Math.round(life.startedAtMs)} ms`;
    if (version < due.version) {
      onViolation(
        `${where}: version ${version} in force, ${due.version} was confirmed at ${Math.round(due.atMs)} ms, store back at ${Math.round(returnedAtMs)} ms`,
      );
    }
    if (version < (life.configVersion ?? 0)) {
      onViolation(`${where}: back from ${life.configVersion} to ${version}`);
    }
    life.configVersion = version;
    if (!store.instanceNames().includes(instance.name)) {
      onViolation(
        `${where}: is not listed, store back at ${Math.round(returnedAtMs)} ms`,
      );
    }
  }

  const timer = setInterval(() => {
    for (const instance of fleet.instances) void checkInstance(instance);
  }, pollMs);
  void run();

  return {
    report,
    /** When the store came back from a copy. */
    restoredAtMs: () => restoredAtMs,
    close: () => {
      closed = true;
      clearInterval(timer);
    },
  };
}
