import {createManualClock} from '@toucanrouter/common';
import {expect} from 'chai';
import type {LogFields} from '../../Logger.js';
import {createUncaughtErrorLog} from '../../UncaughtErrorLog.js';

function createFixture() {
  const clock = createManualClock();
  const logged: LogFields[] = [];
  const onError = createUncaughtErrorLog(clock, {
    error: (_, fields = {}) => logged.push(fields),
  });
  return {clock, logged, onError};
}

describe('UncaughtErrorLog', () => {
  // Guards against a fault that repeats and spends the processor on its log.
  it('logs one error an interval, with their number', () => {
    const {clock, logged, onError} = createFixture();
    for (let index = 0; index < 500; index++) onError(new Error('again'));
    clock.advance(1_000);
    onError(new Error('later'));
    expect(logged.map(({count}) => count)).to.deep.equal([1, 501]);
    expect(String(logged[1]?.['error'])).to.include('Error: later');
  });

  // Guards against a process that ends because a value that is no error is thrown.
  it('accepts any value', () => {
    for (const value of [undefined, null, 'text', 7, Object.create(null)]) {
      const {logged, onError} = createFixture();
      onError(value);
      expect(logged).to.have.length(1);
    }
  });

  // Guards against a fault of the log that ends the process.
  it('never throws', () => {
    const onError = createUncaughtErrorLog(createManualClock(), {
      error: () => {
        throw new Error('no log');
      },
    });
    expect(() => onError(new Error('first'))).not.to.throw();
  });
});
