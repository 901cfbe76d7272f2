import {expect} from 'chai';
import fc from 'fast-check';
import type {MemoryReservation} from '../../index.js';
import {
  createManualClock,
  createMemoryBudget,
  defaultMemoryLimitBytes,
  planMemory,
  usableBytes,
} from '../../index.js';

const maxBytes = 1_000_000;

function createBudget(freeResidentBytes?: () => number) {
  const clock = createManualClock();
  const budget = createMemoryBudget({clock, maxBytes, freeResidentBytes});
  const givenUp: string[] = [];
  const reserve = (
    name: string,
    tier: number,
    bytes: number,
    canGiveUp = () => true,
  ) =>
    budget.tryReserve({
      tier,
      bytes,
      canGiveUp,
      onGivenUp: () => givenUp.push(name),
    });
  return {clock, budget, givenUp, reserve};
}

describe('createMemoryBudget', () => {
  // Guards against bodies that fit their own limits and exhaust the memory
  // together, and against memory that counts as used after its request ended.
  it('never uses more than its limit, and is empty once all are closed', () => {
    const step = fc.record({
      index: fc.nat(9),
      tier: fc.nat(3),
      bytes: fc.nat(maxBytes + 1),
      passedMs: fc.nat(3_000),
      action: fc.constantFrom('close', 'complete', 'fill', 'resize', 'send'),
    });
    fc.assert(
      fc.property(fc.array(step), steps => {
        const {budget, clock} = createBudget();
        const held = new Map<number, MemoryReservation>();
        const sizes = new Map<number, number>();
        const sent = new Set<number>();
        for (const {action, bytes, index, passedMs, tier} of steps) {
          clock.advance(passedMs);
          const reservation = held.get(index);
          if (reservation === undefined) {
            sent.delete(index);
            const added = budget.tryReserve({
              tier,
              bytes,
              canGiveUp: () => !sent.has(index),
              onGivenUp: () => {
                expect(sent.has(index)).to.equal(false);
                held.delete(index);
                sizes.delete(index);
              },
            });
            if (added === undefined) continue;
            held.set(index, added);
            sizes.set(index, bytes);
          } else if (action === 'close') {
            reservation.close();
            reservation.close();
            held.delete(index);
            sizes.delete(index);
          } else if (action === 'resize') {
            if (reservation.tryResize(bytes)) sizes.set(index, bytes);
          } else if (action === 'fill') reservation.filled(bytes);
          else if (action === 'complete') reservation.complete();
          else sent.add(index);
          budget.giveUpStalled();
          const used = [...sizes.values()].reduce((sum, size) => sum + size, 0);
          expect(budget.status().usedBytes).to.equal(used);
          expect(used).to.be.at.most(maxBytes);
        }
        for (const reservation of held.values()) reservation.close();
        expect(budget.status().usedBytes).to.equal(0);
      }),
    );
  });

  // Guards against urgent requests that are refused as early as others.
  it('refuses the least urgent tier first', () => {
    const {reserve} = createBudget();
    const used = usableBytes(maxBytes, 2);
    expect(reserve('first', 0, used, () => false)).to.not.equal(undefined);
    expect(reserve('late', 2, 1_000)).to.equal(undefined);
    expect(reserve('urgent', 0, maxBytes - used)).to.not.equal(undefined);
  });

  it('gives up the least urgent for a more urgent one, and no equal one', () => {
    const {givenUp, reserve} = createBudget();
    reserve('middle', 1, 300_000);
    reserve('last', 3, 200_000);
    reserve('first', 0, 500_000);
    expect(givenUp).to.deep.equal([]);
    expect(reserve('equal', 3, 100_000)).to.equal(undefined);
    expect(givenUp).to.deep.equal([]);
    expect(reserve('urgent', 0, 150_000)).to.not.equal(undefined);
    expect(givenUp).to.deep.equal(['last']);
  });

  // Guards against a false claim that a request was not run.
  it('keeps a request that an upstream may have received', () => {
    const {givenUp, reserve} = createBudget();
    reserve('sent', 3, maxBytes, () => false);
    expect(reserve('urgent', 0, 1_000)).to.equal(undefined);
    expect(givenUp).to.deep.equal([]);
  });

  it('gives up nothing if that would not make room', () => {
    const {givenUp, reserve} = createBudget();
    reserve('sent', 0, 900_000, () => false);
    reserve('late', 3, 100);
    expect(reserve('urgent', 0, 200_000)).to.equal(undefined);
    expect(givenUp).to.deep.equal([]);
  });

  // Guards against callers that never finish their bodies and hold the memory.
  it('gives up a stalled body for any other, and after a while by itself', () => {
    const {budget, clock, givenUp, reserve} = createBudget();
    reserve('stalled', 0, maxBytes)?.filled(900_000);
    clock.advance(900);
    expect(reserve('late', 3, 1_000)).to.equal(undefined);
    clock.advance(200);
    const late = reserve('late', 3, 1_000);
    expect(late).to.not.equal(undefined);
    expect(givenUp).to.deep.equal(['stalled']);
    clock.advance(5_000);
    budget.giveUpStalled();
    expect(givenUp).to.deep.equal(['stalled', 'late']);
    expect(budget.status()).to.include({usedBytes: 0, givenUpCount: 2});
  });

  it('counts a body that trickles in as stalled, and a complete one never', () => {
    const {budget, clock, givenUp, reserve} = createBudget();
    const trickling = reserve('trickling', 0, 500_000);
    const complete = reserve('complete', 0, 400_000);
    complete?.filled(400_000);
    complete?.complete();
    for (let second = 1; second <= 20; second += 1) {
      clock.advance(900);
      trickling?.filled(second * 100);
    }
    budget.giveUpStalled();
    expect(givenUp).to.deep.equal([]);
    expect(reserve('next', 0, 200_000)).to.not.equal(undefined);
    expect(givenUp).to.deep.equal(['trickling']);
  });

  // Guards against an account that misses memory which others hold.
  it('refuses larger sizes when the process has no memory left', () => {
    const {budget, reserve} = createBudget(() => 250_000);
    const first = reserve('first', 0, 200_000);
    expect(reserve('second', 0, 100_000)).to.equal(undefined);
    // What is filled counts as occupied by the process.
    first?.filled(200_000);
    expect(reserve('second', 0, 100_000)).to.not.equal(undefined);
    expect(reserve('small', 0, 1_000)).to.not.equal(undefined);
    expect(budget.status().refusedCount).to.equal(1);
  });

  it('lets a single request use all of a budget', () => {
    const {reserve} = createBudget();
    expect(reserve('only', 4, maxBytes)).to.not.equal(undefined);
  });
});

describe('planMemory', () => {
  it('leaves room for the runtime whatever its heap may grow to', () => {
    const size = fc.integer({min: 1, max: 4_000_000_000});
    fc.assert(
      fc.property(size, size, (limitBytes, maxHeapBytes) => {
        const plan = planMemory(limitBytes, maxHeapBytes);
        const dataBytes = plan.requestBodyBytes + plan.responseBytes;
        expect(dataBytes).to.be.at.most(limitBytes);
        expect(plan.maxResidentBytes).to.be.at.most(limitBytes);
        if (maxHeapBytes < limitBytes * 0.8)
          expect(dataBytes + maxHeapBytes).to.be.at.most(limitBytes);
      }),
    );
  });

  it('takes the memory of a small machine as the default limit', () => {
    expect(defaultMemoryLimitBytes(200_000_000)).to.equal(200_000_000);
    expect(defaultMemoryLimitBytes(64_000_000_000)).to.be.below(1_000_000_000);
  });
});
