import {writeFileSync} from 'node:fs';
import type {
  AdminErrorBody,
  ConfigAcceptedResponse,
  ConfigApplyRequest,
} from '@toucanrouter/common';
import {errorResponses, PlatformError} from '@toucanrouter/common';
import {expect} from 'chai';
import {Hono} from 'hono';
import {errAsync, okAsync} from 'neverthrow';
import {createAdminApp} from '../../../index.js';
import type {FakeInstance} from './AdminFixtures.js';
import {
  classesText,
  createFakeInstance,
  readerToken,
  compareAndSwap,
  writerToken,
} from './AdminFixtures.js';

interface JsonResponse<T> {
  readonly status: number;
  readonly body: T;
}

async function call<T>(
  fake: FakeInstance,
  path: string,
  body?: unknown,
  token: string | undefined = writerToken,
): Promise<JsonResponse<T>> {
  const response = await createAdminApp(fake.dependencies).request(
    `/admin/v1${path}`,
    {
      method: body === undefined ? 'GET' : 'POST',
      headers: token === '' ? {} : {authorization: `Bearer ${token}`},
      body: body === undefined ? undefined : JSON.stringify(body),
    },
  );
  return {status: response.status, body: (await response.json()) as T};
}

function applyRequest(
  fields: Partial<ConfigApplyRequest> = {},
): ConfigApplyRequest {
  return {
    classesText: classesText(),
    expectedVersion: 0,
    author: 'eva',
    writeId: 'write-0001',
    ...fields,
  };
}

const apply = (fake: FakeInstance, fields?: Partial<ConfigApplyRequest>) =>
  call<ConfigAcceptedResponse & AdminErrorBody>(
    fake,
    '/config/apply',
    applyRequest(fields),
  );

describe('createAdminApp', () => {
  let fake: FakeInstance;
  beforeEach(() => {
    fake = createFakeInstance();
  });
  afterEach(() => fake.close());

  it('serves all reads to a reader', async () => {
    const paths = [
      '/status',
      '/requests',
      '/config',
      '/config/history',
      '/config/in-force',
      '/reports/burn',
    ];
    for (const path of paths) {
      const {status} = await call(fake, path, undefined, readerToken);
      expect(status, path).to.equal(200);
    }
  });

  it('rejects missing and wrong tokens on every path, also on unknown ones', async () => {
    for (const token of ['', 'wrong', `${readerToken}x`]) {
      for (const path of ['/status', '/nothing']) {
        const {status, body} = await call<AdminErrorBody>(
          fake,
          path,
          undefined,
          token,
        );
        expect(status).to.equal(401);
        expect(body.error.type).to.equal('unauthenticated');
        expect(body.error.message).to.match(/send|check/);
      }
    }
  });

  it('rejects all tokens while a token file is empty, instead of accepting an empty token', async () => {
    writeFileSync(fake.dependencies.writerTokenFile, '\n');
    const {status, body} = await call<AdminErrorBody>(fake, '/status');
    expect(status).to.equal(401);
    expect(body.error.message).to.contain('cannot read its token files');
  });

  it('applies a changed token without a restart', async () => {
    writeFileSync(fake.dependencies.writerTokenFile, 'fresh');
    expect((await call(fake, '/status')).status).to.equal(401);
    const {status} = await call(fake, '/status', undefined, 'fresh');
    expect(status).to.equal(200);
  });

  it('rejects every change by a reader', async () => {
    for (const path of [
      '/config/apply',
      '/upstreams/engine-1/drain',
      '/upstreams/engine-1/undrain',
    ]) {
      const {status, body} = await call<AdminErrorBody>(
        fake,
        path,
        applyRequest(),
        readerToken,
      );
      expect(status).to.equal(403);
      expect(body.error.run_status).to.equal('not_run');
    }
    expect(fake.stored).to.have.length(0);
  });

  it('reports unknown paths, invalid bodies and exceptions by an error kind of the closed list', async () => {
    const failing = createFakeInstance({
      fleetStatus: () => {
        throw new Error('bug');
      },
    });
    const responses = [
      await call<AdminErrorBody>(fake, '/nothing'),
      await call<AdminErrorBody>(fake, '/config/apply', {author: ''}),
      await call<AdminErrorBody>(fake, '/config/history?limit=0'),
      await call<AdminErrorBody>(failing, '/status'),
    ];
    failing.close();
    const kinds = responses.map(({body}) => body.error.type);
    expect(kinds).to.deep.equal([
      'not_found',
      'bad_request',
      'bad_request',
      'internal',
    ]);
    for (const {status, body} of responses) {
      expect(status).to.equal(errorResponses[body.error.type].status);
    }
  });

  it('reports unknown paths as JSON even if it is mounted in another app, which has its own notFound handler', async () => {
    const server = new Hono().route('/', createAdminApp(fake.dependencies));
    const response = await server.request('/admin/v1/nothing', {
      headers: {authorization: `Bearer ${writerToken}`},
    });
    const body = (await response.json()) as AdminErrorBody;
    expect(response.status).to.equal(404);
    expect(body.error.type).to.equal('not_found');
  });

  it('returns all faults of a classes file and changes nothing', async () => {
    const {status, body} = await apply(fake, {
      classesText: '[class.quick]\npriority = 9\nweight = 1\n',
      fileName: 'my.ini',
    });
    expect(status).to.equal(422);
    expect(body.faults?.map(({file, line}) => `${file}:${line}`)).to.include(
      'my.ini:2',
    );
    expect(body.faults).to.have.length.greaterThan(3);
    expect(fake.stored).to.have.length(0);
  });

  it('writes an audit entry for each change with author, time and versions', async () => {
    const {body} = await apply(fake);
    expect(body).to.deep.include({
      outcome: 'accepted',
      version: 1,
      changed: true,
    });
    expect(fake.audited).to.deep.equal([
      {
        action: 'config.apply',
        atWallMs: fake.dependencies.clock.wallMs(),
        author: 'eva',
        fromVersion: 0,
        toVersion: 1,
        writeId: 'write-0001',
        outcome: 'accepted',
      },
    ]);
  });

  it('reports the winning version and the differences to the loser of a race', async () => {
    await apply(fake);
    await apply(fake, {
      expectedVersion: 1,
      classesText: classesText('2s'),
      author: 'adam',
      writeId: 'write-0002',
    });
    const {status, body} = await apply(fake, {
      expectedVersion: 1,
      classesText: classesText('3s'),
      writeId: 'write-0003',
    });
    expect(status).to.equal(409);
    expect(body.conflict?.winner).to.deep.include({version: 2, author: 'adam'});
    expect(body.conflict?.differences).to.deep.equal([
      {
        subject: 'class.quick',
        field: 'target_total',
        before: '2s',
        after: '3s',
      },
    ]);
    expect(fake.audited.at(-1)?.outcome).to.equal('conflict');
  });

  it('accepts a retried request without writing it twice, since the first response may have been lost', async () => {
    await apply(fake);
    await apply(fake, {
      expectedVersion: 1,
      classesText: classesText('2s'),
      writeId: 'write-0002',
    });
    const {status, body} = await apply(fake);
    expect(status).to.equal(200);
    expect(body.version).to.equal(1);
    expect(fake.stored).to.have.length(2);
  });

  it('reports a conflict to a stale operator, however many versions behind', async () => {
    for (let version = 0; version < 105; version++) {
      await apply(fake, {
        expectedVersion: version,
        classesText: classesText(`${version + 1}s`),
        writeId: `write-${1000 + version}`,
      });
    }
    for (const expectedVersion of [0, 1, 103]) {
      const {status, body} = await apply(fake, {
        expectedVersion,
        classesText: classesText('5m'),
      });
      expect(status).to.equal(409);
      expect(body.conflict?.winner.version).to.equal(105);
    }
  });

  it('names the newest version if the expected version does not exist yet', async () => {
    await apply(fake);
    const {status, body} = await apply(fake, {
      expectedVersion: 7,
      writeId: 'write-0002',
    });
    expect(status).to.equal(400);
    expect(body.error.message).to.contain(
      'there is no version 7 to change; the newest is 1',
    );
  });

  it('reports "not yet known" when a write may have taken effect', async () => {
    const lostError = new PlatformError('no response', true);
    const unresolved = [
      createFakeInstance({changeConfig: () => errAsync(lostError)}),
      createFakeInstance({
        changeConfig: () => okAsync({kind: 'not_yet_known' as const}),
      }),
    ];
    for (const instance of unresolved) {
      const {status, body} = await apply(instance);
      expect(status).to.equal(503);
      expect(body.error).to.deep.include({
        type: 'config_unknown',
        run_status: 'unknown',
      });
      expect(body.writeId).to.equal('write-0001');
      expect(instance.audited[0]?.outcome).to.equal('not_yet_known');
      instance.close();
    }
  });

  it('reports the outcome as unknown, not as a conflict, while the history cannot be read', async () => {
    const platformError = new PlatformError('no response', false);
    const withoutHistory = createFakeInstance({
      configHistory: () => errAsync(platformError),
    });
    await apply(withoutHistory);
    const {body} = await apply(withoutHistory, {writeId: 'write-0002'});
    expect(body.error.type).to.equal('config_unknown');
    withoutHistory.close();
  });

  it('reports "not run" when the platform refused the connection before the write', async () => {
    const connectionError = new PlatformError('connection refused', false);
    const offline = createFakeInstance({
      changeConfig: () => errAsync(connectionError),
    });
    const {body} = await apply(offline);
    expect(body.error).to.deep.include({
      type: 'platform_unavailable',
      run_status: 'not_run',
    });
    offline.close();
  });

  it('preserves drained upstreams when classes are applied', async () => {
    await apply(fake);
    const change = {author: 'eva', writeId: 'drain-0001'};
    const drained = await call(fake, '/upstreams/engine-1/drain', change);
    expect(drained.status).to.equal(200);
    await apply(fake, {
      expectedVersion: 2,
      classesText: classesText('2s'),
      writeId: 'write-0002',
    });
    expect(fake.stored.at(-1)?.drainedUpstreams).to.deep.equal(['engine-1']);
    await call(fake, '/upstreams/engine-1/undrain', {
      ...change,
      writeId: 'drain-0002',
    });
    expect(fake.stored.at(-1)?.drainedUpstreams).to.deep.equal([]);
    expect(fake.audited.map(({action}) => action)).to.deep.equal([
      'config.apply',
      'upstream.drain',
      'config.apply',
      'upstream.undrain',
    ]);
  });

  it('retries a drain after a conflict, so that neither of two racing changes is lost', async () => {
    let hasRaced = false;
    const racing: FakeInstance = createFakeInstance({
      changeConfig: change => {
        if (change.drainedUpstreams.length > 0 && !hasRaced) {
          hasRaced = true;
          compareAndSwap(racing.stored, {
            ...change,
            classesText: classesText('9s'),
            drainedUpstreams: [],
            writeId: 'other-0001',
          });
        }
        return okAsync(compareAndSwap(racing.stored, change));
      },
    });
    await apply(racing);
    const {status} = await call(racing, '/upstreams/engine-1/drain', {
      author: 'eva',
      writeId: 'drain-0001',
    });
    expect(status).to.equal(200);
    expect(racing.stored.at(-1)).to.deep.include({
      version: 3,
      classesText: classesText('9s'),
      drainedUpstreams: ['engine-1'],
    });
    racing.close();
  });

  it('rejects a drain of an upstream that does not exist', async () => {
    await apply(fake);
    const {status, body} = await call<AdminErrorBody>(
      fake,
      '/upstreams/typo/drain',
      {author: 'eva', writeId: 'drain-0001'},
    );
    expect(status).to.equal(404);
    expect(body.error.message).to.contain('look up its id in the status');
  });

  it('lists the instances that do not have a version in force yet', async () => {
    await apply(fake);
    fake.versions.set('router-2', 0);
    const {body} = await call(fake, '/config/in-force?version=1');
    expect(body).to.deep.equal({
      version: 1,
      inForce: ['router-1'],
      lagging: [{instanceId: 'router-2', version: 0}],
    });
  });

  it('shows each version in the history with its differences from the previous one, also the oldest', async () => {
    await apply(fake);
    await apply(fake, {
      expectedVersion: 1,
      classesText: classesText('2s'),
      writeId: 'write-0002',
    });
    const {body} = await call<{versions: {differences?: unknown[]}[]}>(
      fake,
      '/config/history?limit=1',
    );
    expect(body.versions).to.have.length(1);
    expect(body.versions[0]?.differences).to.have.length(1);
  });
});
