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
