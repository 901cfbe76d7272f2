/**
 * Fault soak: runs instances as real processes beside stand-ins, disturbs them
 * from outside and checks what callers and upstreams see.
 *
 *   node scripts/soak.js --seed 1 --seconds 60 --seeds 1 --instances 5
 *
 * A seed gives one schedule of load and faults; a fault is skipped if its
 * instance is not running. Series of SIGHUP overlap all faults and reach processes
 * that start or stop too, those that were started again from `--signal-from MS`
 * after their start on. `--drills` lets the store come back from copies of itself.
 * `--endless` lets upstreams answer with small pieces without end.
 * `--duties` gives the instances the duties of the platform and checks its calls.
 * `--versions` lets engines of two software versions serve side by side, kills all
 * instances at once now and then, and lets callers resume streams.
 * `--busy N` starts N processes
 * that take all processor time they get, and `--cpus LIST` pins the instances
 * and these processes to the named processors. Soaks that run beside each other
 * in one checkout need `--skip-build`. The exit code is 1 if a promise
 * was broken; the schedule and the logs are kept then.
 */
import {Buffer} from 'node:buffer';
import console from 'node:console';
import {spawn, spawnSync} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {clearTimeout, setTimeout} from 'node:timers';
import {parseArgs} from 'node:util';
import {
  answerSoundly,
  kinds,
  startDeployment,
  streamSoundly,
} from '../review/deployment.js';
import {root} from '../review/router.js';
import {createCaller} from './soak/callers.js';
import {createDrills} from './soak/drills.js';
import {createSoakDuties} from './soak/duties.js';
import {createEndlessPieces} from './soak/endlessPieces.js';
import {createFleet, gracePeriodMs} from './soak/fleet.js';
import {createRestorableStore, readJson} from './soak/restorableStore.js';
import {createVersions} from './soak/versions.js';

const {values} = parseArgs({
  options: {
    seed: {type: 'string', default: '1'},
    seeds: {type: 'string', default: '1'},
    seconds: {type: 'string', default: '60'},
    instances: {type: 'string', default: '5'},
    rate: {type: 'string', default: '1'},
    busy: {type: 'string', default: '0'},
    cpus: {type: 'string'},
    drills: {type: 'boolean', default: false},
    versions: {type: 'boolean', default: false},
    endless: {type: 'boolean', default: false},
    duties: {type: 'boolean', default: false},
    'signal-from': {type: 'string', default: '300'},
    'skip-build': {type: 'boolean', default: false},
  },
});
const seconds = Number(values.seconds);
const startLimitMs = 60_000;
const endingSignals = ['SIGINT', 'SIGTERM'];
const firstSubnet = 3;
const subnetCount = 250;
/** Time in which requests that were sent last get their answer. */
const settleMs = 16_000;
const maxBodyBytes = 4 * 1024 * 1024;
/** Time between two disturbances; several may last at the same time. */
const minGapMs = 500;
const maxGapMs = 2_500;
const maxFreezeMs = 2_500;
const maxSeriesSignals = 12;
const maxSignalGapMs = 150;
/** Each process that was started again gets signals until this time. */
const startSignalsEndMs = 1_000;
const startSignalGapMs = 50;
const signalFromMs = Number(values['signal-from']);
/** Separates the random numbers of the load, of the faults and of the seeds. */
const seedStride = 1_000_003;
/** Callers that send a large body at the same moment. */
const largeBodies = 60;
const largeBodyLimitMs = 8_000;
/** Above the streams of load and signals of any number of instances. */
const drillStream = 1_009;
const versionStream = 1_013;
const resumptionStream = 1_019;
const endlessStream = 1_021;
const dutiesStream = 1_031;
const ownerStream = 1_033;

/** Numbers from 0 to 1 that repeat with the seed. */
function createRandom(seed) {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

/** Returns the configuration that the deployment's operator has written. */
async function readConfiguration(address) {
  const {value} = await readJson(`http://${address}/kv-key?key=op/config`);
  return JSON.parse(Buffer.from(value, 'base64').toString());
}

function startBusyProcesses(count) {
  const script = 'for (;;);';
  const pinned =
    values.cpus === undefined ? [] : ['taskset', '-c', values.cpus];
  const [program, ...args] = [...pinned, process.execPath, '-e', script];
  return Array.from({length: count}, () =>
    spawn(program, args, {stdio: 'ignore'}),
  );
}

async function runSeed(seed) {
  const random = createRandom(seed);
  const randomOfFaults = createRandom(seed + seedStride);
  const directory = mkdtempSync(join(tmpdir(), 'toucanrouter-soak-'));
  const startedAtMs = performance.now();
  const nowMs = () => performance.now() - startedAtMs;
  const violations = [];
  const schedule = [];
  const ended = [];
  const closers = [];
  const onViolation = text =>
    violations.push(`${Math.round(nowMs())} ms: ${text}`);

  const versions = values.versions
    ? createVersions({
        random: createRandom(seed + seedStride * versionStream),
        onViolation,
      })
    : undefined;
  const endless = createEndlessPieces({
    random: createRandom(seed + seedStride * endlessStream),
    nowMs,
  });
  const deployment = await startDeployment({
    onEnd: close => closers.push(close),
    runModel: endless.wrap(versions?.runModel ?? streamSoundly),
    runPlain: endless.wrap(answerSoundly),
  });
  versions?.follow(deployment);
  const duties = values.duties
    ? await createSoakDuties({
        deployment,
        configuration: await readConfiguration(deployment.address),
        random: createRandom(seed + seedStride * dutiesStream),
        nowMs,
        fleet: () => fleet,
        onViolation,
      })
    : undefined;
  if (duties !== undefined) closers.push(duties.close);
  const restorable = values.drills
    ? createRestorableStore({sourceAddress: deployment.address, nowMs})
    : undefined;
  if (restorable !== undefined) closers.push(restorable.close);
  const fleet = createFleet({
    count: Number(values.instances),
    directory,
    storeAddress: (await restorable?.listen()) ?? deployment.address,
    nowMs,
    // Soaks that run beside each other have addresses of their own.
    subnet: `127.0.${firstSubnet + (process.pid % subnetCount)}`,
    basePort: 20_000 + Math.floor(random() * 8_000),
    cpus: values.cpus,
    duties: duties?.settings,
    onViolation,
    onRestart: life => void signalStart(life),
  });
  const signalCounts = {starting: 0, stopping: 0, running: 0};

  function sendReload(life) {
    const ageMs = nowMs() - life.startedAtMs;
    if (life.hasEnded || ageMs < signalFromMs) return;
    if (life.stoppedAtMs !== undefined) signalCounts.stopping += 1;
    else if (ageMs < startSignalsEndMs) signalCounts.starting += 1;
    else signalCounts.running += 1;
    fleet.signal(life, 'SIGHUP');
  }

  async function signalStart(life) {
    await sleep(signalFromMs);
    while (nowMs() - life.startedAtMs < startSignalsEndMs) {
      sendReload(life);
      await sleep(startSignalGapMs);
    }
  }

  /** Sends series of signals to the process that an instance has at the time. */
  async function signalInSeries(instance, randomOfSignals, untilMs) {
    while (nowMs() < untilMs) {
      await sleep(minGapMs + randomOfSignals() * (maxGapMs - minGapMs));
      const count = 1 + Math.floor(randomOfSignals() * maxSeriesSignals);
      for (let sent = 0; sent < count; sent += 1) {
        sendReload(fleet.lifeOf(instance));
        await sleep(randomOfSignals() * maxSignalGapMs);
      }
    }
  }

  const busy = startBusyProcesses(Number(values.busy));
  // A soak that is ended from outside must not leave its processes behind.
  const onSignal = () => {
    fleet.close();
    busy.forEach(child => child.kill('SIGKILL'));
    process.exit(1);
  };
  for (const signal of endingSignals) process.once(signal, onSignal);
  fleet.start();
  const isStarted = () =>
    fleet.instances.every(
      instance => fleet.lifeOf(instance).readyAtMs !== undefined,
    );
  while (!isStarted() && nowMs() < startLimitMs) await sleep(50);
  if (!isStarted()) onViolation('an instance did not become ready');

  const callers = fleet.instances.map(instance =>
    createCaller({
      host: instance.host,
      port: instance.ports.callers,
      nowMs,
      onEnded: call => {
        ended.push({...call, text: undefined, instance});
        versions?.onEnded(call, overrides => resume(call, overrides));
      },
    }),
  );
  duties?.begin();
  const timers = new Set();
  let callCount = 0;

  function send(index, kind, overrides = {}) {
    callCount += 1;
    const id = `s${seed}x${callCount}`;
    const ownTokens = kind.ownTokens ?? 0;
    const headers =
      kind.parts === undefined
        ? {...duties?.headers}
        : {
            ...duties?.headers,
            Model: 'm',
            'Token-Counts': `${ownTokens},${kind.events}`,
            'Prompt-Prefix': `${id}:${ownTokens}`,
          };
    callers[index].send({
      id,
      kind: kind.name,
      path: `${kind.path}${callCount}`,
      limitMs: kind.limitMs,
      bodyBytes: kind.bodyBytes,
      events: kind.events,
      headers,
      keepsText: versions !== undefined,
      ...overrides,
    });
  }

  /** Sends a call again, to an instance that the load draws. */
  function resume(call, overrides) {
    const kind = kinds.find(({name}) => name === call.kind);
    const index = Math.floor(randomOfResumptions() * fleet.instances.length);
    send(index, kind, overrides);
  }

  function scheduleKind(index, kind, randomOfCalls) {
    const perSecond = kind.perSecond * Number(values.rate);
    const waitMs = (-Math.log(1 - randomOfCalls()) * 1_000) / perSecond;
    const timer = setTimeout(() => {
      timers.delete(timer);
      send(index, kind);
      scheduleKind(index, kind, randomOfCalls);
    }, waitMs);
    timers.add(timer);
  }

  const randomOfResumptions = createRandom(
    seed + seedStride * resumptionStream,
  );
  const order = kinds.find(kind => kind.events === undefined);

  /** Disturbances of an instance that runs undisturbed, by name. */
  const disturbances = {
    stop: ({life}) => fleet.stop(life),
    kill: ({life}) => fleet.kill(life),
    freeze: ({instance, life, draw}) =>
      void fleet.freeze(instance, life, draw * maxFreezeMs),
    reload: ({instance, life}) => {
      const text = fleet.settingsOf(instance);
      writeFileSync(instance.settingsFile, text.slice(0, text.length / 2));
      fleet.signal(life, 'SIGHUP');
      setTimeout(() => writeFileSync(instance.settingsFile, text), 100);
    },
    largeBodies: ({instance}) => {
      for (let sent = 0; sent < largeBodies; sent += 1) {
        send(instance.index, order, {
          bodyBytes: maxBodyBytes,
          limitMs: largeBodyLimitMs,
          isLarge: true,
          isSlow: sent % 3 === 0,
        });
      }
    },
    engine: ({draw}) => {
      const engine =
        deployment.engines[Math.floor(draw * deployment.engines.length)];
      if (engine.isDown) return;
      engine.isDown = true;
      engine.crashesAtMs = [...(engine.crashesAtMs ?? []), nowMs()];
      engine.crash();
      versions?.draw(engine);
      setTimeout(
        () =>
          void engine.restart().then(() => {
            engine.isDown = false;
            deployment.store.set(`servers/${engine.id}`, engine.entry());
          }),
        1_500,
      );
    },
  };
  if (versions !== undefined) {
    disturbances.killAll = () => {
      for (const instance of fleet.instances) {
        const life = fleet.lifeOf(instance);
        if (fleet.isUndisturbed(life)) fleet.kill(life);
      }
    };
  }
  if (values.endless) {
    disturbances.endless = ({draw}) =>
      endless.begin(
        deployment.engines[Math.floor(draw * deployment.engines.length)],
      );
  }
  const names = Object.keys(disturbances);

  fleet.instances.forEach((_, index) =>
    kinds.forEach((kind, kindIndex) =>
      scheduleKind(
        index,
        kind,
        createRandom(
          seed + seedStride * (2 + index * kinds.length + kindIndex),
        ),
      ),
    ),
  );
  const drills =
    restorable &&
    createDrills({
      source: deployment.store,
      store: restorable,
      configuration: await readConfiguration(deployment.address),
      fleet,
      random: createRandom(seed + seedStride * drillStream),
      nowMs,
      onViolation,
    });
  const endMs = nowMs() + seconds * 1_000;
  void duties?.disturbOwners(
    createRandom(seed + seedStride * ownerStream),
    endMs,
  );
  const loadStreams = 2 + fleet.instances.length * kinds.length;
  for (const instance of fleet.instances) {
    const stream = loadStreams + instance.index;
    const randomOfSignals = createRandom(seed + seedStride * stream);
    void signalInSeries(instance, randomOfSignals, endMs);
  }
  while (nowMs() < endMs) {
    const [gap, nameDraw, instanceDraw, draw] = Array.from({length: 4}, () =>
      randomOfFaults(),
    );
    await sleep(minGapMs + gap * (maxGapMs - minGapMs));
    const name = names[Math.floor(nameDraw * names.length)];
    const instance =
      fleet.instances[Math.floor(instanceDraw * fleet.instances.length)];
    const life = fleet.lifeOf(instance);
    const isSkipped = !fleet.isUndisturbed(life);
    schedule.push({
      atMs: Math.round(nowMs()),
      name,
      instance: instance.name,
      isSkipped,
    });
    if (!isSkipped) disturbances[name]({instance, life, draw});
  }
  for (const timer of timers) clearTimeout(timer);
  await sleep(Math.max(settleMs, gracePeriodMs));
  drills?.close();
  versions?.close();
  checkCalls({ended, deployment, endless, onViolation});
  duties?.check({restoredAtMs: drills?.restoredAtMs() ?? []});
  callers.forEach(caller => caller.close());
  fleet.close();
  busy.forEach(child => child.kill('SIGKILL'));
  for (const signal of endingSignals) process.off(signal, onSignal);
  closers.forEach(close => close());
  const stops = fleet.instances
    .flatMap(({lives}) => lives)
    .flatMap(({stopTookMs}) => stopTookMs ?? []);
  const peakMb = fleet.instances
    .flatMap(({lives}) => lives)
    .reduce((peak, {peakBytes}) => Math.max(peak, peakBytes / 2 ** 20), 0);
  const report = {
    seed,
    outcomes: countBy(ended, ({outcome}) => outcome),
    unanswered: countBy(ended.filter(isUnanswered), ({kind}) => kind),
    disturbances: countBy(
      schedule.filter(({isSkipped}) => !isSkipped),
      ({name}) => name,
    ),
    signals: signalCounts,
    stopsMs: stops,
    peakMb: Math.round(peakMb),
    drills: drills?.report,
    versions: versions?.report,
    duties: duties?.report,
    endless: values.endless ? endless.report : undefined,
    violations,
  };
  if (violations.length === 0) rmSync(directory, {recursive: true});
  else {
    const file = join(directory, 'schedule.json');
    writeFileSync(file, JSON.stringify({report, schedule}, null, 2));
    report.kept = directory;
  }
  return report;
}

function countBy(items, keyOf) {
  const counts = {};
  for (const item of items) {
    const key = keyOf(item);
    counts[key] = (counts[key] ?? 0) + 1;
  }
  return counts;
}

const isUnanswered = ({outcome}) => outcome === 'no answer';
/** The process never had the request, or it was gone. */
const refusedOutcomes = new Set(['ECONNREFUSED']);

/** A call is not judged if its instance was disturbed so long before it. */
const disturbedMs = 3_000;

/** True if the instance was killed or frozen shortly before or during the call. */
function isExcused({instance, sentAtMs, endedAtMs}) {
  const overlaps = (fromMs, toMs) =>
    fromMs <= endedAtMs && toMs >= sentAtMs - disturbedMs;
  return (
    instance.lives.some(
      ({killedAtMs, endedAtMs}) =>
        killedAtMs !== undefined && overlaps(killedAtMs, endedAtMs ?? Infinity),
    ) || instance.freezes.some(({fromMs, toMs}) => overlaps(fromMs, toMs))
  );
}

/**
 * True if the process has not read the call: it reached no upstream, and the log
 * of the instance does not name it. A connection that closes may cross a request.
 */
function isUnread({id, instance}, runCounts) {
  if (runCounts[id] !== undefined) return false;
  return !readFileSync(instance.logFile, 'utf8').includes(`"${id}"`);
}

/** Requests that are sent so long after the begin of a stop need no answer. */
const lastSentAfterStopMs = 3_000;
/** Upstreams that work on a request in the last part of a stop may be cut off. */
const excusedGraceShare = 1 / 6;

/** True if its upstream was still at work near the end of a planned stop. */
function isLateInStop({instance, sentAtMs, endedAtMs}) {
  return instance.lives.some(
    ({stoppedAtMs}) =>
      stoppedAtMs !== undefined &&
      sentAtMs <= stoppedAtMs + lastSentAfterStopMs &&
      endedAtMs >= stoppedAtMs + gracePeriodMs * (1 - excusedGraceShare) &&
      endedAtMs <= stoppedAtMs + gracePeriodMs,
  );
}

/** True if an upstream crashed on which the call had begun to run. */
function isBrokenOff({id, sentAtMs, endedAtMs}, engines) {
  return engines.some(
    ({runs, crashesAtMs = []}) =>
      runs.some(run => run.id === id) &&
      crashesAtMs.some(atMs => atMs >= sentAtMs && atMs <= endedAtMs),
  );
}

/** Checks the promises on single calls. */
function checkCalls({ended, deployment, endless, onViolation}) {
  const runCounts = countBy(
    deployment.engines.flatMap(({runs}) => runs),
    ({id}) => id,
  );
  for (const call of ended) {
    const where = `${call.id} (${call.kind}) at ${call.instance.name}, sent at ${Math.round(call.sentAtMs)} ms`;
    if (call.fault !== undefined) onViolation(`${where}: ${call.fault}`);
    const runCount = runCounts[call.id] ?? 0;
    if (call.events === undefined) {
      if (runCount > 1) onViolation(`${where}: ran ${runCount} times`);
      if (call.status === 503 && runCount > 0)
        onViolation(`${where}: refused as not run, but it ran`);
    }
    const isCut =
      !/^\d+$/.test(call.outcome) &&
      !isUnanswered(call) &&
      !refusedOutcomes.has(call.outcome);
    if (
      isCut &&
      !isExcused(call) &&
      !isBrokenOff(call, deployment.engines) &&
      !endless.hasAnswered(call.id) &&
      !isLateInStop(call) &&
      !isUnread(call, runCounts)
    ) {
      onViolation(
        `${where}: closed without a complete answer (${call.outcome})`,
      );
    }
  }
}

function buildProgram() {
  const options = {cwd: root, stdio: 'inherit'};
  return spawnSync('npm', ['run', '--silent', 'bundle'], options).status === 0;
}

if (!values['skip-build'] && !buildProgram()) process.exit(2);
let hasFailed = false;
const firstSeed = Number(values.seed);
for (let seed = firstSeed; seed < firstSeed + Number(values.seeds); seed += 1) {
  const report = await runSeed(seed);
  console.log(JSON.stringify(report));
  hasFailed ||= report.violations.length > 0;
}
process.exit(hasFailed ? 1 : 0);
