/**
 * The HTTP servers for readiness checks and for metrics.
 */
import type {Server} from 'node:http';
import type {GatewayMetrics} from './GatewayMetrics.js';
import {createRouteServer, textResponse} from './RouteServer.js';

const statusOk = 200;
const statusUnavailable = 503;

/** Creates a server that reports at `path` whether the instance is ready. */
export function createReadinessServer(
  path: string,
  notReadyReason: () => string | undefined,
): Server {
  return createRouteServer({
    [path]: () => {
      const reason = notReadyReason();
      return reason === undefined
        ? textResponse('ready\n')
        : textResponse(`not ready: ${reason}\n`, statusUnavailable);
    },
  });
}

/** Creates a server for the metrics of the instance. */
export function createMetricsServer(metrics: GatewayMetrics): Server {
  return createRouteServer({
    '/metrics': async () => ({
      status: statusOk,
      contentType: metrics.contentType,
      body: await metrics.render(),
    }),
  });
}
