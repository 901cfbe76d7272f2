/**
 * The HTTP servers for readiness checks and for metrics.
 */
import type {Server} from 'node:http';
import type {ConnectionBudget} from '@toucanrouter/common';
import {limitConnections} from '@toucanrouter/common';
import type {GatewayMetrics} from './GatewayMetrics.js';
import type {Route} from './RouteServer.js';
import {createRouteServer, textResponse} from './RouteServer.js';

const statusOk = 200;
const statusUnavailable = 503;

function createLimitedServer(
  routes: Readonly<Record<string, Route>>,
  connections: ConnectionBudget,
): Server {
  const server = createRouteServer(routes);
  limitConnections(server, connections);
  return server;
}

/** Creates a server that reports at `path` whether the instance is ready. */
export function createReadinessServer(
  path: string,
  notReadyReason: () => string | undefined,
  connections: ConnectionBudget,
): Server {
  const respond = () => {
    const reason = notReadyReason();
    return reason === undefined
      ? textResponse('ready\n')
      : textResponse(`not ready: ${reason}\n`, statusUnavailable);
  };
  return createLimitedServer({[path]: respond}, connections);
}

/** Creates a server for the metrics of the instance. */
export function createMetricsServer(
  metrics: GatewayMetrics,
  connections: ConnectionBudget,
): Server {
  const respond = async () => ({
    status: statusOk,
    contentType: metrics.contentType,
    body: await metrics.render(),
  });
  return createLimitedServer({'/metrics': respond}, connections);
}
