import {createManualClock} from '@toucanrouter/common';
import {expect} from 'chai';
import {reportIntervalMs} from '../../peers/LoadReports.js';
import {createReportSchedule} from '../../peers/ReportSchedule.js';

const peerCount = 40;
const intervalMs = reportIntervalMs(peerCount);

function createStartedSchedule() {
  const clock = createManualClock();
  const sentAtMs: number[] = [];
  const schedule = createReportSchedule({
    clock,
    peerCount: () => peerCount,
    send: () => sentAtMs.push(clock.nowMs()),
  });
  schedule.start();
  return {clock, schedule, sentAtMs};
}

describe('ReportSchedule', () => {
  it('sends reports at the regular interval', () => {
    const {clock, sentAtMs} = createStartedSchedule();
    clock.advance(intervalMs * 3);
    expect(sentAtMs).to.deep.equal([1, 2, 3].map(n => n * intervalMs));
  });

  it('reports a long prompt before the next regular report', () => {
    // Load: several instances send long prompts to one engine in an interval.
    const {clock, schedule, sentAtMs} = createStartedSchedule();
    clock.advance(intervalMs + intervalMs / 2);
    schedule.reportSoon();
    clock.advance(20);
    expect(sentAtMs).to.have.length(2);
  });

  it('bounds the reports of a burst to four in a regular interval', () => {
    const {clock, schedule, sentAtMs} = createStartedSchedule();
    for (let atMs = 0; atMs < intervalMs * 10; atMs += 2) {
      schedule.reportSoon();
      clock.advance(2);
    }
    expect(sentAtMs.length).to.be.within(30, 41);
  });

  it('sends nothing after it is closed', () => {
    const {clock, schedule, sentAtMs} = createStartedSchedule();
    schedule.reportSoon();
    schedule.close();
    schedule.reportSoon();
    clock.advance(intervalMs * 3);
    expect(sentAtMs).to.deep.equal([]);
  });
});
