/**
 * Stand-in of the platform's store that can come back from a copy. It keeps what
 * the instances write, with leases and watches, and follows a source that plays
 * the operator and the upstreams: what the source holds is written to the store,
 * and is written again after a restore. Revisions and leases are given out again
 * then, and the header `Store-Era` rises by one.
 */
import {Buffer} from 'node:buffer';
import {get, createServer} from 'node:http';
import {
  clearInterval,
  clearTimeout,
  setInterval,
  setTimeout,
} from 'node:timers';
import {URL} from 'node:url';

const statusOk = 200;
const statusNotFound = 404;
/** The store does not have the revision that a watch asks for. */
const statusGone = 410;
/** A precondition of a write does not hold. */
const statusConflict = 412;
const copyIntervalMs = 250;
const maxCopies = 60;
/** Upstreams rewrite their entries, which carries the revision on. */
const beatMs = 200;
const sourceWaitMs = 1_000;
const sourceRetryMs = 100;
const maxWaitMs = 30_000;
const instancePrefix = 'toucanrouter/instances/';
const upstreamPrefix = 'servers/';

function readBody(message) {
  return new Promise((resolve, reject) => {
    const chunks = [];
    message.on('data', chunk => chunks.push(chunk));
    message.on('end', () => {
      const text = Buffer.concat(chunks).toString();
      resolve(text === '' ? {} : JSON.parse(text));
    });
    message.on('error', reject);
  });
}

/** Reads a JSON object over HTTP. */
export function readJson(url) {
  return new Promise((resolve, reject) => {
    const call = get(url, {agent: false}, response => {
      readBody(response).then(resolve, reject);
    });
    call.on('error', reject);
  });
}

/** Creates a store that follows the one at `sourceAddress`. */
export function createRestorableStore({sourceAddress, nowMs}) {
  /** What the operator and the upstreams have written last, by key. */
  const source = new Map();
  const connections = new Set();
  const waiting = new Set();
  const copies = [];
  let era = 1;
  let revision = 1;
  let lastLease = 0;
  let items = new Map();
  let events = [];
  let leases = new Map();
  let isAway = false;
  let closed = false;

  function changed(event) {
    events.push(event);
    for (const wake of [...waiting]) wake();
  }

  function set(key, value, lease = 0) {
    revision += 1;
    const created = items.get(key)?.created_revision ?? revision;
    const item = {key, value, revision, created_revision: created, lease};
    items.set(key, item);
    changed(item);
  }

  function remove(key) {
    if (!items.delete(key)) return;
    revision += 1;
    changed({key, revision, deleted: true});
  }

  function endLease(id) {
    leases.delete(id);
    for (const [key, item] of items) if (item.lease === id) remove(key);
  }

  function endLapsedLeases() {
    for (const [id, {endsAtMs}] of leases)
      if (endsAtMs <= nowMs()) endLease(id);
  }

  /** Writes what the store lacks of the source. */
  function writeAgain() {
    if (isAway) return;
    for (const [key, value] of source) {
      if (items.get(key)?.value !== value) set(key, value);
    }
    for (const key of items.keys()) {
      const isSource = key.startsWith('op/') || key.startsWith(upstreamPrefix);
      if (isSource && !source.has(key)) remove(key);
    }
  }

  async function followSource() {
    let after = 0;
    while (!closed) {
      try {
        const url = `http://${sourceAddress}/kv-watch?prefix=&after=${after}&wait_ms=${sourceWaitMs}`;
        const update = await readJson(url);
        after = update.at;
        for (const {deleted, key, value} of update.events) {
          if (deleted) source.delete(key);
          else source.set(key, value);
        }
        if (update.events.length > 0) writeAgain();
      } catch {
        await new Promise(resolve => setTimeout(resolve, sourceRetryMs));
      }
    }
  }

  function beat() {
    if (isAway) return;
    for (const [key, value] of source) {
      if (key.startsWith(upstreamPrefix)) set(key, value);
    }
  }

  function keepCopy() {
    if (isAway) return;
    endLapsedLeases();
    copies.push({
      atMs: nowMs(),
      revision,
      lastLease,
      items: new Map(items),
      events: [...events],
      leases: new Map(leases),
    });
    if (copies.length > maxCopies) copies.shift();
  }

  function watch(query, reply, response) {
    const after = Number(query.get('after') ?? '0');
    if (after > revision) return reply(statusGone, {at: revision});
    const prefix = query.get('prefix') ?? '';
    const select = () =>
      events.filter(
        event => event.revision > after && event.key.startsWith(prefix),
      );
    const finish = () => {
      waiting.delete(onChange);
      clearTimeout(timer);
      reply(statusOk, {events: select(), at: revision});
    };
    const onChange = () => {
      if (select().length > 0) finish();
    };
    const waitMs = Math.min(Number(query.get('wait_ms') ?? '0'), maxWaitMs);
    const timer = setTimeout(finish, waitMs);
    waiting.add(onChange);
    response.once('close', () => {
      waiting.delete(onChange);
      clearTimeout(timer);
    });
    onChange();
  }

  function transact(
    {precondition: rows = [], removals = [], set_keys: sets = []},
    reply,
  ) {
    const holds = rows.every(
      row => (items.get(row.key)?.revision ?? 0) === row.revision,
    );
    if (!holds) {
      const current = rows.flatMap(row => items.get(row.key) ?? []);
      return reply(statusConflict, {items: current});
    }
    if (sets.some(({lease}) => lease && !leases.has(lease))) {
      return reply(statusNotFound, {});
    }
    for (const {key, lease, value} of sets) set(key, value, lease ?? 0);
    for (const key of removals) remove(key);
    reply(statusOk, {revision});
  }

  async function handle(message, response) {
    const body = await readBody(message);
    if (isAway) return message.socket.destroy();
    endLapsedLeases();
    const {pathname, searchParams: query} = new URL(
      message.url ?? '/',
      'http://store',
    );
    const [, call, id] = pathname.split('/');
    const reply = (status, fields) => {
      if (response.destroyed || response.writableEnded) return;
      response.writeHead(status, {
        'Content-Type': 'application/json',
        'Store-Era': era,
      });
      response.end(JSON.stringify(fields));
    };
    if (call === 'kv-key') {
      const item = items.get(query.get('key') ?? '');
      if (item === undefined) reply(statusNotFound, {at: revision});
      else reply(statusOk, {...item, at: revision});
    } else if (call === 'kv-range') {
      const found = [...items.values()].filter(
        ({key}) =>
          key.startsWith(query.get('prefix') ?? '') &&
          key > (query.get('after') ?? ''),
      );
      found.sort((a, b) => (a.key < b.key ? -1 : 1));
      reply(statusOk, {items: found, has_more: false, at: revision});
    } else if (call === 'kv-watch') {
      watch(query, reply, response);
    } else if (call === 'kv-txn') {
      transact(body, reply);
    } else if (call === 'kv-lease') {
      lastLease += 1;
      const ttlMs = body.ttl_ms;
      leases.set(lastLease, {ttlMs, endsAtMs: nowMs() + ttlMs});
      reply(statusOk, {lease: lastLease, ttl_ms: ttlMs});
    } else if (call === 'kv-keep') {
      const lease = leases.get(Number(id));
      if (lease === undefined) return reply(statusNotFound, {});
      leases.set(Number(id), {...lease, endsAtMs: nowMs() + lease.ttlMs});
      reply(statusOk, {ttl_ms: lease.ttlMs});
    } else if (call === 'kv-lease-end') {
      endLease(Number(id));
      reply(statusOk, {});
    } else reply(statusNotFound, {});
  }

  const server = createServer((message, response) => {
    handle(message, response).catch(() => response.destroy());
  });
  server.on('connection', socket => {
    connections.add(socket);
    socket.once('close', () => connections.delete(socket));
  });
  const timers = [
    setInterval(keepCopy, copyIntervalMs),
    setInterval(beat, beatMs),
  ];

  return {
    listen: () =>
      new Promise(resolve => {
        server.listen(0, '127.0.0.1', () => {
          void followSource();
          resolve(`127.0.0.1:${server.address().port}`);
        });
      }),
    isAway: () => isAway,
    /** Names of the instances that are registered. */
    instanceNames: () => {
      endLapsedLeases();
      return [...items.keys()]
        .filter(key => key.startsWith(instancePrefix))
        .map(key => key.slice(instancePrefix.length));
    },
    leave: () => {
      isAway = true;
      waiting.clear();
      connections.forEach(socket => socket.destroy());
    },
    /**
     * Comes back from the latest copy of at least an age; the operator and the
     * upstreams write again after `writeAfterMs`.
     */
    restore: (ageMs, writeAfterMs) => {
      const copy =
        copies.findLast(({atMs}) => atMs <= nowMs() - ageMs) ?? copies[0];
      era += 1;
      revision = copy.revision;
      lastLease = copy.lastLease;
      items = new Map(copy.items);
      events = [...copy.events];
      leases = new Map(
        [...copy.leases].map(([id, {ttlMs}]) => [
          id,
          {ttlMs, endsAtMs: nowMs() + ttlMs},
        ]),
      );
      copies.length = 0;
      isAway = false;
      keepCopy();
      setTimeout(() => {
        writeAgain();
        beat();
      }, writeAfterMs);
    },
    close: () => {
      closed = true;
      timers.forEach(timer => clearInterval(timer));
      connections.forEach(socket => socket.destroy());
      server.close();
    },
  };
}
