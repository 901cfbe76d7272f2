import {expect} from 'chai';
import type {Candidate} from '../../upstreams/UpstreamChoice.js';
import {chooseUpstream} from '../../upstreams/UpstreamChoice.js';
import {createPromptHomes} from '../../upstreams/PromptHomes.js';
import {
  createCandidate,
  createEntries,
  createEntry,
  createPlacement,
  createPrompt,
  idsOf,
} from './GatewayFixtures.js';

function chosenId(
  candidates: readonly Candidate[],
  placement = createPlacement(),
): string | undefined {
  return chooseUpstream(candidates, placement, 0)?.candidate.entry.id;
}

describe('UpstreamChoice', () => {
  it('sends prompts that share a long part to one engine, from all instances', () => {
    const entries = createEntries(8, ['a', 'b']);
    const prompt = createPrompt('draft', 5_400, 900);
    const ids = ['a', 'b'].map(failureDomain =>
      chosenId(
        entries.map(entry => createCandidate(entry)),
        createPlacement({failureDomain, prompt}),
      ),
    );
    expect(ids[0]).to.equal(ids[1]);
  });

  it('keeps requests with little to share in their failure domain', () => {
    const entries = createEntries(8, ['a', 'b']);
    const candidates = entries.map(entry => createCandidate(entry));
    for (let index = 0; index < 20; index++) {
      const prompt = createPrompt(`chat ${index}`, 200, 600);
      const id = chosenId(candidates, createPlacement({prompt}));
      const chosen = entries.find(entry => entry.id === id);
      expect(chosen?.failureDomain).to.equal('a');
    }
  });

  it('leaves the engine that holds a part when too much waits there', () => {
    const candidates = createEntries(4).map(entry => createCandidate(entry));
    const prompt = createPrompt('draft', 5_400, 900);
    const placement = createPlacement({prompt});
    const home = chooseUpstream(candidates, placement, 0)?.candidate;
    home?.condition.started({promptTokens: 200_000});
    expect(chosenId(candidates, placement)).not.to.equal(home?.entry.id);
  });

  it('counts the work that other instances have in flight', () => {
    const [first, second] = createEntries(2).map(entry =>
      createCandidate(entry),
    ) as [Candidate, Candidate];
    const prompt = createPrompt('chat', 0, 600);
    const placement = createPlacement({prompt});
    const busy = {running: 30, waitingPromptTokens: 60_000};
    expect(chosenId([{...first, others: busy}, second], placement)).to.equal(
      second.entry.id,
    );
    expect(chosenId([first, {...second, others: busy}], placement)).to.equal(
      first.entry.id,
    );
  });

  it('avoids an engine whose events come slowly', () => {
    const [slow, fast] = createEntries(2).map(entry =>
      createCandidate(entry),
    ) as [Candidate, Candidate];
    for (let index = 0; index < 50; index++) slow.condition.eventGap(250, 0);
    for (let index = 0; index < 10; index++) {
      const prompt = createPrompt(`chat ${index}`, 200, 600);
      expect(chosenId([slow, fast], createPlacement({prompt}))).to.equal(
        fast.entry.id,
      );
    }
  });

  it('uses an unreachable upstream only when there is no other', () => {
    const [lost, good] = createEntries(2).map(entry =>
      createCandidate(entry),
    ) as [Candidate, Candidate];
    lost.condition.outcome('unreachable', 0);
    const placement = createPlacement({engine: undefined});
    expect(chosenId([lost, good], placement)).to.equal(good.entry.id);
    expect(chosenId([lost], placement)).to.equal(lost.entry.id);
  });

  it('sends less to an upstream that fails part of its requests', () => {
    const [grey, good] = createEntries(2).map(entry =>
      createCandidate(entry),
    ) as [Candidate, Candidate];
    grey.condition.outcome('failed', 0);
    grey.condition.outcome('served', 0);
    grey.condition.outcome('failed', 0);
    expect(
      chosenId([grey, good], createPlacement({engine: undefined})),
    ).to.equal(good.entry.id);
  });
});

describe('PromptHomes', () => {
  it('moves only the parts of an upstream that is lost', () => {
    const ids = idsOf(createEntries(10));
    const homes = createPromptHomes();
    const lost = ids[3];
    const rest = ids.filter(id => id !== lost);
    for (let part = 0; part < 200; part++) {
      const before = homes.homeOf(`part ${part}`, ids);
      const after = homes.homeOf(`part ${part}`, rest);
      if (before !== lost) expect(after).to.equal(before);
    }
  });

  it('spreads parts evenly', () => {
    const ids = idsOf(createEntries(8));
    const homes = createPromptHomes();
    const counts = new Map<string, number>();
    for (let part = 0; part < 800; part++) {
      const home = homes.homeOf(`part ${part}`, ids);
      counts.set(home, (counts.get(home) ?? 0) + 1);
    }
    expect(Math.max(...counts.values())).to.be.below(140);
    expect(counts.size).to.equal(8);
  });

  it('forgets where a part was sent once engines may have evicted it', () => {
    const homes = createPromptHomes();
    const {id} = createEntry('e');
    homes.sent('part', id, 0);
    expect(homes.sentRecently('part', id, 5_000)).to.equal(true);
    expect(homes.sentRecently('part', id, 11_000)).to.equal(false);
  });
});
