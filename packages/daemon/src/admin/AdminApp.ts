/**
 * The administration API as a hono app. It authenticates, checks requests and
 * turns results into answers; the functions it calls are arguments.
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
  readValue,
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
type Answer<T> = Result<T, RouterError> | ResultAsync<T, RouterError>;

/** Creates the app that serves `/admin/v1/...`. */
export function createAdminApp(dependencies: AdminDependencies): AdminApp {
  const app = new Hono<AdminEnv>().basePath('/admin/v1');
  addGuards(app, dependencies);
  addStatusRoutes(app, dependencies);
  addConfigRoutes(app, dependencies);
  addChangeRoutes(app, createConfigChanges(dependencies));
  // A route, since the app that this one is mounted in has its own notFound.
  app.all('*', context => toErrorResponse(unknownPath(context.req.path)));
  app.onError(cause => {
    dependencies.logUnexpected(cause);
    return toErrorResponse(unexpected(cause));
  });
  return app;
}

function addGuards(app: AdminApp, dependencies: AdminDependencies): void {
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
      onError: () => toErrorResponse(tooLarge()),
    }),
  );
}

function addStatusRoutes(app: AdminApp, dependencies: AdminDependencies): void {
  app.get('/status', () => answer(dependencies.fleetStatus()));
  app.get('/requests', () => answer(dependencies.queuedRequests()));
  app.get('/reports/burn', () =>
    answer(
      dependencies.serviceLevels().map(({snapshots, unanswered}) => ({
        report: toBurnReport(mergeSnapshots(snapshots)),
        unanswered,
      })),
    ),
  );
}

function addConfigRoutes(app: AdminApp, dependencies: AdminDependencies): void {
  const current = () => dependencies.currentConfig() ?? initialConfig;
  app.get('/config', () => answer(okAsync(toShowResponse(current()))));
  app.get('/config/history', context =>
    answer(
      query(context, historyQuery).asyncAndThen(({limit}) =>
        // One more than shown, for the differences of the oldest.
        dependencies
          .configHistory(limit + 1)
          .map(history => toHistoryResponse(history, limit)),
      ),
    ),
  );
  app.get('/config/in-force', context =>
    answer(
      query(context, inForceQuery).asyncAndThen(({version}) =>
        dependencies
          .configVersions()
          .map(all => toInForceResponse(version ?? current().version, all)),
      ),
    ),
  );
  app.post('/config/diff', context =>
    answer(
      body(context, diffRequest).andThen(request =>
        toDiffResponse(request, current()),
      ),
    ),
  );
}

function addChangeRoutes(app: AdminApp, changes: ConfigChanges): void {
  app.post('/config/apply', context =>
    answer(
      requireWriter(context.get('role'))
        .asyncAndThen(() => body(context, applyRequest))
        .andThen(changes.apply),
    ),
  );
  for (const action of ['drain', 'undrain'] as const) {
    app.post(`/upstreams/:id/${action}`, context =>
      answer(changeUpstream(context, changes, action)),
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
    .asyncAndThen(() => body(context, upstreamChangeRequest))
    .andThen(request => changes.setDrained(upstreamId, action, request));
}

async function answer<T>(result: Answer<T>): Promise<Response> {
  const outcome = await result;
  return outcome.match(value => Response.json(value), toErrorResponse);
}

function query<T>(
  context: AdminContext,
  schema: z.ZodType<T>,
): Result<T, RouterError> {
  return readValue(schema, context.req.query());
}

function body<T>(
  context: AdminContext,
  schema: z.ZodType<T>,
): ResultAsync<T, RouterError> {
  return ResultAsync.fromPromise<unknown, RouterError>(
    context.req.json(),
    cause => new RouterError('bad_request', 'the body is not JSON', {cause}),
  ).andThen(value => readValue(schema, value));
}

function unknownPath(path: string): RouterError {
  return new RouterError(
    'not_found',
    `${path} is not a path of the administration API with this method; see docs/api.md`,
  );
}

function tooLarge(): RouterError {
  return new RouterError(
    'bad_request',
    `the body is larger than ${maxAdminBodyBytes} bytes; split the classes file or remove comments`,
  );
}

function unexpected(cause: unknown): RouterError {
  return new RouterError(
    'internal',
    'the instance met an unexpected condition; see its log',
    {cause},
  );
}
