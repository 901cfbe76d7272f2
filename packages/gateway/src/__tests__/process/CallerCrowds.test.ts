import {mkdtempSync, rmSync} from 'node:fs';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {CrowdForm} from '../../../../common/src/__tests__/process/CallerCrowds.js';
import {
  crowdForms,
  expectCrowdBorne,
  mixedForms,
} from '../../../../common/src/__tests__/process/CallerCrowds.js';
import {
  bundleLimitedGateway,
  call,
  startUpstream,
  withLimitedGateway,
} from './LimitedGatewayFixtures.js';

const limits = {
  limitBytes: 130_000_000,
  maxHeapMib: 48,
  maxDescriptors: 600,
};
const path = '/chat/x';

describe('Process of a small gateway beside a crowd of callers', () => {
  const directory = mkdtempSync(join(tmpdir(), 'toucanrouter-crowds-'));
  let bundleFile: string;
  let upstream: Server;

  before(async () => {
    bundleFile = await bundleLimitedGateway(directory);
    upstream = await startUpstream();
  });

  after(() => {
    upstream.closeAllConnections();
    upstream.close();
    rmSync(directory, {recursive: true});
  });

  /** Runs a gateway beside a crowd of some forms. */
  async function expectWithinLimits(
    forms: readonly CrowdForm[],
  ): Promise<void> {
    const {port: upstreamPort} = upstream.address() as AddressInfo;
    await withLimitedGateway(
      upstreamPort,
      async gateway => {
        const {isRunning, pid, port} = gateway;
        const isServing = async () => (await call(port, 'ordinary')) === 200;
        const crowded = {pid, port, path, isRunning, isServing};
        await expectCrowdBorne(crowded, forms, limits);
      },
      {...limits, bundleFile},
    );
  }

  for (const form of crowdForms) {
    // Guards against a process that is ended because callers take more memory,
    // their unread bytes included, than its machine has.
    it(`stays within its limits: ${form.name}`, async () => {
      await expectWithinLimits([form]);
    });
  }

  it('stays within its limits: all forms together', async () => {
    await expectWithinLimits(mixedForms);
  });
});
