/**
 * Stand-in of the platform's store: keys, leases, watches and transactions as
 * the pages describe them. It loses nothing and is up all the time.
 */
import {Buffer} from 'node:buffer';
import {URL} from 'node:url';
import {clearTimeout, setTimeout} from 'node:timers';
import {createServer} from 'node:http';

const statusOk = 200;
const statusNotFound = 404;
const statusConflict = 412;

function readText(message) {
  return new Promise((resolve, reject) => {
    const chunks = [];
    message.on('data', chunk => chunks.push(chunk));
    message.on('end', () => resolve(Buffer.concat(chunks).toString()));
    message.on('error', reject);
  });
}

/** Creates a store without items. */
export function createStore() {
  let revision = 1;
  let lastLease = 0;
  const items = new Map();
  const history = [];
  const leases = new Map();
  const waiting = new Set();

  function changed(event) {
    history.push(event);
    for (const wake of [...waiting]) wake();
  }

  function set(key, text, lease = 0) {
    revision += 1;
    const previous = items.get(key);
    const item = {
      key,
      value: Buffer.from(text).toString('base64'),
      revision,
      created_revision: previous?.created_revision ?? revision,
      lease,
    };
    items.set(key, item);
    changed(item);
  }

  function remove(key) {
    if (!items.delete(key)) return;
    revision += 1;
    changed({key, revision, deleted: true});
  }

  function renew(id, ttlMs) {
    clearTimeout(leases.get(id)?.timer);
    const timer = setTimeout(() => endLease(id), ttlMs);
    leases.set(id, {ttlMs, timer});
  }

  function endLease(id) {
    clearTimeout(leases.get(id)?.timer);
    leases.delete(id);
    for (const [key, item] of items) if (item.lease === id) remove(key);
  }

  function watch(query, reply) {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after') ?? '0');
    const select = () =>
      history.filter(
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
    const waitMs = Math.min(Number(query.get('wait_ms') ?? '0'), 30_000);
    const timer = setTimeout(finish, waitMs);
    waiting.add(onChange);
    onChange();
    return finish;
  }

  function transact(body, reply) {
    const rows = body.precondition ?? [];
    const holds = rows.every(
      row => (items.get(row.key)?.revision ?? 0) === row.revision,
    );
    if (!holds) {
      const current = rows.flatMap(row => items.get(row.key) ?? []);
      reply(statusConflict, {items: current});
      return;
    }
    const sets = body.set_keys ?? [];
    if (sets.some(({lease}) => lease && !leases.has(lease))) {
      reply(statusNotFound, {});
      return;
    }
    for (const {key, value, lease} of sets) {
      set(key, Buffer.from(value, 'base64').toString(), lease ?? 0);
    }
    for (const key of body.removals ?? []) remove(key);
    reply(statusOk, {revision});
  }

  async function handle(message, response) {
    const url = new URL(message.url ?? '/', 'http://store');
    const reply = (status, body) => {
      if (response.destroyed || response.writableEnded) return;
      const text = JSON.stringify(body);
      response.writeHead(status, {
        'Content-Type': 'application/json',
        'Content-Length': Buffer.byteLength(text),
      });
      response.end(text);
    };
    const text = await readText(message);
    const body = text === '' ? {} : JSON.parse(text);
    const query = url.searchParams;
    const [, call, id] = url.pathname.split('/');
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
      const finish = watch(query, reply);
      response.once('close', finish);
    } else if (call === 'kv-txn') {
      transact(body, reply);
    } else if (call === 'kv-lease') {
      lastLease += 1;
      renew(lastLease, body.ttl_ms);
      reply(statusOk, {lease: lastLease, ttl_ms: body.ttl_ms});
    } else if (call === 'kv-keep') {
      const lease = leases.get(Number(id));
      if (lease === undefined) reply(statusNotFound, {});
      else {
        renew(Number(id), lease.ttlMs);
        reply(statusOk, {ttl_ms: lease.ttlMs});
      }
    } else reply(statusNotFound, {});
  }

  const server = createServer((message, response) => {
    handle(message, response).catch(() => response.destroy());
  });
  return {
    listen: () =>
      new Promise(resolve => {
        server.listen(0, '127.0.0.1', () => resolve(server.address().port));
      }),
    set,
    remove,
    close: () => {
      for (const {timer} of leases.values()) clearTimeout(timer);
      server.close();
      server.closeAllConnections();
    },
  };
}
