import {createSeededRandom, toClassId} from '@toucanrouter/common';
import {expect} from 'chai';
import type {EngineDivision, SeenWork} from '../../upstreams/EngineDivision.js';
import {
  addWork,
  createEngineDivision,
  noWork,
  workKindOf,
} from '../../upstreams/EngineDivision.js';
import {createAnswerLengths} from '../../upstreams/AnswerLengths.js';
import {refusalReason} from '../../upstreams/EngineAdmission.js';
import type {Prompt} from '../../upstreams/Prompt.js';
import type {Candidate} from '../../upstreams/UpstreamChoice.js';
import {chooseUpstream} from '../../upstreams/UpstreamChoice.js';
import {
  createCandidate,
  createEntries,
  createPlacement,
  createPrompt,
} from './GatewayFixtures.js';

const chat = createPrompt('chat', 200, 600, 300);
const draft = createPrompt('draft', 5_400, 6_600, 400);
const hint = createPrompt('hint', 570, 1_800, 20);

function countsOf(division: ReadonlyMap<unknown, keyof SeenWork>): SeenWork {
  return [...division.values()].reduce(
    (sum, kind) => addWork(sum, {...noWork, [kind]: 1}),
    noWork,
  );
}

/** Sends `count` requests of a mix, as in a burst of one class. */
function sendMix(
  division: EngineDivision,
  prompts: readonly Prompt[],
  count: number,
): void {
  for (let index = 0; index < count; index++) {
    division.sent(prompts[index % prompts.length] as Prompt, index * 20);
  }
}

describe('EngineDivision', () => {
  it('tells long prompts, short prompts and generation apart', () => {
    expect(workKindOf(draft)).to.equal('long_prompt');
    expect(workKindOf(hint)).to.equal('short_prompt');
    expect(workKindOf(chat)).to.equal('generation');
  });

  it('leaves at least one engine for each kind of work', () => {
    const engines = createEntries(4);
    const division = createEngineDivision();
    sendMix(division, [draft], 500);
    const counts = countsOf(division.divide(engines, 10_000));
    expect(counts.generation).to.be.at.least(1);
    expect(counts.short_prompt).to.be.at.least(1);
  });

  it('gives long prompts more engines while they arrive in a burst', () => {
    const engines = createEntries(12);
    const calm = createEngineDivision();
    sendMix(calm, [chat, chat, hint, draft], 400);
    const burst = createEngineDivision();
    sendMix(burst, [chat, draft, draft, draft, draft], 400);
    const count = (division: EngineDivision) =>
      countsOf(division.divide(engines, 8_000)).long_prompt;
    expect(count(burst)).to.be.above(count(calm));
  });

  it('follows a burst of long prompts within a few seconds', () => {
    const engines = createEntries(60);
    const division = createEngineDivision();
    for (let index = 0; index < 600; index++) {
      division.sent([chat, hint, draft][index % 3] as Prompt, index * 10);
    }
    const before = countsOf(division.divide(engines, 6_000)).long_prompt;
    for (let index = 0; index < 1_500; index++) {
      const prompt = [chat, hint, draft, draft, draft][index % 5] as Prompt;
      division.sent(prompt, 6_000 + index * 2);
    }
    const after = countsOf(division.divide(engines, 9_000)).long_prompt;
    expect(after - before).to.be.above(8);
  });

  it('stays as it is while requests of a steady mix arrive at random', () => {
    const random = createSeededRandom(7);
    const engines = createEntries(60);
    const division = createEngineDivision();
    let changes = 0;
    let last: ReadonlyMap<unknown, keyof SeenWork> = new Map();
    for (let index = 0; index < 6_000; index++) {
      const prompt = [chat, hint, draft][Math.floor(random.next() * 3)];
      division.sent(prompt as Prompt, index * 5);
      if (index < 2_000) continue;
      const next = division.divide(engines, index * 5);
      if (next !== last) changes += 1;
      last = next;
    }
    expect(changes).to.be.below(10);
  });

  it('is the same on instances that know the work of each other', () => {
    const engines = createEntries(10, ['a', 'b', 'c']);
    let othersWork = noWork;
    const here = createEngineDivision({othersWork: () => othersWork});
    const there = createEngineDivision({othersWork: () => here.work(8_000)});
    sendMix(here, [draft, chat], 400);
    sendMix(there, [chat, hint], 400);
    othersWork = there.work(8_000);
    expect([...here.divide(engines, 8_000)]).to.deep.equal([
      ...there.divide(engines, 8_000),
    ]);
  });

  it('changes the work of at most one engine on each side when one is lost', () => {
    const engines = createEntries(9, ['a', 'b', 'c']);
    const division = createEngineDivision();
    const before = division.divide(engines, 0);
    for (const lost of engines) {
      const rest = engines.filter(engine => engine !== lost);
      const after = createEngineDivision().divide(rest, 0);
      const moved = rest.filter(({id}) => before.get(id) !== after.get(id));
      expect(moved.length).to.be.at.most(2);
    }
  });

  it('keeps long prompts off the engines of chats while both are busy', () => {
    const random = createSeededRandom(1);
    const engines = createEntries(8, ['a', 'b']);
    const division = createEngineDivision().divide(engines, 0);
    const candidates = engines.map(entry => createCandidate(entry));
    const placement = createPlacement({division, tieBreak: random.next});
    for (let index = 0; index < 40; index++) {
      const prompt = createPrompt(`draft ${index}`, 5_400, 6_600);
      const choice = chooseUpstream(candidates, {...placement, prompt}, 0);
      const {condition, entry} = choice?.candidate as Candidate;
      expect(division.get(entry.id)).not.to.equal('generation');
      condition.started({promptTokens: choice?.tokensToRead ?? 0});
    }
  });
});

describe('EngineAdmission', () => {
  const demand = {
    prompt: draft,
    tier: 2,
    leastUrgent: true,
    usualEvents: 64,
    remainingMs: 15_000,
  };

  function createBusyChoice(gapMs: number, running: number) {
    const candidate = createCandidate(createEntries(1)[0]!);
    for (let index = 0; index < running; index++) {
      candidate.condition.started({promptTokens: 0});
    }
    for (let index = 0; index < 100; index++) {
      candidate.condition.eventGap(gapMs, 0);
    }
    return {candidate, expectedMs: 200, tokensToRead: 6_600, homeRank: 0};
  }

  it('refuses a long prompt whose answer would take most of its time', () => {
    const choice = createBusyChoice(200, 20);
    expect(refusalReason(choice, demand, 0)).to.be.a('string');
  });

  it('admits it to an engine that generates fast enough', () => {
    const choice = createBusyChoice(40, 20);
    expect(refusalReason(choice, demand, 0)).to.equal(undefined);
  });

  it('never refuses what is more urgent than other work of the service', () => {
    // Short advice with a long prompt was refused while drafts went on.
    const choice = createBusyChoice(900, 40);
    const urgent = {...demand, leastUrgent: false, remainingMs: 3_000};
    expect(refusalReason(choice, urgent, 0)).to.equal(undefined);
  });

  it('refuses the prompts of urgent workspaces last', () => {
    const choice = createBusyChoice(140, 20);
    expect(refusalReason(choice, demand, 0)).to.be.a('string');
    expect(refusalReason(choice, {...demand, tier: 1}, 0)).to.equal(undefined);
  });

  it('never refuses what is not a long prompt', () => {
    const choice = createBusyChoice(900, 40);
    expect(refusalReason(choice, {...demand, prompt: hint}, 0)).to.equal(
      undefined,
    );
  });

  it('guesses the length of an answer from what the request allows', () => {
    const lengths = createAnswerLengths();
    const classId = toClassId('advice');
    expect(lengths.usualEvents(classId, hint)).to.be.below(3);
    lengths.completed(classId, 5);
    expect(lengths.usualEvents(classId, hint)).to.equal(5);
  });

  it('admits to an engine that is nearly empty, whatever it did before', () => {
    const choice = createBusyChoice(300, 2);
    expect(refusalReason(choice, demand, 0)).to.equal(undefined);
  });
});
