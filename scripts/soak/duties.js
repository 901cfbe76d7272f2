/**
 * Stand-in of the platform's API for duties in a soak. It checks fencing tokens
 * when it carries a call out, and leaves some calls without a response, slow, or
 * refused. Checks that no two holders use one token, that no window is reported in
 * two ways, that duties do not return to a holder within a lease time, and that no
 * request is counted twice.
 */
import {createServer} from 'node:http';
import {json} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';

const statusOk = 200;
const statusRefused = 409;
const leaseMs = 3_000;
const windowMs = 5_000;
const deadlineMs = 10_000;
/** Shares of the calls without a response, slow, or refused for lack of engines. */
const lostShare = 0.04;
const slowShare = 0.08;
const unavailableShare = 0.1;
/** Calls without a response are carried out so much later. */
const minLateMs = 2_000;
const maxLateMs = 12_000;
const slowMs = 1_000;
/** Time between two owners that are killed or stopped. */
const minOwnerGapMs = 4_000;
const maxOwnerGapMs = 9_000;
const ownerKillShare = 0.5;
/**
 * Time after a window in which its owner may be replaced and informed: an observer
 * that ends sooner may have told only instances that ended too.
 */
const handOverMs = leaseMs + 3_000;
/** The key with which all callers of the soak count for one workspace. */
const apiKey = 'soak-key';
const workspaceId = 'soak';

/** Adds the workspace of the callers and the limits of engine counts. */
function withDuties(configuration) {
  return {
    ...configuration,
    version: configuration.version + 1,
    tenants: [{name: workspaceId, api_keys: [apiKey]}],
    // Anonymous requests belong to no workspace, and are not counted.
    routes: configuration.routes.map(route => ({
      ...route,
      allow_anonymous: false,
    })),
    services: configuration.services.map(service =>
      service.engine === undefined
        ? service
        : {
            ...service,
            scaling: {
              minimum: 2,
              maximum: 12,
              boot_s: 4,
              spot_price: 0.22,
              zone_prices: {'zone-a': 0.85, 'zone-b': 1.2},
            },
          },
    ),
  };
}

/** Creates the stand-in; `isRestarted` tells of instances that started lately. */
function createDutiesApi({random, nowMs, isRestarted, onViolation}) {
  const holders = new Map();
  const reports = new Map();
  const accepted = new Map();
  const report = {
    owners: 0,
    usage: 0,
    late: 0,
    orders: 0,
    refused: 0,
    lost: 0,
    disturbed: 0,
  };
  const acts = [];
  let highestToken = 0;

  function checkHolder(holder, token) {
    const known = holders.get(token) ?? holder;
    holders.set(token, known);
    if (known !== holder) {
      onViolation(`token ${token} is used by ${known} and by ${holder}`);
    }
    report.owners = holders.size;
  }

  /** Notes who acts; calls with lower tokens do not get here. */
  function checkOrder(holder) {
    const last = acts.at(-1);
    if (last?.holder === holder) {
      last.toMs = nowMs();
      return;
    }
    const earlier = acts.findLast(act => act.holder === holder);
    acts.push({holder, toMs: nowMs()});
    if (earlier === undefined || isRestarted(holder, earlier.toMs)) return;
    const afterMs = Math.round(nowMs() - earlier.toMs);
    if (afterMs < leaseMs) {
      onViolation(`the duties returned to ${holder} after ${afterMs} ms`);
    }
  }

  /** Checks a report when it comes in, also one that is refused then. */
  function checkReport({window_index: window, counts}) {
    const text = JSON.stringify(Object.entries(counts).sort());
    const known = reports.get(window) ?? text;
    reports.set(window, known);
    if (known !== text) {
      onViolation(`window ${window} is reported as ${known} and as ${text}`);
    }
  }

  /** Carries a call out; returns its status. */
  function carryOut({path, holder, token, body, isUnavailable}) {
    if (token < highestToken) {
      report.refused += 1;
      return statusRefused;
    }
    highestToken = token;
    checkOrder(holder);
    if (path === '/usage') {
      const window = body.window_index;
      if (!accepted.has(window)) {
        accepted.set(window, body.counts);
        report.usage += 1;
        const dueMs = (window + 1) * windowMs + deadlineMs;
        if (Date.now() > dueMs) report.late += 1;
      }
      return statusOk;
    }
    report.orders += 1;
    return body.spot_instances && isUnavailable ? statusRefused : statusOk;
  }

  async function handle(message, response) {
    const body = await json(message);
    const holder = message.headers['duty-holder'];
    const token = Number(message.headers['fencing-token']);
    const [lost, slow, late, unavailable] = Array.from({length: 4}, random);
    const isUnavailable = unavailable < unavailableShare;
    const call = {path: message.url, holder, token, body, isUnavailable};
    if (!holder || !Number.isSafeInteger(token)) {
      onViolation(`${message.url}: holder ${holder}, token ${token}`);
    }
    checkHolder(holder, token);
    if (call.path === '/usage') checkReport(body);
    if (lost < lostShare) {
      report.lost += 1;
      await sleep(minLateMs + late * (maxLateMs - minLateMs));
      carryOut(call);
      message.socket.destroy();
      return;
    }
    if (slow < slowShare) await sleep(slowMs);
    const status = carryOut(call);
    response.writeHead(status, {'Content-Type': 'application/json'});
    response.end('{}');
  }

  const server = createServer((message, response) => {
    handle(message, response).catch(() => response.destroy());
  });

  return {
    report,
    holder: () => acts.at(-1)?.holder,
    listen: () =>
      new Promise(resolve => {
        server.listen(0, '127.0.0.1', () =>
          resolve(`127.0.0.1:${server.address().port}`),
        );
      }),
    /**
     * Checks the counts against the number of requests that upstreams ran, and
     * that windows are reported unless `isExcused` between these wall times.
     */
    check: ({runCount, fromMs, toMs, isExcused}) => {
      const counted = [...accepted.values()].reduce(
        (sum, counts) => sum + (counts[workspaceId] ?? 0),
        0,
      );
      report.counted = counted;
      report.ran = runCount;
      if (counted > runCount) {
        onViolation(`${counted} requests are reported, ${runCount} ran`);
      }
      const first = Math.ceil(fromMs / windowMs);
      const last = Math.floor((toMs - deadlineMs) / windowMs) - 1;
      report.windows = Math.max(0, last - first + 1);
      report.missing = 0;
      for (let window = first; window <= last; window += 1) {
        const startMs = window * windowMs;
        if (accepted.has(window)) continue;
        report.missing += 1;
        if (!isExcused(startMs, startMs + windowMs + deadlineMs)) {
          onViolation(`window ${window} is not reported`);
        }
      }
    },
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

/** Gives the instances of a soak the duties. */
export async function createSoakDuties({
  deployment,
  configuration,
  random,
  nowMs,
  fleet,
  onViolation,
}) {
  deployment.store.set('op/config', JSON.stringify(withDuties(configuration)));
  const lives = () => fleet().instances.flatMap(({lives}) => lives);
  const api = createDutiesApi({
    random,
    nowMs,
    isRestarted: (name, sinceMs) =>
      fleet()
        .instances.filter(instance => instance.name === name)
        .some(({lives}) => lives.at(-1).startedAtMs > sinceMs),
    onViolation,
  });
  const address = await api.listen();
  const wallOffsetMs = Date.now() - nowMs();
  let fromMs = Infinity;

  /** True if some process ran from the begin of a window until after its end. */
  function isObserved(startMs) {
    return lives().some(
      ({endedAtMs = Infinity, readyAtMs = Infinity}) =>
        readyAtMs <= startMs && endedAtMs >= startMs + windowMs + handOverMs,
    );
  }

  return {
    report: api.report,
    headers: {Authorization: `Bearer ${apiKey}`},
    settings: {
      api: {address, duties: 'usage_reporting,scaling', duty_per_s: 50},
      bounds: {
        lease_ms: leaseMs,
        report_window_s: windowMs / 1_000,
        usage_late_s: deadlineMs / 1_000,
      },
    },
    /** Kills or stops the instance whose call was carried out last. */
    disturbOwners: async (randomOfOwners, untilMs) => {
      for (;;) {
        await sleep(
          minOwnerGapMs + randomOfOwners() * (maxOwnerGapMs - minOwnerGapMs),
        );
        const isKill = randomOfOwners() < ownerKillShare;
        if (nowMs() >= untilMs) return;
        const owner = fleet().instances.find(({name}) => name === api.holder());
        const life = owner && fleet().lifeOf(owner);
        if (life === undefined || !fleet().isUndisturbed(life)) continue;
        if (isKill) fleet().kill(life);
        else fleet().stop(life);
        api.report.disturbed += 1;
      }
    },
    /** Windows count from now on. */
    begin: () => {
      fromMs = Date.now();
    },
    check: ({restoredAtMs}) =>
      api.check({
        runCount: new Set(
          deployment.engines.flatMap(({runs}) => runs).map(({id}) => id),
        ).size,
        fromMs,
        toMs: Date.now(),
        isExcused: (wallFromMs, wallToMs) => {
          const startMs = wallFromMs - wallOffsetMs;
          const endMs = wallToMs - wallOffsetMs;
          // What the store lost may have been reported, so it is not repeated.
          const isRestored = restoredAtMs.some(
            atMs => atMs >= startMs && atMs <= endMs,
          );
          // What no instance observed is left out.
          return isRestored || !isObserved(startMs);
        },
      }),
    close: api.close,
  };
}
