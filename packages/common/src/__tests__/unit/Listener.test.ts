import {once} from 'node:events';
import {connect, createServer} from 'node:net';
import {expect} from 'chai';
import {createManualClock, createSystemClock} from '../../Clock.js';
import type {ListenerOptions, ListenError} from '../../Listener.js';
import {
  createListener,
  createServerListener,
  isLastingListenError,
} from '../../Listener.js';

const host = '127.0.0.1';
const target = {host, port: 15_000};
/** Far longer than the delay between two attempts. */
const stepMs = 1_000;
const hourSteps = 3_600;
const acceptErrorCount = 3;

function listenError(code: string): ListenError {
  return Object.assign(new Error(`listen ${code}`), {code});
}

/** Creates a listener whose attempts fail with these codes and then succeed. */
function createFixture(codes: Iterable<string>) {
  const remaining = codes[Symbol.iterator]();
  const clock = createManualClock();
  const lines: string[] = [];
  let attempts = 0;
  const options: ListenerOptions = {
    clock,
    log: {
      info: (message, fields) => lines.push(`${message} ${fields['address']}`),
      warn: (message, fields) => lines.push(`${message} ${fields['code']}`),
    },
    purpose: 'callers',
    target,
    tryOpen: () => {
      attempts += 1;
      const {done, value} = remaining.next();
      if (done === true) return Promise.resolve(target.port);
      return Promise.reject(listenError(value));
    },
    undoOpen: () => undefined,
    isFinal: isLastingListenError,
  };
  return {
    listener: createListener(options),
    lines,
    attempts: () => attempts,
    /** Lets the pending attempt end before and after the time passes. */
    advance: async (steps: number) => {
      for (let step = 0; step < steps; step++) {
        await new Promise(resolve => setImmediate(resolve));
        clock.advance(stepMs);
      }
      await new Promise(resolve => setImmediate(resolve));
    },
  };
}

function* endless(code: string): Iterable<string> {
  for (;;) yield code;
}

describe('Listener', () => {
  // Guards against a start that gives up an address which becomes free.
  it('opens after errors that pass', async () => {
    const codes = ['EADDRINUSE', 'EADDRNOTAVAIL', 'EMFILE'];
    const {advance, lines, listener} = createFixture(codes);
    const outcome = listener.open();
    await advance(codes.length);
    expect((await outcome)._unsafeUnwrap()).to.equal(target.port);
    expect(lines).to.deep.equal([
      'listener cannot be opened EADDRINUSE',
      'listener opened 127.0.0.1:15000',
    ]);
  });

  // Guards against an instance that stays up without ever serving.
  it('ends with a message at an error that does not pass', async () => {
    const {attempts, listener} = createFixture(['EACCES']);
    const error = (await listener.open())._unsafeUnwrapErr();
    expect(error.message).to.equal(
      'cannot listen for callers on 127.0.0.1:15000: listen EACCES',
    );
    expect(attempts()).to.equal(1);
  });

  // Guards against a log that is full of attempts, or silent about them.
  it('logs an address that stays in use rarely', async () => {
    const {advance, attempts, lines, listener} = createFixture(
      endless('EADDRINUSE'),
    );
    void listener.open();
    await advance(hourSteps);
    expect(lines).to.have.length(hourSteps / 60 + 1);
    expect(attempts()).to.be.greaterThan(hourSteps);
    listener.close();
  });

  // Guards against a stop that waits for an address, and attempts after it.
  it('ends its attempts when it is closed', async () => {
    const {advance, attempts, listener} = createFixture(endless('EADDRINUSE'));
    const outcome = listener.open();
    await advance(1);
    listener.close();
    const {kind} = (await outcome)._unsafeUnwrapErr();
    const attemptsBefore = attempts();
    await advance(2);
    expect(kind).to.equal('shutting_down');
    expect(attempts()).to.equal(attemptsBefore);
  });

  // Guards against a process that a failed accept ends or makes useless.
  it('stays open when the server reports errors', async () => {
    const server = createServer(socket => socket.end('served'));
    const listener = createServerListener({
      clock: createSystemClock(),
      log: {info: () => undefined, warn: () => undefined},
      purpose: 'callers',
      server,
      target: {host, port: 0},
      isFinal: isLastingListenError,
    });
    const port = (await listener.open())._unsafeUnwrap();
    for (let count = 0; count < acceptErrorCount; count++) {
      server.emit('error', listenError('EMFILE'));
    }
    const socket = connect(port, host);
    const [data] = (await once(socket, 'data')) as [Buffer];
    listener.close();
    expect(String(data)).to.equal('served');
    expect(server.listening).to.equal(false);
  });
});
