/**
 * Finds the route and the workspace of a request, and refuses requests that the
 * configuration does not allow. An instance that cannot verify whether a key is
 * still valid responds that it did not run the request.
 */
import {RouterError} from '@toucanrouter/common';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {ConfigInForce} from '../config/ActiveConfig.js';
import type {GatewayRoute, GatewayWorkspace} from '../config/GatewayConfig.js';
import type {CallerRequest} from './Dialect.js';
import type {GatewayContext} from './GatewayContext.js';

/** The route, workspace and tier under which a request is served. */
export interface AdmittedRequest {
  readonly config: ConfigInForce;
  readonly route: GatewayRoute;
  readonly workspace: GatewayWorkspace | undefined;
  /** Tier of the workspace, or else of the route. */
  readonly tier: number;
}

/** An instance usually receives its configuration within this time. */
const configRetryAfterMs = 500;

function configUnavailable(message: string): RouterError {
  return new RouterError('platform_unavailable', message, {
    retryAfterMs: configRetryAfterMs,
  });
}

/** Admits or refuses a request under the configuration in force. */
export async function admit(
  context: GatewayContext,
  request: CallerRequest,
): Promise<Result<AdmittedRequest, RouterError>> {
  if (context.configAge.ageMs() > context.maxConfigAgeMs()) {
    await context.confirmConfig();
  }
  const config = context.config.current();
  if (config === undefined) {
    return err(configUnavailable('no configuration has been received yet'));
  }
  const route = config.table.find(request.host, request.path);
  if (route === undefined) {
    return err(
      new RouterError(
        'not_found',
        `no route for ${request.host}${request.path}`,
      ),
    );
  }
  if (config.workspacesByKey === undefined || route.anonymous) {
    return ok({config, route, workspace: undefined, tier: route.tier});
  }
  const ageMs = context.configAge.ageMs();
  if (ageMs > context.maxConfigAgeMs()) {
    return err(
      configUnavailable(
        `the configuration was confirmed ${Math.round(ageMs)} ms ago`,
      ),
    );
  }
  const workspace =
    request.key === undefined ? undefined : config.workspaceOf(request.key);
  if (workspace === undefined) {
    return err(
      new RouterError('unauthenticated', 'the API key is missing or unknown'),
    );
  }
  return ok({config, route, workspace, tier: workspace.tier ?? route.tier});
}
