/**
 * The HTTP server for operators: administration API, metrics and health.
 */
import type {Server} from 'node:http';
import {createAdaptorServer} from '@hono/node-server';
import type {Clock, ConnectionBudget} from '@toucanrouter/common';
import {
  closeUnfinishedBodies,
  countReceivedBodies,
  limitConnections,
} from '@toucanrouter/common';
import {Hono} from 'hono';
import type {AdminDependencies} from '../admin/AdminDependencies.js';
import {createAdminApp} from '../admin/AdminApp.js';
import type {Metrics} from '../Metrics.js';

/** Options of the server for operators. */
export interface AdminServerOptions {
  readonly clock: Clock;
  /** Bounds the connections of operators and checks. */
  readonly connections: ConnectionBudget;
  readonly admin: AdminDependencies;
  readonly metrics: Metrics;
  /** Returns why the instance is not ready; undefined if it is ready. */
  readonly notReadyReason: () => string | undefined;
}

/** Creates the server; it does not listen yet. */
export function createAdminServer(options: AdminServerOptions): Server {
  const app = new Hono();
  app.get('/healthz', context => context.text('ok\n'));
  app.get('/readyz', context => {
    const reason = options.notReadyReason();
    if (reason === undefined) return context.text('ready\n');
    return context.text(`not ready: ${reason}\n`, 503);
  });
  app.get('/metrics', async context => {
    const body = await options.metrics.render();
    return context.body(body, 200, {
      'content-type': options.metrics.contentType,
    });
  });
  app.route('/', createAdminApp(options.admin));
  const server = createAdaptorServer({fetch: app.fetch}) as Server;
  limitConnections(server, options.connections);
  closeUnfinishedBodies(server, options.clock);
  countReceivedBodies(server);
  return server;
}
