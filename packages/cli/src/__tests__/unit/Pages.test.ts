import type {ErrorBody} from '@toucanrouter/common';
import {errorResponses} from '@toucanrouter/common';
import {createAdminApp} from '@toucanrouter/daemon';
import {parseClasses} from '@toucanrouter/settings';
import {expect} from 'chai';
import {createFakeInstance} from '../../../../daemon/src/__tests__/unit/admin/AdminFixtures.js';
import {createMetrics} from '../../../../daemon/src/Metrics.js';
import {exitCodes} from '../../index.js';
import type {PagesFixture} from './PagesFixtures.js';
import {
  createPagesFixture,
  readBlocks,
  readRepositoryFile,
  readTable,
} from './PagesFixtures.js';

const pages = ['api', 'glossary', 'OPERATIONS', 'settings'].map(
  name => `docs/${name}.md`,
);

describe('examples in docs/', () => {
  let fixture: PagesFixture;
  beforeEach(async () => {
    fixture = await createPagesFixture();
  });
  afterEach(() => fixture.close());

  for (const page of ['docs/settings.md', 'docs/OPERATIONS.md']) {
    it(`runs every command of ${page}, so that operators can copy them`, async () => {
      const blocks = readBlocks(page).filter(b => b.language === 'console');
      const lines = blocks.flatMap(({text}) => text.trim().split('\n'));
      expect(lines).to.have.length.greaterThan(0);
      for (const line of lines) {
        expect(line).to.match(/^\$ /);
        const {code, stderr} = await fixture.runCommand(line.slice(2));
        expect(code, `${line}\n${stderr}`).to.equal(0);
      }
    });
  }

  it('gets the responses that docs/api.md states for its requests', async () => {
    const apply = 'toucanctl config apply tkacik.classes.ini --expect 0 --wait';
    expect((await fixture.runCommand(apply)).code).to.equal(0);
    const blocks = readBlocks('docs/api.md').filter(b => b.language === 'http');
    expect(blocks).to.have.length.greaterThan(0);
    for (const {info, text} of blocks) {
      const [status, kind] = info;
      const response = await fixture.sendRequest(text);
      expect(response.status, `${text}\n${response.text}`).to.equal(
        Number(status),
      );
      if (kind === undefined) continue;
      const {error} = JSON.parse(response.text) as ErrorBody;
      expect(error.type).to.equal(kind);
    }
  });
});

describe('a platform outage as docs/OPERATIONS.md describes it', () => {
  let fixture: PagesFixture;
  beforeEach(async () => {
    fixture = await createPagesFixture();
  });
  afterEach(() => fixture.close());

  it('serves reads and idempotent calls, and refuses the rest with run status not_run', async () => {
    const [model, , lookup, order] = readBlocks('docs/api.md')
      .filter(({language}) => language === 'http')
      .map(({text}) => text);
    const apply = 'toucanctl config apply tkacik.classes.ini --expect';
    expect((await fixture.runCommand(`${apply} 0`)).code).to.equal(0);
    fixture.setOutage(true);
    for (const text of [model, lookup]) {
      expect((await fixture.sendRequest(text ?? '')).status).to.equal(200);
    }
    const orderWithShortTimeout = `${order}`.replace(
      '\n',
      '\nx-request-timeout-ms: 500\n',
    );
    const refused = await fixture.sendRequest(orderWithShortTimeout);
    expect(JSON.parse(refused.text)).to.have.nested.include({
      'error.type': 'platform_unavailable',
      'error.run_status': 'not_run',
    });
    for (const read of ['config show', 'status', 'requests', 'report burn']) {
      const {code, stderr} = await fixture.runCommand(`toucanctl ${read}`);
      expect(code, stderr).to.equal(0);
    }
    const history = await fixture.runCommand('toucanctl config history');
    expect(history.code).to.equal(exitCodes.failed);
    const drain = await fixture.runCommand('toucanctl upstream drain engine-1');
    expect(drain.code).to.equal(exitCodes.failed);
    expect(drain.stderr).to.contain('nothing was changed');
    fixture.setOutage(false);
    const show = await fixture.runCommand('toucanctl config show');
    expect(show.stdout).to.match(/^; toucanrouter configuration version 1 /);
    expect((await fixture.sendRequest(order ?? '')).status).to.equal(200);
  });
});

describe('pages', () => {
  it('contain only blocks that a test checks, so that no example becomes outdated', () => {
    const known = ['console', 'http', 'ini', 'json'];
    for (const page of pages) {
      const fences = readRepositoryFile(page).match(/^ *```\w+/gm) ?? [];
      const blocks = readBlocks(page);
      expect(blocks).to.have.length(fences.length);
      for (const {language, text} of blocks) {
        expect(known).to.include(language);
        if (language === 'json') JSON.parse(text);
        if (language !== 'ini') continue;
        const parsed = parseClasses(text, page);
        expect(parsed.isOk(), String(parsed.isErr() && parsed.error)).to.equal(
          true,
        );
      }
    }
  });

  it('list every error kind with the status and run status of the code', () => {
    const rows = readTable('docs/api.md', 'Kind').map(row => row.slice(0, 3));
    const expected = Object.entries(errorResponses).map(
      ([kind, {status, runStatus}]) => [kind, String(status), runStatus],
    );
    expect(rows).to.deep.equal(expected);
  });

  it('list every path of the administration API', () => {
    const fake = createFakeInstance();
    const routes = createAdminApp(fake.dependencies)
      .routes.filter(({method}) => method !== 'ALL')
      .map(({method, path}) => `${method} ${path}`);
    fake.close();
    const rows = readTable('docs/api.md', 'Method and path').map(([r]) => r);
    expect([...rows].sort()).to.deep.equal([...routes].sort());
  });

  it('list every exit code', () => {
    const rows = readTable('docs/OPERATIONS.md', 'Code').map(([code]) => code);
    const codes = Object.values(exitCodes).map(String);
    expect(rows).to.deep.equal(codes);
  });

  it('list every metric of the router', async () => {
    const zero = () => 0;
    const metrics = createMetrics({
      configVersion: zero,
      storeHistory: () => ({count: 0, revision: 0}),
      claimRecordsRestored: zero,
      membersAlive: zero,
      peerMessagesSent: zero,
      permitsHeld: zero,
      permitsPending: zero,
      crashCount: zero,
      quarantinedCount: zero,
      retryBudget: () => ({
        spentCount: 0,
        deniedCount: 0,
        allowance: 0,
        usedCount: 0,
      }),
      pausedCount: zero,
      refusalCounts: () => ({withPause: 0, withoutPause: 0}),
      rateLimitedCount: zero,
      rateStatus: () => ({limits: [], heldBackCount: 0}),
      loopDelayMs: zero,
      recentLoopDelayMs: zero,
      admittedShare: () => 1,
      shedCounts: () => [],
      memoryLimitBytes: zero,
      memoryHolders: () => [],
      bodyMemory: () => ({
        usedBytes: 0,
        maxBytes: 0,
        refusedCount: 0,
        givenUpCount: 0,
      }),
      callerConnections: () => ({
        openCount: 0,
        maxCount: 1,
        refusedCount: 0,
        displacedCount: 0,
      }),
    });
    const text = await metrics.render();
    const names = [...text.matchAll(/^# TYPE (toucanrouter_\w+) /gm)].map(
      match => match[1],
    );
    const rows = readTable('docs/OPERATIONS.md', 'Metric').map(([m]) => m);
    expect(rows).to.have.members(names);
  });

  it('refer only to pages and samples that exist', () => {
    for (const page of pages) {
      const text = readRepositoryFile(page);
      for (const [, target = ''] of text.matchAll(/\]\((\w+\.md)\)/g)) {
        readRepositoryFile(`docs/${target}`);
      }
      for (const [, target = ''] of text.matchAll(
        /`((?:samples|packages)\/[\w./-]+\.(?:ini|ts))`/g,
      )) {
        readRepositoryFile(target);
      }
    }
  });
});
