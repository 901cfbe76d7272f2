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

describe('BoundedLines', () => {
  it('drops lines over its rate, and tells how many', () => {
    const {clock, lines, written} = createTestWriter(() => true);
    for (let line = 0; line < 10; line++) lines.add(`line ${line}`, false);
    clock.advance(100);
    expect(written.slice(0, 3)).to.deep.equal(['line 0', 'line 1', 'line 2']);
    expect(JSON.parse(written[3] ?? '')).to.include({dropped: 7});
    lines.close();
  });

  it('lets warnings and errors pass its rate', () => {
    const {clock, lines, written} = createTestWriter(() => true);
    for (let line = 0; line < 10; line++) lines.add('warning', true);
    clock.advance(100);
    expect(written).to.have.length(10);
    lines.close();
  });

  it('never writes while the reader does not read', () => {
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
});
