import {expect} from 'chai';
import {
  createResponseFlow,
  maxPiecesPerTurnCount,
} from '../../request/ResponseFlow.js';

/** Creates a flow whose turns are ended by the test. */
function createFlow() {
  const calls: string[] = [];
  let turns: (() => void)[] = [];
  const flow = createResponseFlow({
    pause: () => calls.push('pause'),
    resume: () => calls.push('resume'),
    afterTurn: run => turns.push(run),
  });
  return {
    ...flow,
    calls,
    receive: (count: number) => {
      for (let index = 0; index < count; index += 1) flow.pieceReceived();
    },
    endTurn: () => {
      const due = turns;
      turns = [];
      for (const run of due) run();
    },
  };
}

describe('ResponseFlow', () => {
  // Guards against a turn of the event loop that one upstream fills alone.
  it('pauses after many pieces until the next turn', () => {
    const flow = createFlow();
    flow.receive(maxPiecesPerTurnCount);
    expect(flow.calls).to.deep.equal(['pause']);
    flow.endTurn();
    expect(flow.calls).to.deep.equal(['pause', 'resume']);
  });

  it('does not pause for few pieces in each of many turns', () => {
    const flow = createFlow();
    for (let turn = 0; turn < 10; turn += 1) {
      flow.receive(maxPiecesPerTurnCount - 1);
      flow.endTurn();
    }
    expect(flow.calls).to.deep.equal([]);
  });

  it('resumes only when neither the turn nor the caller is waited for', () => {
    const flow = createFlow();
    flow.receive(maxPiecesPerTurnCount);
    flow.waitForDrain();
    flow.endTurn();
    expect(flow.calls).to.deep.equal(['pause']);
    flow.drained();
    expect(flow.calls).to.deep.equal(['pause', 'resume']);
  });

  it('leaves a closed exchange alone', () => {
    const flow = createFlow();
    flow.receive(maxPiecesPerTurnCount);
    flow.close();
    flow.endTurn();
    expect(flow.calls).to.deep.equal(['pause']);
  });
});
