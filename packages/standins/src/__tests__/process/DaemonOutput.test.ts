import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {
  findDaemonPorts,
  startDaemonProcess,
  waitUntil,
} from './DaemonFixtures.js';

const ready = '200 ready\n';
const lineCount = 5;
const survivalMs = 300;

describe('daemon whose log has no reader', () => {
  // Guards against a process that ends with the reader of its log.
  it('goes on', async () => {
    const daemon = await startDaemonProcess(await findDaemonPorts());
    try {
      await waitUntil(async () => (await daemon.readiness()) === ready);
      daemon.closeOutput();
      for (let line = 0; line < lineCount; line++) {
        // Each reload is logged.
        daemon.signal('SIGHUP');
        await sleep(survivalMs);
      }
      expect(daemon.endedBy()).to.equal(undefined);
      expect(await daemon.readiness()).to.equal(ready);
    } finally {
      await daemon.close();
    }
  });
});
