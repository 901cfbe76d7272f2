import {expect} from 'chai';
import type {DaemonSettingsPorts} from './DaemonFixtures.js';
import {
  findDaemonPorts,
  releasePort,
  startDaemonProcess,
  takePort,
  waitUntil,
} from './DaemonFixtures.js';

const purposes: readonly (keyof DaemonSettingsPorts)[] = [
  'callers',
  'admin',
  'peers',
];
const ready = '200 ready\n';

describe('daemon whose port is taken', () => {
  for (const purpose of purposes) {
    // Guards against a process that ends by itself at the start.
    it(`becomes ready once the port is free (${purpose})`, async () => {
      const ports = await findDaemonPorts();
      const holder = await takePort(ports[purpose]);
      const daemon = await startDaemonProcess(ports);
      try {
        await waitUntil(() => daemon.output().includes('EADDRINUSE'));
        const readinessWhileTaken = await daemon.readiness();
        await releasePort(holder);
        await waitUntil(
          async () =>
            daemon.endedBy() !== undefined ||
            (await daemon.readiness()) === ready,
        );
        expect(daemon.endedBy()).to.equal(undefined);
        expect(readinessWhileTaken).not.to.equal(ready);
        expect(await daemon.readiness()).to.equal(ready);
      } finally {
        await daemon.close();
      }
    });

    // Guards against a stop during the attempts that waits or fails.
    it(`ends with exit code 0 when it is stopped before (${purpose})`, async () => {
      const ports = await findDaemonPorts();
      const holder = await takePort(ports[purpose]);
      const daemon = await startDaemonProcess(ports);
      try {
        await waitUntil(() => daemon.output().includes('EADDRINUSE'));
        daemon.signal('SIGTERM');
        await waitUntil(() => daemon.endedBy() !== undefined);
        expect(daemon.endedBy()).to.equal(0);
      } finally {
        await daemon.close();
        await releasePort(holder);
      }
    });
  }
});

describe('daemon whose port for operators is taken', () => {
  // Guards against callers who are not served because operators cannot be.
  it('serves callers', async () => {
    const ports = await findDaemonPorts();
    const holder = await takePort(ports.admin);
    const daemon = await startDaemonProcess(ports);
    try {
      await waitUntil(() => daemon.output().includes('EADDRINUSE'));
      const url = `http://127.0.0.1:${ports.callers}/services/s/x`;
      let status: number | undefined;
      await waitUntil(async () => {
        status = await fetch(url).then(
          response => response.status,
          () => undefined,
        );
        return status !== undefined;
      });
      // The call has no key, so this is the answer of a daemon that serves.
      expect(status).to.equal(401);
      daemon.signal('SIGTERM');
      await waitUntil(() => daemon.endedBy() !== undefined);
      expect(daemon.endedBy()).to.equal(0);
    } finally {
      await daemon.close();
      await releasePort(holder);
    }
  });
});

describe('daemon without a platform', () => {
  // Guards against a process that only SIGKILL can end.
  it('ends with exit code 0 when it is stopped', async () => {
    const daemon = await startDaemonProcess(await findDaemonPorts(), false);
    try {
      await waitUntil(async () => (await daemon.readiness()) !== undefined);
      daemon.signal('SIGTERM');
      await waitUntil(() => daemon.endedBy() !== undefined);
      expect(daemon.endedBy()).to.equal(0);
    } finally {
      await daemon.close();
    }
  });
});
