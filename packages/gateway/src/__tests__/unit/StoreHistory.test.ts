import {expect} from 'chai';
import {toStoreEra} from '../../state/StateStore.js';
import {createStoreHistory} from '../../state/StoreHistory.js';

function createObservedHistory() {
  const history = createStoreHistory();
  let begun = 0;
  const stopListening = history.onBegin(() => {
    begun += 1;
  });
  return {
    history,
    stopListening,
    observe: (era: number) => history.observe(toStoreEra(era)),
    begunCount: () => begun,
  };
}

describe('StoreHistory', () => {
  it('takes the first era as the known history', () => {
    const {begunCount, history, observe} = createObservedHistory();
    expect(observe(4)).to.equal('none');
    expect(history.era()).to.equal(4);
    expect(begunCount()).to.equal(0);
  });

  it('tells once that a new history has begun', () => {
    const {begunCount, observe} = createObservedHistory();
    observe(4);
    expect(observe(5)).to.equal('begun');
    expect(observe(5)).to.equal('none');
    expect(begunCount()).to.equal(1);
  });

  it('tells responses of an earlier history', () => {
    const {begunCount, history, observe} = createObservedHistory();
    observe(5);
    expect(observe(4)).to.equal('outdated');
    expect(history.era()).to.equal(5);
    expect(begunCount()).to.equal(0);
  });

  it('keeps the known era if a response shows none', () => {
    const {history, observe} = createObservedHistory();
    observe(5);
    expect(history.observe(undefined)).to.equal('none');
    expect(history.era()).to.equal(5);
  });

  it('stops telling a listener that has left', () => {
    const {begunCount, observe, stopListening} = createObservedHistory();
    observe(1);
    stopListening();
    observe(2);
    expect(begunCount()).to.equal(0);
  });
});
