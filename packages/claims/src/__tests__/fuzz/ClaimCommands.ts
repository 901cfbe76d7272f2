/**
 * Commands of the claim fuzz test, for fast-check's model runner. The oracle of
 * the simulation takes the place of the model.
 */
import type {PendingCall} from '@toucanrouter/standins';
import fc from 'fast-check';
import type {Call, ClaimSimulation} from './ClaimSimulation.js';
import {flushPromises} from './ClaimSimulation.js';

type Command = fc.AsyncCommand<object, ClaimSimulation>;

function pickFrom<T>(items: readonly T[], pick: number): T | undefined {
  return items[pick % Math.max(items.length, 1)];
}

function createCommand(
  name: string,
  action: (simulation: ClaimSimulation) => void,
): Command {
  return {
    check: () => true,
    run: async (_model, simulation) => {
      action(simulation);
      await flushPromises();
      simulation.oracle.check();
    },
    toString: () => name,
  };
}

/** Builds commands from an action, a random pick and a random writer. */
function arbitraryCommand(
  name: string,
  action: (simulation: ClaimSimulation, pick: number, writer: number) => void,
): fc.Arbitrary<Command> {
  return fc
    .tuple(fc.nat(30), fc.nat(2))
    .map(([pick, writer]) =>
      createCommand(`${name}(${pick},${writer})`, simulation =>
        action(simulation, pick, writer),
      ),
    );
}

function pickCallInState(
  simulation: ClaimSimulation,
  state: Call['state'],
  pick: number,
) {
  return pickFrom(
    simulation.calls.filter(call => call.state === state),
    pick,
  );
}

function deliverableIndexes(simulation: ClaimSimulation): number[] {
  const paused = new Set(
    simulation.writers.filter(w => w.paused).map(w => w.name),
  );
  return simulation.messages.flatMap((message, i) =>
    paused.has(message.to) ? [] : [i],
  );
}

function deliverMessage(
  simulation: ClaimSimulation,
  pick: number,
  keep: boolean,
): void {
  const index = pickFrom(deliverableIndexes(simulation), pick);
  if (index === undefined) return;
  const message = simulation.messages[index];
  if (!keep) simulation.messages.splice(index, 1);
  message?.deliver();
}

function platformCallCommand(
  name: string,
  action: (call: PendingCall) => void,
) {
  return arbitraryCommand(name, (simulation, pick) => {
    const call = pickFrom(simulation.pendingCalls(), pick);
    if (call !== undefined) action(call);
  });
}

const start = arbitraryCommand('start', (simulation, pick, writer) => {
  const key = `k${pick % 4}`;
  simulation.startCall(key, pick % 13 === 0 ? 'other' : 'hash', writer);
});

const deliver = arbitraryCommand('deliver', (simulation, pick) =>
  deliverMessage(simulation, pick, false),
);

const drop = arbitraryCommand('drop', (simulation, pick) => {
  const index = pickFrom(deliverableIndexes(simulation), pick);
  if (index === undefined || pick % 4 !== 0) return;
  if (simulation.messages[index]?.mayBeLost())
    simulation.messages.splice(index, 1);
});

const answer = platformCallCommand('answer', call => call.respond());

const answerAll = arbitraryCommand('answerAll', simulation => {
  for (const call of simulation.pendingCalls()) call.respond();
});

const loseAnswer = platformCallCommand('loseAnswer', call => {
  call.execute();
  call.timeOut();
});

const finish = arbitraryCommand('finish', (simulation, pick, writer) => {
  const call = pickCallInState(simulation, 'running', pick);
  const how = (['completed', 'completed', 'unknown', 'large'] as const)[
    pick % 4
  ];
  if (call && how) simulation.endCall(call, how, writer);
});

const finishAgain = arbitraryCommand(
  'finishAgain',
  (simulation, pick, writer) => {
    const ended = simulation.calls.filter(
      call => call.state === 'done' && call.ran,
    );
    const call = pickFrom(ended, pick);
    if (call) simulation.endCallAgain(call, writer);
  },
);

const giveUp = arbitraryCommand('giveUp', (simulation, pick, writer) => {
  const call = pickCallInState(simulation, 'waiting', pick);
  if (call) simulation.abandonCall(call, writer);
});

const resend = arbitraryCommand('resend', (simulation, pick, writer) => {
  const call = pickFrom(simulation.calls, pick);
  if (call) simulation.sendClaim(call, writer);
});

/** Crashes the owner of a call: it never ends its claim. */
const kill = arbitraryCommand('kill', (simulation, pick) => {
  const call = pickCallInState(simulation, 'running', pick);
  if (call && pick % 3 === 0) call.state = 'dead';
});

const advance = arbitraryCommand('advance', (simulation, pick) =>
  simulation.clock.advance(pick % 11 === 0 ? 5000 : 30 * (pick % 10)),
);

const expire = arbitraryCommand('expire', (simulation, pick) => {
  if (pick % 3 === 0) simulation.clock.advance(30_000);
});

/** All commands. Those that make progress appear more often. */
export const claimCommandArbitraries: fc.Arbitrary<Command>[] = [
  start,
  start,
  deliver,
  deliver,
  deliver,
  deliver,
  arbitraryCommand('duplicate', (simulation, pick) =>
    deliverMessage(simulation, pick, true),
  ),
  drop,
  answer,
  answer,
  answerAll,
  answerAll,
  platformCallCommand('execute', call => call.execute()),
  platformCallCommand('timeOut', call => call.timeOut()),
  loseAnswer,
  platformCallCommand('refuse', call => call.refuse()),
  finish,
  finishAgain,
  giveUp,
  resend,
  kill,
  arbitraryCommand('pause', (simulation, _pick, writer) =>
    simulation.setPaused(writer, true),
  ),
  arbitraryCommand('resume', (simulation, _pick, writer) =>
    simulation.setPaused(writer, false),
  ),
  arbitraryCommand('resume', (simulation, _pick, writer) =>
    simulation.setPaused(writer, false),
  ),
  advance,
  advance,
  expire,
];
