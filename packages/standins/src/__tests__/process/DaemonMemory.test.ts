import {connect} from 'node:net';
import {expect} from 'chai';
import {
  findDaemonPorts,
  startDaemonProcess,
  waitUntil,
} from './DaemonFixtures.js';

const ready = '200 ready\n';
const memoryLimit = {limitBytes: 350_000_000, maxHeapMib: 120};
const bodyBytes = 4 * 1024 * 1024;
const maxWaitMs = 20_000;

/** Sends one chat call; returns the status of its response, or how it ended. */
function call(port: number, sent: Buffer): Promise<string> {
  return new Promise(resolve => {
    const socket = connect(port, '127.0.0.1');
    const finish = (result: string) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(result);
    };
    const timer = setTimeout(() => finish('no response'), maxWaitMs);
    let received = '';
    socket.write(
      `POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: ${bodyBytes}\r\n\r\n`,
    );
    socket.write(sent);
    socket.on('data', chunk => {
      received += String(chunk);
      if (received.includes('\r\n\r\n')) finish(received.slice(9, 12));
    });
    socket.on('error', error => finish(error.message));
    socket.on('close', () => finish('closed'));
  });
}

describe('daemon with a memory limit', () => {
  const cases = [
    {name: 'complete', callerCount: 150, sentBytes: bodyBytes},
    {name: 'unfinished', callerCount: 300, sentBytes: bodyBytes - 1},
  ];
  for (const {callerCount, name, sentBytes} of cases) {
    // Guards against a process that is ended because callers' bodies take more
    // memory than it may occupy.
    it(`stays below it under many large ${name} bodies and answers each`, async () => {
      const daemon = await startDaemonProcess(
        await findDaemonPorts(),
        true,
        memoryLimit,
      );
      try {
        await waitUntil(async () => (await daemon.readiness()) === ready);
        const sent = Buffer.alloc(sentBytes, ' ');
        const results = await Promise.all(
          Array.from({length: callerCount}, () =>
            call(daemon.ports.callers, sent),
          ),
        );
        for (const result of results) expect(result).to.match(/^(400|503)$/);
        expect(results).to.include('503');
        expect(daemon.peakResidentBytes()).to.be.below(memoryLimit.limitBytes);
        expect(daemon.endedBy()).to.equal(undefined);
      } finally {
        await daemon.close();
      }
    });
  }
});
