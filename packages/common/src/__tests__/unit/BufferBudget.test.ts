import {expect} from 'chai';
import fc from 'fast-check';
import {createBufferBudget, createManualClock} from '../../index.js';

const maxBytes = 1_000;

describe('createBufferBudget', () => {
  // Guards against responses that fit their own limits and exhaust the memory
  // together.
  it('never uses more than its limit, whatever responses grow or end', () => {
    const step = fc.record({
      index: fc.nat(9),
      bytes: fc.nat(2 * maxBytes),
      ends: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(step), steps => {
        const budget = createBufferBudget(maxBytes);
        const bytesByIndex = new Map<number, number>();
        const shares = Array.from({length: 10}, (_, index) =>
          budget.open(() => bytesByIndex.delete(index)),
        );
        shares.forEach((_, index) => bytesByIndex.set(index, 0));
        for (const {bytes, ends, index} of steps) {
          if (!bytesByIndex.has(index)) continue;
          bytesByIndex.set(index, bytes);
          shares[index]?.resize(bytes);
          if (ends) {
            shares[index]?.close();
            bytesByIndex.delete(index);
          }
          const used = [...bytesByIndex.values()].reduce((a, b) => a + b, 0);
          expect(budget.usedBytes()).to.equal(used);
          expect(used).to.be.at.most(maxBytes);
        }
      }),
    );
  });

  // Guards against callers that do not read and take the memory from others.
  it('gives up a complete response first only if its caller reads too slowly', () => {
    const clock = createManualClock();
    const budget = createBufferBudget(maxBytes, clock.nowMs);
    const givenUp: string[] = [];
    const open = (name: string) => budget.open(() => givenUp.push(name));
    const unread = open('unread');
    unread.sending();
    unread.resize(600);
    clock.advance(2_500);
    const sent = open('sent');
    sent.sending();
    sent.resize(300);
    const arriving = open('arriving');
    arriving.resize(200);
    expect(givenUp).to.deep.equal(['unread']);
    arriving.resize(800);
    expect(givenUp).to.deep.equal(['unread', 'arriving']);
    expect(budget.usedBytes()).to.equal(300);
  });

  it('gives up the largest response and keeps the others', () => {
    const budget = createBufferBudget(maxBytes);
    const givenUp: string[] = [];
    const endless = budget.open(() => givenUp.push('endless'));
    const small = budget.open(() => givenUp.push('small'));
    endless.resize(700);
    small.resize(200);
    small.resize(400);
    expect(givenUp).to.deep.equal(['endless']);
    expect(budget.usedBytes()).to.equal(400);
    endless.resize(5_000);
    expect(budget.usedBytes()).to.equal(400);
  });
});
