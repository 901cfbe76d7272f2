import {expect} from 'chai';
import {createManualClock} from '../../Clock.js';
import type {ConnectionPlace} from '../../ConnectionBudget.js';
import {createConnectionBudget} from '../../ConnectionBudget.js';
import {
  descriptorLimit,
  parseDescriptorLimit,
  planDescriptors,
} from '../../DescriptorPlan.js';

const maxCount = 4;
const waitMs = 2_000;

function createFixture() {
  const clock = createManualClock();
  const budget = createConnectionBudget({clock, maxCount});
  const displaced: string[] = [];
  const bytesByName = new Map<string, number>();
  function open(
    name: string,
    waitsForCaller = true,
  ): ConnectionPlace | undefined {
    return budget.tryOpen({
      transferredBytes: () => bytesByName.get(name) ?? 0,
      waitsForCaller: () => waitsForCaller,
      onDisplaced: () => displaced.push(name),
    });
  }
  return {budget, bytesByName, clock, displaced, open};
}

describe('ConnectionBudget', () => {
  // Guards against callers whose connections are closed for the sake of those
  // that hold a place and send nothing.
  it('displaces what made least progress, and what is served last of all', () => {
    const {budget, clock, displaced, open} = createFixture();
    open('served', false)?.requestOpened();
    open('stalled')?.requestOpened();
    const idle = open('idle');
    idle?.requestOpened();
    idle?.idle();
    open('silent');
    clock.advance(waitMs);
    for (let index = 0; index < 3; index += 1) {
      open(`next-${index}`, false)?.requestOpened();
    }
    expect(displaced).to.deep.equal(['silent', 'idle', 'stalled']);
    expect(open('late')).to.equal(undefined);
    expect(budget.status()).to.deep.equal({
      openCount: maxCount,
      maxCount,
      refusedCount: 1,
      displacedCount: 3,
    });
  });

  // Guards against slow callers who lose their connection although they send.
  it('keeps connections whose bytes go on', () => {
    const {bytesByName, clock, displaced, open} = createFixture();
    for (const name of ['a', 'b', 'c', 'd']) open(name)?.requestOpened();
    for (let bytes = 1; bytes <= 10; bytes += 1) {
      for (const name of ['a', 'b', 'd']) bytesByName.set(name, bytes);
      clock.advance(waitMs);
      open(`next-${bytes}`)?.close();
    }
    expect(displaced).to.deep.equal(['c']);
  });

  // Guards against places that closed connections keep.
  it('frees the places of closed connections', () => {
    const {budget, open} = createFixture();
    const place = open('a');
    place?.requestOpened();
    place?.close();
    place?.idle();
    expect(budget.status().openCount).to.equal(0);
  });
});

describe('planDescriptors', () => {
  // Guards against connections that use up what engines and files need, or the
  // memory of the process.
  it('leaves a reserve, whatever the limits are', () => {
    for (const limitCount of [64, 400, 2_212, 1_000_000]) {
      for (const memoryLimitBytes of [210_000_000, 350_000_000]) {
        const plan = planDescriptors(limitCount, memoryLimitBytes);
        const {callerCount, statusCount} = plan;
        expect(callerCount + 2 * statusCount).to.be.below(limitCount * 0.7);
        expect(callerCount * 16_384).to.be.at.most(memoryLimitBytes * 0.1);
        expect(statusCount).to.be.at.least(1);
      }
    }
    expect(planDescriptors(2_212, 210_000_000).callerCount).to.equal(1_006);
  });

  // Guards against connections whose bytes the system has received, and which
  // wait to be accepted, beyond the memory of the machine.
  it('bounds the connections that hold unread bytes by the memory', () => {
    for (const memoryLimitBytes of [130_000_000, 870_000_000]) {
      const plan = planDescriptors(4_100, memoryLimitBytes);
      const unreadCount =
        plan.waitingCallerCount +
        3 * plan.waitingCount +
        plan.lingeringCallerCount;
      expect(unreadCount * 128 * 1024).to.be.below(memoryLimitBytes * 0.15);
      expect(plan.waitingCallerCount).to.be.above(40);
    }
  });

  it('reads the limit of the process', () => {
    const row =
      'Max open files            2212                 4096     files\n';
    expect(parseDescriptorLimit(`Limit\n${row}`)).to.equal(2_212);
    expect(parseDescriptorLimit('')).to.equal(undefined);
  });
});

describe('descriptorLimit', () => {
  // Guards against a platform that shows the limit of files, from which only a
  // few places would be left for callers.
  it('takes the setting whatever the system shows', () => {
    expect(descriptorLimit(1_000_000_000)).to.equal(1_000_000_000);
    expect(descriptorLimit()).to.be.above(0);
  });
});
