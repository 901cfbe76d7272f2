/**
 * Commands of the claim fuzzing, for fast-check's model runner. The oracle
 * inside the world is the model.
 */
import type {PendingCall} from '@toucanrouter/standins';
import fc from 'fast-check';
import type {Call, ClaimWorld} from './ClaimWorld.js';
import {settle} from './ClaimWorld.js';

type Command = fc.AsyncCommand<object, ClaimWorld>;

function pickFrom<T>(items: readonly T[], pick: number): T | undefined {
  return items[pick % Math.max(items.length, 1)];
}

function command(name: string, act: (world: ClaimWorld) => void): Command {
  return {
    check: () => true,
    run: async (_model, world) => {
      act(world);
      await settle();
      world.oracle.check();
    },
    toString: () => name,
  };
}

/** Builds commands from two random numbers and an action on the world. */
function commands(
  name: string,
  act: (world: ClaimWorld, pick: number, writer: number) => void,
): fc.Arbitrary<Command> {
  return fc
    .tuple(fc.nat(30), fc.nat(2))
    .map(([pick, writer]) =>
      command(`${name}(${pick},${writer})`, world => act(world, pick, writer)),
    );
}

function callIn(world: ClaimWorld, state: Call['state'], pick: number) {
  return pickFrom(
    world.calls.filter(call => call.state === state),
    pick,
  );
}

function deliverable(world: ClaimWorld): number[] {
  const paused = new Set(world.writers.filter(w => w.paused).map(w => w.name));
  return world.messages.flatMap((message, i) =>
    paused.has(message.to) ? [] : [i],
  );
}

function takeMessage(world: ClaimWorld, pick: number, keep: boolean): void {
  const index = pickFrom(deliverable(world), pick);
  if (index === undefined) return;
  const message = world.messages[index];
  if (!keep) world.messages.splice(index, 1);
  message?.deliver();
}

function onCall(name: string, act: (call: PendingCall) => void) {
  return commands(name, (world, pick) => {
    const call = pickFrom(world.answerable(), pick);
    if (call !== undefined) act(call);
  });
}

const start = commands('start', (world, pick, writer) => {
  const key = `k${pick % 4}`;
  world.startCall(key, pick % 13 === 0 ? 'other' : 'hash', writer);
});

const deliver = commands('deliver', (world, pick) =>
  takeMessage(world, pick, false),
);

const drop = commands('drop', (world, pick) => {
  const index = pickFrom(deliverable(world), pick);
  if (index === undefined || pick % 4 !== 0) return;
  if (world.messages[index]?.mayBeLost()) world.messages.splice(index, 1);
});

const answer = onCall('answer', call => call.answer());

const answerAll = commands('answerAll', world => {
  for (const call of world.answerable()) call.answer();
});

const loseAnswer = onCall('loseAnswer', call => {
  call.execute();
  call.timeOut();
});

const finish = commands('finish', (world, pick, writer) => {
  const call = callIn(world, 'running', pick);
  const how = (['completed', 'completed', 'unknown', 'large'] as const)[
    pick % 4
  ];
  if (call && how) world.finish(call, how, writer);
});

const finishAgain = commands('finishAgain', (world, pick, writer) => {
  const ended = world.calls.filter(call => call.state === 'done' && call.ran);
  const call = pickFrom(ended, pick);
  if (call) world.finishAgain(call, writer);
});

const giveUp = commands('giveUp', (world, pick, writer) => {
  const call = callIn(world, 'waiting', pick);
  if (call) world.giveUp(call, writer);
});

const resend = commands('resend', (world, pick, writer) => {
  const call = pickFrom(world.calls, pick);
  if (call) world.sendClaim(call, writer);
});

/** The entry of a call dies: what it was told and owes is lost. */
const kill = commands('kill', (world, pick) => {
  const call = callIn(world, 'running', pick);
  if (call && pick % 3 === 0) call.state = 'dead';
});

const advance = commands('advance', (world, pick) =>
  world.clock.advance(pick % 11 === 0 ? 5000 : 30 * (pick % 10)),
);

const expire = commands('expire', (world, pick) => {
  if (pick % 3 === 0) world.clock.advance(30_000);
});

/** All commands; those that move work forward appear more often. */
export const claimCommands: fc.Arbitrary<Command>[] = [
  start,
  start,
  deliver,
  deliver,
  deliver,
  deliver,
  commands('duplicate', (world, pick) => takeMessage(world, pick, true)),
  drop,
  answer,
  answer,
  answerAll,
  answerAll,
  onCall('execute', call => call.execute()),
  onCall('timeOut', call => call.timeOut()),
  loseAnswer,
  onCall('refuse', call => call.refuse()),
  finish,
  finishAgain,
  giveUp,
  resend,
  kill,
  commands('pause', (world, _pick, writer) => world.setPaused(writer, true)),
  commands('resume', (world, _pick, writer) => world.setPaused(writer, false)),
  commands('resume', (world, _pick, writer) => world.setPaused(writer, false)),
  advance,
  advance,
  expire,
];
