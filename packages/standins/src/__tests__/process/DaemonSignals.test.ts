import {once} from 'node:events';
import {connect} from 'node:net';
import {performance} from 'node:perf_hooks';
import {expect} from 'chai';
import {
  findDaemonPorts,
  startDaemonProcess,
  stopGraceMs,
  waitUntil,
} from './DaemonFixtures.js';

const harmless: readonly NodeJS.Signals[] = [
  'SIGALRM',
  'SIGHUP',
  'SIGUSR1',
  'SIGUSR2',
  'SIGVTALRM',
];
const stopping: readonly NodeJS.Signals[] = ['SIGINT', 'SIGQUIT', 'SIGTERM'];
const ready = '200 ready\n';

describe('daemon that gets signals', () => {
  // Guards against a process that ends, or opens its debugger, by a signal.
  it('goes on and logs each', async () => {
    const daemon = await startDaemonProcess(await findDaemonPorts());
    try {
      await waitUntil(async () => (await daemon.readiness()) === ready);
      for (const signal of harmless) {
        daemon.signal(signal);
        await waitUntil(
          () =>
            daemon.endedBy() !== undefined ||
            daemon.output().includes(`"signal":"${signal}"`),
        );
        expect(daemon.endedBy(), signal).to.equal(undefined);
        expect(daemon.output()).to.include(`"signal":"${signal}"`);
      }
      expect(daemon.output()).not.to.include('Debugger listening');
      expect(await daemon.readiness()).to.equal(ready);
    } finally {
      await daemon.close();
    }
  });

  // Guards against a stop that waits for ever for a caller that sends nothing.
  it('ends within its grace period although a connection stays open', async () => {
    const daemon = await startDaemonProcess(await findDaemonPorts());
    try {
      await waitUntil(async () => (await daemon.readiness()) === ready);
      const socket = connect(daemon.ports.callers, '127.0.0.1');
      socket.on('error', () => undefined);
      await once(socket, 'connect');
      const startedAtMs = performance.now();
      daemon.signal('SIGTERM');
      await waitUntil(() => daemon.endedBy() !== undefined);
      socket.destroy();
      expect(daemon.endedBy()).to.equal(0);
      expect(performance.now() - startedAtMs).to.be.below(stopGraceMs);
    } finally {
      await daemon.close();
    }
  });

  for (const signal of stopping) {
    // Guards against a stop that counts as a failed process.
    it(`stops cleanly (${signal})`, async () => {
      const daemon = await startDaemonProcess(await findDaemonPorts());
      try {
        await waitUntil(async () => (await daemon.readiness()) === ready);
        daemon.signal(signal);
        await waitUntil(() => daemon.endedBy() !== undefined);
        expect(daemon.endedBy()).to.equal(0);
        expect(daemon.output()).to.include('instance has stopped');
      } finally {
        await daemon.close();
      }
    });
  }
});
