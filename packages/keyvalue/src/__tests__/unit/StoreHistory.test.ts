import type {NewStoreHistory} from '@toucanrouter/common';
import {expect} from 'chai';
import {createStoreHistory} from '../../StoreHistory.js';

function createRecordedHistory() {
  const history = createStoreHistory();
  const begun: NewStoreHistory[] = [];
  history.registerHandler(next => begun.push(next));
  return {history, begun};
}

describe('createStoreHistory', () => {
  // Guards against cursors that outlive the history they belong to.
  it('begins another history with another cluster id', () => {
    const {begun, history} = createRecordedHistory();
    const first = history.observe({clusterId: 7, revision: 90}, history.mark());
    const second = history.observe(
      {clusterId: 8, revision: 40},
      history.mark(),
    );
    expect(second).to.not.equal(first);
    expect(begun).to.deep.equal([
      {
        id: second,
        clusterId: 8,
        revision: 40,
        previousClusterId: 7,
        previousRevision: 90,
      },
    ]);
  });

  // Guards against a copy that was brought up under the same cluster id.
  it('begins another history when revisions go back', () => {
    const {begun, history} = createRecordedHistory();
    history.observe({clusterId: 7, revision: 90}, history.mark());
    history.observe({clusterId: 7, revision: 89}, history.mark());
    expect(begun).to.have.length(1);
    expect(history.status()).to.include({revision: 89, count: 2});
  });

  // Guards against histories that begin because responses overtake each other.
  it('stays in its history when responses overtake each other', () => {
    const {begun, history} = createRecordedHistory();
    history.observe({clusterId: 7, revision: 90}, history.mark());
    const earlier = history.mark();
    history.observe({clusterId: 7, revision: 95}, history.mark());
    history.observe({clusterId: 7, revision: 91}, earlier);
    const behind = history.markReplicaRead();
    history.observe({clusterId: 7, revision: 80}, behind);
    expect(begun).to.deep.equal([]);
    expect(history.status().revision).to.equal(95);
  });

  // Guards against a late response that takes the client back.
  it('attributes late responses to the history they were sent in', () => {
    const {begun, history} = createRecordedHistory();
    const first = history.observe({clusterId: 7, revision: 90}, history.mark());
    const late = history.mark();
    const second = history.observe(
      {clusterId: 8, revision: 40},
      history.mark(),
    );
    expect(history.observe({clusterId: 7, revision: 91}, late)).to.equal(first);
    expect(history.status().id).to.equal(second);
    expect(begun).to.have.length(1);
  });
});
