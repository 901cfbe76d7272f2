/**
 * The administration API as a Hono app. It authenticates and validates requests
 * and converts results to responses; `AdminDependencies` does the work.
 */
import type {AdminRole} from '@toucanrouter/common';
import {RouterError, toUpstreamId} from '@toucanrouter/common';
import {mergeSnapshots, toBurnReport} from '@toucanrouter/report';
import type {Context} from 'hono';
import {Hono} from 'hono';
import {bodyLimit} from 'hono/body-limit';
import type {Result} from 'neverthrow';
import {okAsync, ResultAsync} from 'neverthrow';
import type {z} from 'zod';
import {authenticate, requireWriter} from './AdminAuthentication.js';
import type {AdminDependencies} from './AdminDependencies.js';
import {toErrorResponse} from './AdminErrors.js';
import {
  applyRequest,
  diffRequest,
  historyQuery,
  inForceQuery,
  maxAdminBodyBytes,
  validate,
  upstreamChangeRequest,
} from './AdminRequests.js';
import type {ConfigChanges, UpstreamAction} from './ConfigChanges.js';
import {createConfigChanges} from './ConfigChanges.js';
import {
  initialConfig,
  toDiffResponse,
  toHistoryResponse,
  toInForceResponse,
  toShowResponse,
} from './ConfigViews.js';

type AdminEnv = {Variables: {role: AdminRole}};
type AdminContext = Context<AdminEnv>;
type AdminApp = Hono<AdminEnv>;
type AdminResult<T> = Result<T, RouterError> | ResultAsync<T, RouterError>;

/** Creates the app that serves `/admin/v1/...`. */
export function createAdminApp(dependencies: AdminDependencies): AdminApp {
  const app = new Hono<AdminEnv>().basePath('/admin/v1');
  addMiddleware(app, dependencies);
  addStatusRoutes(app, dependencies);
  addConfigRoutes(app, dependencies);
  addChangeRoutes(app, createConfigChanges(dependencies));
  // A route, because unknown paths otherwise reach the notFound handler of the
  // app in which this one is mounted.
  app.all('*', context => toErrorResponse(unknownPathError(context.req.path)));
  app.onError(cause => {
    dependencies.logUnexpectedError(cause);
    return toErrorResponse(unexpectedError(cause));
  });
  return app;
}

function addMiddleware(app: AdminApp, dependencies: AdminDependencies): void {
  app.use('*', async (context, next) => {
    const header = context.req.header('authorization');
    const role = await authenticate(dependencies, header);
    if (role.isErr()) return toErrorResponse(role.error);
    context.set('role', role.value);
    return next();
  });
  app.use(
    '*',
    bodyLimit({
      maxSize: maxAdminBodyBytes,
      onError: () => toErrorResponse(bodyTooLargeError()),
    }),
  );
}

function addStatusRoutes(app: AdminApp, dependencies: AdminDependencies): void {
  app.get('/status', () => respond(dependencies.fleetStatus()));
  app.get('/requests', () => respond(dependencies.queuedRequests()));
  app.get('/reports/burn', () =>
    respond(
      dependencies.serviceLevels().map(({snapshots, unanswered}) => ({
        report: toBurnReport(mergeSnapshots(snapshots)),
        unanswered,
      })),
    ),
  );
}

function addConfigRoutes(app: AdminApp, dependencies: AdminDependencies): void {
  const current = () => dependencies.currentConfig() ?? initialConfig;
  app.get('/config', () => respond(okAsync(toShowResponse(current()))));
  app.get('/config/history', context =>
    respond(
      parseQuery(context, historyQuery).asyncAndThen(({limit}) =>
        // Reads one version more, to show the differences of the oldest one.
        dependencies
          .configHistory(limit + 1)
          .map(history => toHistoryResponse(history, limit)),
      ),
    ),
  );
  app.get('/config/in-force', context =>
    respond(
      parseQuery(context, inForceQuery).asyncAndThen(({version}) =>
        dependencies
          .configVersions()
          .map(all => toInForceResponse(version ?? current().version, all)),
      ),
    ),
  );
  app.post('/config/diff', context =>
    respond(
      parseBody(context, diffRequest).andThen(request =>
        toDiffResponse(request, current()),
      ),
    ),
  );
}

function addChangeRoutes(app: AdminApp, changes: ConfigChanges): void {
  app.post('/config/apply', context =>
    respond(
      requireWriter(context.get('role'))
        .asyncAndThen(() => parseBody(context, applyRequest))
        .andThen(changes.apply),
    ),
  );
  for (const action of ['drain', 'undrain'] as const) {
    app.post(`/upstreams/:id/${action}`, context =>
      respond(changeUpstream(context, changes, action)),
    );
  }
}

function changeUpstream(
  context: AdminContext,
  changes: ConfigChanges,
  action: UpstreamAction,
) {
  const upstreamId = toUpstreamId(context.req.param('id') ?? '');
  return requireWriter(context.get('role'))
    .asyncAndThen(() => parseBody(context, upstreamChangeRequest))
    .andThen(request => changes.setDrained(upstreamId, action, request));
}

async function respond<T>(result: AdminResult<T>): Promise<Response> {
  const outcome = await result;
  return outcome.match(value => Response.json(value), toErrorResponse);
}

function parseQuery<T>(
  context: AdminContext,
  schema: z.ZodType<T>,
): Result<T, RouterError> {
  return validate(schema, context.req.query());
}

function parseBody<T>(
  context: AdminContext,
  schema: z.ZodType<T>,
): ResultAsync<T, RouterError> {
  return ResultAsync.fromPromise<unknown, RouterError>(
    context.req.json(),
    cause => new RouterError('bad_request', 'the body is not JSON', {cause}),
  ).andThen(value => validate(schema, value));
}

function unknownPathError(path: string): RouterError {
  return new RouterError(
    'not_found',
    `${path} is not a path of the administration API with this method; see docs/api.md`,
  );
}

function bodyTooLargeError(): RouterError {
  return new RouterError(
    'bad_request',
    `the body is larger than ${maxAdminBodyBytes} bytes; split the classes file or remove comments`,
  );
}

function unexpectedError(cause: unknown): RouterError {
  return new RouterError(
    'internal',
    'an unexpected error occurred; see the log of the instance',
    {cause},
  );
}
