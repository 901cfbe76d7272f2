/**
 * The HTTP servers for readiness checks and for metrics.
 */
import type {Server} from 'node:http';
import {createAdaptorServer} from '@hono/node-server';
import {Hono} from 'hono';
import type {GatewayMetrics} from './GatewayMetrics.js';

/** Creates a server that reports at `path` whether the instance is ready. */
export function createReadinessServer(
  path: string,
  notReadyReason: () => string | undefined,
): Server {
  const app = new Hono();
  app.get(path, context => {
    const reason = notReadyReason();
    if (reason === undefined) return context.text('ready\n');
    return context.text(`not ready: ${reason}\n`, 503);
  });
  return createAdaptorServer({fetch: app.fetch}) as Server;
}

/** Creates a server for the metrics of the instance. */
export function createMetricsServer(metrics: GatewayMetrics): Server {
  const app = new Hono();
  app.get('/metrics', async context =>
    context.body(await metrics.render(), 200, {
      'content-type': metrics.contentType,
    }),
  );
  return createAdaptorServer({fetch: app.fetch}) as Server;
}
