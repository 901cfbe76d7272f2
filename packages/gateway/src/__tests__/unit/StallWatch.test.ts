import {createManualClock} from '@toucanrouter/common';
import {expect} from 'chai';
import {createStallWatch} from '../../request/StallWatch.js';

function createWatch(mayAbandon = () => true) {
  const clock = createManualClock();
  const stalledAtMs: number[] = [];
  const watch = createStallWatch({
    clock,
    limits: {firstEventMs: 1_000, betweenEventsMs: 700},
    onStalled: () => {
      stalledAtMs.push(clock.nowMs());
      return mayAbandon();
    },
  });
  return {clock, stalledAtMs, watch};
}

describe('StallWatch', () => {
  it('reports a response without a first event', () => {
    const {clock, stalledAtMs} = createWatch();
    clock.advance(5_000);
    expect(stalledAtMs).to.deep.equal([1_000]);
  });

  it('reports a stream that stalls after some events', () => {
    const {clock, stalledAtMs, watch} = createWatch();
    clock.advance(900);
    watch.progress();
    clock.advance(50);
    watch.progress();
    clock.advance(5_000);
    expect(stalledAtMs).to.deep.equal([1_650]);
  });

  it('never reports a slow stream that keeps its pace', () => {
    // A slowed engine sends an event every 650 ms, then every 1.5 s.
    const {clock, stalledAtMs, watch} = createWatch();
    for (let index = 0; index < 20; index++) {
      clock.advance(650);
      watch.progress();
    }
    for (let index = 0; index < 20; index++) {
      clock.advance(1_500);
      watch.progress();
    }
    expect(stalledAtMs).to.deep.equal([]);
  });

  it('does not count time during which the caller accepts no data', () => {
    const {clock, stalledAtMs, watch} = createWatch();
    watch.progress();
    watch.pause();
    clock.advance(10_000);
    watch.resume();
    clock.advance(600);
    expect(watch.progress()).to.equal(undefined);
    clock.advance(40);
    expect(watch.progress()).to.equal(40);
    expect(stalledAtMs).to.deep.equal([]);
  });

  it('detects a stall after the caller accepts data again', () => {
    const {clock, stalledAtMs, watch} = createWatch();
    watch.progress();
    watch.pause();
    clock.advance(10_000);
    watch.resume();
    clock.advance(5_000);
    expect(stalledAtMs).to.deep.equal([10_700]);
  });

  it('asks again after each further limit until the attempt is abandoned', () => {
    let asked = 0;
    const {clock, stalledAtMs} = createWatch(() => ++asked === 3);
    clock.advance(10_000);
    expect(stalledAtMs).to.deep.equal([1_000, 2_000, 3_000]);
  });

  it('reports nothing after it is closed', () => {
    const {clock, stalledAtMs, watch} = createWatch();
    watch.close();
    clock.advance(10_000);
    expect(stalledAtMs).to.deep.equal([]);
  });
});
