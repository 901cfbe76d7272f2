import {createManualClock} from '@toucanrouter/common';
import {expect} from 'chai';
import {createKeyValueState} from '../../store/KeyValueState.js';
import {createLeaseTable} from '../../store/LeaseTable.js';

function createService() {
  const clock = createManualClock();
  const state = createKeyValueState();
  const leases = createLeaseTable(state, clock);

  function put(key: string, value: string, leaseId = 0): number {
    state.commit(writer => writer.put(key, Buffer.from(value), leaseId));
    return state.revision();
  }

  return {
    clock,
    state,
    leases,
    put,
    valueOf: (key: string) => state.get(key)?.value.toString(),
  };
}

describe('key-value stand-in restored from a copy', () => {
  it('loses what was written since and gives its revisions out again', () => {
    const {put, state, valueOf} = createService();
    put('/a', 'copied');
    const copy = state.copy();
    const lostRevision = put('/a', 'lost');
    put('/b', 'lost');
    state.restore(copy);
    expect([valueOf('/a'), valueOf('/b')]).to.deep.equal(['copied', undefined]);
    expect(put('/c', 'other')).to.equal(lostRevision);
    expect(state.changesSince(lostRevision).flat()).to.have.length(1);
  });

  it('has another cluster id after each restore, and the same copy again', () => {
    const {put, state, valueOf} = createService();
    put('/a', 'copied');
    const copy = state.copy();
    const clusterIds = [state.clusterId()];
    for (let i = 0; i < 2; i++) {
      put('/a', 'lost');
      state.restore(copy);
      clusterIds.push(state.clusterId());
      expect(valueOf('/a')).to.equal('copied');
    }
    expect(new Set(clusterIds).size).to.equal(3);
  });

  it('has the leases of the copy, and gives lost lease ids out again', () => {
    const {clock, leases, put, state, valueOf} = createService();
    const copied = leases.grant(0, 10);
    put('/held', 'x', copied?.id);
    const copies = {state: state.copy(), leases: leases.copy()};
    const lost = leases.grant(0, 10);
    leases.restore(copies.leases);
    state.restore(copies.state);
    expect(leases.has(lost?.id ?? 0)).to.equal(false);
    expect(leases.grant(0, 60)?.id).to.equal(lost?.id);
    clock.advance(10_000);
    expect(valueOf('/held')).to.equal(undefined);
    leases.close();
  });
});
