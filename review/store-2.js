/**
 * The platform's metadata store, as `PROTOCOL.md` describes it: items, leases,
 * watches and conditional writes over HTTP/1.1 with JSON bodies. It keeps its
 * history for `historyS` and answers a watch with all events since its revision.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';
import {URL} from 'node:url';

const maxPageItems = 500;
const maxPageBytes = 1_000_000;
const reservedPrefixes = ['op/', 'servers/'];

const toBase64 = text => Buffer.from(text).toString('base64');

/** Starts a store on `host`; resolves once it listens. */
export async function startStore({host, historyS = 20}) {
  const items = new Map();
  const leases = new Map();
  const waiters = new Set();
  /** Calls of instances, by the path without its query. */
  const calls = new Map();
  const history = [];
  let revision = 100;
  let nextLease = 7_000;
  let oldestRevision = 0;
  /** Returns how a caller's calls are treated: 'serve', 'busy' or 'silent'. */
  let treat = () => 'serve';
  const servers = [];

  function append(event) {
    history.push({atMs: performance.now(), event});
    const oldestMs = performance.now() - historyS * 1_000;
    while (history.length > 0 && history[0].atMs < oldestMs) {
      oldestRevision = history.shift().event.revision;
    }
  }

  function wake() {
    for (const waiter of [...waiters]) waiter();
  }

  function setItem(key, value, lease, at) {
    const previous = items.get(key);
    if (previous?.lease) leases.get(previous.lease)?.keys.delete(key);
    const created_revision = previous?.created_revision ?? at;
    const item = {key, value, revision: at, created_revision, lease};
    items.set(key, item);
    if (lease !== 0) leases.get(lease)?.keys.add(key);
    append(item);
  }

  function removeItem(key, at) {
    if (!items.delete(key)) return;
    append({key, revision: at, deleted: true});
  }

  function endLease(id) {
    const lease = leases.get(id);
    if (lease === undefined) return false;
    clearTimeout(lease.timer);
    leases.delete(id);
    if (lease.keys.size > 0) {
      revision += 1;
      for (const key of lease.keys) removeItem(key, revision);
      wake();
    }
    return true;
  }

  function startLease(id, ttlMs) {
    const known = leases.get(id);
    if (known !== undefined) clearTimeout(known.timer);
    const timer = setTimeout(() => endLease(id), ttlMs);
    leases.set(id, {ttlMs, timer, keys: known?.keys ?? new Set()});
  }

  function applyTxn({precondition = [], set_keys = [], removals = []}) {
    const isMet = precondition.every(
      row => (items.get(row.key)?.revision ?? 0) === row.revision,
    );
    if (!isMet) {
      const present = precondition.flatMap(({key}) => items.get(key) ?? []);
      return [412, {items: present}];
    }
    const written = [...set_keys.map(({key}) => key), ...removals];
    if (written.some(key => reservedPrefixes.some(p => key.startsWith(p)))) {
      return [403, {}];
    }
    if (set_keys.some(({lease}) => lease && !leases.has(lease))) {
      return [404, {}];
    }
    revision += 1;
    for (const {key, value, lease} of set_keys) {
      setItem(key, value, lease ?? 0, revision);
    }
    for (const key of removals) removeItem(key, revision);
    wake();
    return [200, {revision}];
  }

  function readRange(query) {
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    const keys = [...items.keys()]
      .filter(key => key.startsWith(prefix) && key > after)
      .sort();
    const page = [];
    let bytes = 0;
    for (const key of keys) {
      const item = items.get(key);
      if (page.length >= maxPageItems || bytes > maxPageBytes) break;
      page.push(item);
      bytes += item.value.length;
    }
    return {items: page, has_more: page.length < keys.length, at: revision};
  }

  function eventsAfter(prefix, after) {
    return history
      .map(({event}) => event)
      .filter(event => event.revision > after && event.key.startsWith(prefix));
  }

  async function watch(query, response) {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const endMs = performance.now() + Number(query.get('wait_ms') ?? 0);
    for (;;) {
      if (after < oldestRevision || after > revision) return [410, {}];
      const events = eventsAfter(prefix, after);
      const leftMs = endMs - performance.now();
      if (events.length > 0 || leftMs <= 0 || response.destroyed) {
        return [200, {events, at: revision}];
      }
      await new Promise(resolve => {
        const finish = () => {
          clearTimeout(timer);
          waiters.delete(finish);
          resolve();
        };
        const timer = setTimeout(finish, leftMs);
        waiters.add(finish);
        response.once('close', finish);
      });
    }
  }

  async function readBody(message) {
    const chunks = [];
    for await (const chunk of message) chunks.push(chunk);
    const text = Buffer.concat(chunks).toString();
    return text === '' ? {} : JSON.parse(text);
  }

  async function answer(message, response) {
    const url = new URL(message.url, 'http://store');
    const [, name, id] = url.pathname.split('/');
    const body = message.method === 'POST' ? await readBody(message) : {};
    switch (name) {
      case 'kv-key': {
        const item = items.get(url.searchParams.get('key'));
        return item ? [200, {...item, at: revision}] : [404, {at: revision}];
      }
      case 'kv-range':
        return [200, readRange(url.searchParams)];
      case 'kv-watch':
        return watch(url.searchParams, response);
      case 'kv-txn':
        return applyTxn(body);
      case 'kv-lease': {
        const lease = nextLease++;
        startLease(lease, body.ttl_ms);
        return [200, {lease, ttl_ms: body.ttl_ms}];
      }
      case 'kv-keep': {
        const lease = leases.get(Number(id));
        if (lease === undefined) return [404, {}];
        startLease(Number(id), lease.ttlMs);
        return [200, {ttl_ms: lease.ttlMs}];
      }
      case 'kv-lease-end':
        return endLease(Number(id)) ? [200, {}] : [404, {}];
      default:
        return [404, {}];
    }
  }

  async function serve(from, message, response) {
    const {pathname} = new URL(message.url, 'http://store');
    const call = `${from} ${pathname.split('/')[1]}`;
    calls.set(call, (calls.get(call) ?? 0) + 1);
    const how = treat(from);
    if (how === 'silent') return;
    const [status, fields] =
      how === 'busy' ? [503, {}] : await answer(message, response);
    if (response.destroyed || treat(from) === 'silent') return;
    const text = JSON.stringify(fields);
    response.writeHead(status, {
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(text),
      'Store-Era': '1',
    });
    response.end(text);
  }

  return {
    /** Opens an address for the caller `from`, by which its calls are known. */
    openFor: async from => {
      const server = createServer((message, response) => {
        serve(from, message, response).catch(() => response.destroy());
      });
      servers.push(server);
      await new Promise(resolve => server.listen(0, host, resolve));
      return `${host}:${server.address().port}`;
    },
    calls,
    revision: () => revision,
    /** Writes as the operator or an engine does; the return confirms it. */
    put: (key, value) => {
      revision += 1;
      setItem(key, toBase64(JSON.stringify(value)), 0, revision);
      wake();
    },
    remove: key => {
      revision += 1;
      removeItem(key, revision);
      wake();
    },
    /** Sets how the calls of each caller are treated from now on. */
    treatAs: next => {
      treat = next;
    },
    close: () => {
      for (const {timer} of leases.values()) clearTimeout(timer);
      for (const server of servers) {
        server.closeAllConnections();
        server.close();
      }
    },
  };
}
