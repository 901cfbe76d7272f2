import {readFileSync} from 'node:fs';
import {expect} from 'chai';
import {request} from 'undici';
import type {CrowdForm} from '../../../../common/src/__tests__/process/CallerCrowds.js';
import {
  crowdForms,
  expectCrowdBorne,
  mixedForms,
} from '../../../../common/src/__tests__/process/CallerCrowds.js';
import {createServiceStandIn} from '../../service/ServiceStandIn.js';
import {createConfigWriter} from './ConfigWriter.js';
import type {DaemonProcess} from './DaemonFixtures.js';
import {
  findDaemonPorts,
  startDaemonProcess,
  waitUntil,
} from './DaemonFixtures.js';

const classesText = readFileSync(
  new URL('../../../../../samples/tkacik.classes.ini', import.meta.url),
  'utf8',
);
const host = '127.0.0.1';
const limits = {
  limitBytes: 200_000_000,
  maxHeapMib: 48,
  maxDescriptors: 600,
  isBuilt: true,
};
const callTimeoutMs = 5_000;
const testTimeoutMs = 120_000;
const ready = '200 ready\n';

/** A port of the daemon, and a path there. */
const ports = [
  {name: 'callers', path: '/v1/chat/completions'},
  {name: 'admin', path: '/healthz'},
] as const;

/** Sends one call; returns its status, or undefined without a response. */
async function call(port: number): Promise<number | undefined> {
  try {
    const {body, statusCode} = await request(
      `http://${host}:${port}/services/profiles/customers/17`,
      {
        headers: {authorization: 'Bearer key-martin'},
        headersTimeout: callTimeoutMs,
        reset: true,
      },
    );
    await body.dump();
    return statusCode;
  } catch {
    return undefined;
  }
}

/** Returns whether the daemon serves a call and is ready. */
async function isServing(daemon: DaemonProcess): Promise<boolean> {
  const status = await call(daemon.ports.callers);
  return status === 200 && (await daemon.readiness()) === ready;
}

/** Runs `use` with a small daemon that has a configuration and one service. */
async function withDaemon(
  use: (daemon: DaemonProcess) => Promise<void>,
): Promise<void> {
  const daemon = await startDaemonProcess(
    await findDaemonPorts(),
    true,
    limits,
  );
  const service = await createServiceStandIn({
    id: 'profiles-1',
    service: 'profiles',
    listUrl: daemon.platform.instanceListUrl,
  });
  const writer = createConfigWriter(daemon.platform.keyValueAddress);
  try {
    await writer.write(classesText);
    expect(await waitUntil(() => isServing(daemon))).to.equal(true);
    await use(daemon);
  } finally {
    writer.close();
    await service.close();
    await daemon.close();
  }
}

/** Runs a daemon beside a crowd of some forms at one of its ports. */
async function expectWithinLimits(
  portName: 'admin' | 'callers',
  path: string,
  forms: readonly CrowdForm[],
): Promise<void> {
  await withDaemon(async daemon => {
    const crowded = {
      pid: daemon.pid,
      port: daemon.ports[portName],
      path,
      isRunning: () => daemon.endedBy() === undefined,
      isServing: () => isServing(daemon),
    };
    await expectCrowdBorne(crowded, forms, limits);
  });
}

describe('Process of a small daemon beside a crowd of callers', function () {
  this.timeout(testTimeoutMs);

  for (const {name, path} of ports) {
    for (const form of crowdForms) {
      // Guards against a process that is ended because callers take more
      // memory, their unread bytes included, than its machine has.
      it(`stays within its limits at the port for ${name}: ${form.name}`, async () => {
        await expectWithinLimits(name, path, [form]);
      });
    }

    it(`stays within its limits at the port for ${name}: all forms together`, async () => {
      await expectWithinLimits(name, path, mixedForms);
    });
  }
});
