import {
  createManualClock,
  toSoftwareVersion,
  toUpstreamId,
} from '@toucanrouter/common';
import {expect} from 'chai';
import {
  createUpstreamRegistry,
  lapsedEntryGraceMs,
} from '../../upstreams/UpstreamRegistry.js';
import {createEntry, idsOf, service} from './GatewayFixtures.js';

const leavingDelayMs = 2_000;

function createRegistry() {
  const clock = createManualClock(100_000);
  const removed: string[] = [];
  const registry = createUpstreamRegistry({
    clock,
    onAdded: () => undefined,
    onRemoved: ({id}) => removed.push(id),
    leavingDelayMs: () => leavingDelayMs,
  });
  registry.put(createEntry('one'));
  registry.put(createEntry('two'));
  return {
    clock,
    registry,
    removed,
    usable: () => idsOf(registry.usable(service)),
  };
}

const one = toUpstreamId('one');

describe('UpstreamRegistry', () => {
  it('excludes leaving and removed upstreams from new work', () => {
    const {registry, usable} = createRegistry();
    registry.put(createEntry('one', {leaving: true}));
    expect(usable()).to.deep.equal(['two']);
    registry.remove(toUpstreamId('two'));
    expect(usable()).to.deep.equal([]);
  });

  // Guards against new work for a process that has announced that it leaves.
  it('excludes a process that announced its leaving until a new one takes over', () => {
    const {registry, usable} = createRegistry();
    expect(registry.markLeaving(createEntry('one'))).to.equal(true);
    expect(registry.markLeaving(createEntry('one'))).to.equal(false);
    expect(usable()).to.deep.equal(['two']);
    registry.put(createEntry('one', {slots: 9}));
    registry.remove(one);
    registry.put(createEntry('one'));
    expect(usable()).to.deep.equal(['two']);
    registry.put(createEntry('one', {startedAtMs: 2}));
    expect(usable()).to.have.members(['one', 'two']);
  });

  // Guards against what is known of a process that is kept for other software.
  it('takes an entry with another software version for another process', () => {
    const {registry, usable} = createRegistry();
    registry.markLeaving(createEntry('one'));
    const changed = createEntry('one', {
      softwareVersion: toSoftwareVersion('v2'),
    });
    registry.put(changed);
    expect(usable()).to.have.members(['one', 'two']);
    expect(registry.entryOf(one)).to.equal(changed);
  });

  it('keeps entries that expire during an outage of the store for a grace period', () => {
    const {clock, registry, usable} = createRegistry();
    registry.storeLost();
    clock.advance(5_000);
    registry.storeRegained('outage');
    registry.remove(one);
    expect(usable()).to.deep.equal(['one', 'two']);
    clock.advance(lapsedEntryGraceMs);
    expect(usable()).to.deep.equal(['two']);
  });

  // Guards against requests to upstreams that left while the instance was cut off.
  it('removes entries at once after only this instance was cut off from the store', () => {
    const {clock, registry, usable} = createRegistry();
    registry.storeLost();
    clock.advance(5_000);
    registry.storeRegained('cut_off');
    registry.remove(one);
    expect(usable()).to.deep.equal(['two']);
  });

  it('keeps entries for less than the leaving delay if the reason of an absence is unknown', () => {
    const {clock, registry, usable} = createRegistry();
    registry.storeLost();
    clock.advance(5_000);
    registry.storeRegained('unknown');
    registry.remove(one);
    expect(usable()).to.deep.equal(['one', 'two']);
    clock.advance(leavingDelayMs - 1);
    expect(usable()).to.deep.equal(['two']);
  });

  it('cancels the grace period of an entry that returns', () => {
    const {clock, registry, usable} = createRegistry();
    registry.storeLost();
    registry.storeRegained('outage');
    registry.remove(one);
    registry.put(createEntry('one'));
    clock.advance(lapsedEntryGraceMs * 2);
    expect(usable()).to.deep.equal(['one', 'two']);
  });

  it('gives an entry that lapses twice a whole grace period each time', () => {
    // The timer of the first lapse evicted the entry during the second one.
    const {clock, registry, usable} = createRegistry();
    registry.storeLost();
    registry.storeRegained('outage');
    registry.remove(one);
    registry.put(createEntry('one'));
    clock.advance(lapsedEntryGraceMs - 300);
    registry.storeLost();
    registry.remove(one);
    clock.advance(1_000);
    expect(usable()).to.deep.equal(['one', 'two']);
    clock.advance(lapsedEntryGraceMs);
    expect(usable()).to.deep.equal(['two']);
  });

  // Guards against the loss of upstreams in the second of two drills: the timer of
  // the first one evicted them before they could write their entries again.
  it('keeps an entry for the grace period of a later absence', () => {
    const {clock, registry, usable} = createRegistry();
    registry.storeLost();
    registry.storeRegained('outage');
    registry.remove(one);
    clock.advance(lapsedEntryGraceMs - 300);
    registry.storeLost();
    registry.storeRegained('outage');
    clock.advance(lapsedEntryGraceMs - 300);
    expect(usable()).to.deep.equal(['one', 'two']);
    clock.advance(600);
    expect(usable()).to.deep.equal(['two']);
  });

  // Guards against the loss of upstreams while the store is away for the second
  // time: they could not write their entries again.
  it('keeps an entry during a later absence that goes on', () => {
    const {clock, registry, usable} = createRegistry();
    registry.storeLost();
    registry.storeRegained('outage');
    registry.remove(one);
    clock.advance(lapsedEntryGraceMs - 300);
    registry.storeLost();
    clock.advance(5_000);
    expect(usable()).to.deep.equal(['one', 'two']);
    registry.storeRegained('outage');
    clock.advance(lapsedEntryGraceMs - 300);
    expect(usable()).to.deep.equal(['one', 'two']);
    clock.advance(600);
    expect(usable()).to.deep.equal(['two']);
  });

  it('removes a leaving upstream at once, even during an outage', () => {
    const {registry, removed} = createRegistry();
    registry.storeLost();
    registry.put(createEntry('one', {leaving: true}));
    registry.remove(one);
    expect(removed).to.deep.equal(['one']);
  });

  it('reports the removal of an upstream that restarts under its id', () => {
    const {registry, removed, usable} = createRegistry();
    registry.put(createEntry('one', {startedAtMs: 2}));
    expect(removed).to.deep.equal(['one']);
    expect(usable()).to.deep.equal(['two', 'one']);
  });

  it('removes an upstream whose address belongs to another one', () => {
    const {registry, usable} = createRegistry();
    registry.addressReassigned(one);
    expect(usable()).to.deep.equal(['two']);
  });
});
