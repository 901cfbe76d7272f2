import {createManualClock} from '@toucanrouter/common';
import {expect} from 'chai';
import {createRateLimitedLogWriter} from '../../RateLimitedLogWriter.js';

function createTestWriter(acceptsMore: () => boolean) {
  const clock = createManualClock();
  const written: string[] = [];
  const lines = createRateLimitedLogWriter({
    clock,
    maxLinesPerSecond: 3,
    write: text => {
      written.push(...text.trim().split('\n'));
      return acceptsMore();
    },
  });
  return {clock, lines, written};
}

describe('RateLimitedLogWriter', () => {
  it('drops lines beyond the rate limit and logs their number, so that the loss is visible', () => {
    const {clock, lines, written} = createTestWriter(() => true);
    for (let line = 0; line < 10; line++) lines.add(`line ${line}`, false);
    clock.advance(100);
    expect(written.slice(0, 3)).to.deep.equal(['line 0', 'line 1', 'line 2']);
    expect(JSON.parse(written[3] ?? '')).to.include({dropped: 7});
    lines.close();
  });

  it('keeps all warnings and errors of a burst, although they exceed the rate limit', () => {
    const {clock, lines, written} = createTestWriter(() => true);
    for (let line = 0; line < 10; line++) lines.add('warning', true);
    clock.advance(100);
    expect(written).to.have.length(10);
    lines.close();
  });

  it('writes nothing until the drain event, so that a stalled reader does not grow the stream buffer', () => {
    const {clock, lines, written} = createTestWriter(() => false);
    lines.add('first', true);
    clock.advance(100);
    lines.add('second', true);
    clock.advance(1_000);
    expect(written).to.deep.equal(['first']);
    lines.onDrain();
    clock.advance(100);
    expect(written).to.deep.equal(['first', 'second']);
    lines.close();
  });

  // Guards against a process that runs out of memory because callers send long
  // ids while the reader of the log is stalled.
  it('bounds the memory of lines that wait for a stalled reader', () => {
    const {clock, lines, written} = createTestWriter(() => false);
    lines.add('first', true);
    clock.advance(100);
    for (let line = 0; line < 1_000; line++)
      lines.add('x'.repeat(16_384), true);
    lines.onDrain();
    clock.advance(100);
    const chars = written.reduce((sum, text) => sum + text.length, 0);
    expect(chars).to.be.below(2 * 1024 * 1024);
    expect(JSON.parse(written.at(-1) ?? '')).to.have.property('dropped');
    lines.add('next', true);
    lines.onDrain();
    clock.advance(100);
    expect(written.at(-1)).to.equal('next');
    lines.close();
  });
});
