import {expect} from 'chai';
import type {Candidate} from '../../upstreams/UpstreamChoice.js';
import {chooseUpstream} from '../../upstreams/UpstreamChoice.js';
import type {PeerLoad} from '../../peers/LoadReports.js';
import {zeroLoad} from '../../peers/LoadReports.js';
import {createPrefixAffinity} from '../../upstreams/PrefixAffinity.js';
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

/** Where a draft goes when other instances saw `others` at its home. */
function chooseWithPeerLoadAtPreferred(peerLoad: PeerLoad) {
  const candidates = createEntries(20).map(entry => createCandidate(entry));
  const placement = createPlacement({
    prompt: createPrompt('draft', 5_400, 6_600),
    retryable: false,
    targetLatencyMs: 2_000,
  });
  const preferred = chosenId(candidates, placement);
  const reported = candidates.map(candidate =>
    candidate.entry.id === preferred ? {...candidate, peerLoad} : candidate,
  );
  return {preferred, chosen: chosenId(reported, placement)};
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
    const preferred = chooseUpstream(candidates, placement, 0)?.candidate;
    preferred?.health.requestStarted({promptTokens: 200_000});
    expect(chosenId(candidates, placement)).not.to.equal(preferred?.entry.id);
  });

  it('keeps a long part at its home while that is less than a target busier', () => {
    // Load: many subjects, each asked for every few seconds. Reading a part
    // again at the least busy engine each time kept all engines busy reading.
    const candidates = createEntries(60).map(entry => createCandidate(entry));
    const prompt = createPrompt('draft', 5_400, 6_600);
    const placement = createPlacement({prompt, targetLatencyMs: 1_500});
    const preferred = chooseUpstream(candidates, placement, 0)?.candidate;
    preferred?.health.requestStarted({promptTokens: 60_000});
    expect(chosenId(candidates, placement)).to.equal(preferred?.entry.id);
  });

  it('leaves a busy home for the same engine on all instances', () => {
    const entries = createEntries(60, ['a', 'b', 'c']);
    const prompt = createPrompt('draft', 5_400, 6_600);
    const chosen = ['a', 'b', 'c'].map(failureDomain => {
      const candidates = entries.map(entry => createCandidate(entry));
      const placement = createPlacement({failureDomain, prompt});
      const preferred = chooseUpstream(candidates, placement, 0)?.candidate;
      preferred?.health.requestStarted({promptTokens: 300_000});
      return chosenId(candidates, placement);
    });
    expect(new Set(chosen).size).to.equal(1);
  });

  it('spreads one part with much of the traffic over as few engines as it needs', () => {
    // Load: one subject gets a quarter of all long prompts within a second.
    const candidates = createEntries(60).map(entry => createCandidate(entry));
    const used = new Map<string, number>();
    const prefixAffinity = createPrefixAffinity();
    for (let index = 0; index < 60; index++) {
      const prompt = createPrompt('hot', 5_400, 6_600);
      const placement = createPlacement({prefixAffinity, prompt});
      const choice = chooseUpstream(candidates, placement, 0);
      const {health, entry} = choice?.candidate as Candidate;
      health.requestStarted({promptTokens: choice?.uncachedPromptTokens ?? 0});
      prefixAffinity.recordSent('hot', entry.id, 0);
      used.set(entry.id, (used.get(entry.id) ?? 0) + 1);
    }
    expect(used.size).to.be.within(2, 8);
    expect(Math.max(...used.values())).to.be.below(40);
  });

  it('prefers an engine with a free slot to one that has none', () => {
    // Load: long answers at engines with 16 slots; reading is not what binds.
    const [full, free] = createEntries(2).map(entry =>
      createCandidate({...entry, slots: 16}),
    ) as [Candidate, Candidate];
    for (let index = 0; index < 18; index++) {
      full.health.requestStarted({promptTokens: 0});
    }
    free.health.requestStarted({promptTokens: 3_000});
    for (let index = 0; index < 10; index++) {
      const prompt = createPrompt(`chat ${index}`, 0, 600);
      expect(chosenId([full, free], createPlacement({prompt}))).to.equal(
        free.entry.id,
      );
    }
  });

  it('counts the work that other instances have in flight', () => {
    const [first, second] = createEntries(2).map(entry =>
      createCandidate(entry),
    ) as [Candidate, Candidate];
    const prompt = createPrompt('chat', 0, 600);
    const placement = createPlacement({prompt});
    const busy = {...zeroLoad, running: 30, waitingPromptTokens: 60_000};
    expect(chosenId([{...first, peerLoad: busy}, second], placement)).to.equal(
      second.entry.id,
    );
    expect(chosenId([first, {...second, peerLoad: busy}], placement)).to.equal(
      first.entry.id,
    );
  });

  it('avoids an engine whose events come slowly', () => {
    const [slow, fast] = createEntries(2).map(entry =>
      createCandidate(entry),
    ) as [Candidate, Candidate];
    for (let index = 0; index < 50; index++) slow.health.recordEventGap(250, 0);
    for (let index = 0; index < 10; index++) {
      const prompt = createPrompt(`chat ${index}`, 200, 600);
      expect(chosenId([slow, fast], createPlacement({prompt}))).to.equal(
        fast.entry.id,
      );
    }
  });

  it('uses an unreachable upstream only when there is no other', () => {
    const [unreachable, good] = createEntries(2).map(entry =>
      createCandidate(entry),
    ) as [Candidate, Candidate];
    unreachable.health.recordOutcome('unreachable', 0);
    const placement = createPlacement({servesModels: false});
    expect(chosenId([unreachable, good], placement)).to.equal(good.entry.id);
    expect(chosenId([unreachable], placement)).to.equal(unreachable.entry.id);
  });

  it('sends less to an upstream that fails part of its requests', () => {
    const [failing, good] = createEntries(2).map(entry =>
      createCandidate(entry),
    ) as [Candidate, Candidate];
    failing.health.recordOutcome('failed', 0);
    failing.health.recordOutcome('served', 0);
    failing.health.recordOutcome('failed', 0);
    expect(
      chosenId([failing, good], createPlacement({servesModels: false})),
    ).to.equal(good.entry.id);
  });
});

describe('UpstreamChoice with the experience of other instances', () => {
  // Load: an engine fails half of its requests; each of 26 instances sends it
  // one every few seconds.
  it('leaves an engine that fails the requests of others, even a home', () => {
    const peerLoad = {...zeroLoad, failed: 5, served: 5};
    const {chosen, preferred} = chooseWithPeerLoadAtPreferred(peerLoad);
    expect(chosen).not.to.equal(preferred);
  });

  it('sends nothing that may run once to an engine that fails half of it', () => {
    // Load: the failing engine looks idle, since failed requests end at once.
    const [failing, ...good] = createEntries(6).map(entry =>
      createCandidate(entry),
    ) as [Candidate, ...Candidate[]];
    for (const {health} of good) {
      for (let index = 0; index < 30; index++) {
        health.requestStarted({promptTokens: 6_600});
      }
    }
    const candidates = [
      {...failing, peerLoad: {...zeroLoad, failed: 20, served: 20}},
      ...good,
    ];
    for (let index = 0; index < 20; index++) {
      const prompt = createPrompt(`draft ${index}`, 5_400, 6_600);
      const placement = createPlacement({prompt, retryable: false});
      const id = chosenId(candidates, {...placement, targetLatencyMs: 2_000});
      expect(id).not.to.equal(failing.entry.id);
    }
  });

  it('takes a single failure among many answers for no proof', () => {
    const peerLoad = {...zeroLoad, failed: 1, served: 9};
    const {chosen, preferred} = chooseWithPeerLoadAtPreferred(peerLoad);
    expect(chosen).to.equal(preferred);
  });

  it('does not move all requests after a chance failure of a service', () => {
    // Load: a service fails one in seven requests at any upstream.
    const [first, second] = createEntries(2).map(entry =>
      createCandidate(entry),
    ) as [Candidate, Candidate];
    const unlucky = {...first, peerLoad: {...zeroLoad, failed: 6, served: 24}};
    const lucky = {...second, peerLoad: {...zeroLoad, failed: 3, served: 27}};
    lucky.health.requestStarted({promptTokens: 0});
    const placement = createPlacement({servesModels: false});
    expect(chosenId([unlucky, lucky], placement)).to.equal(first.entry.id);
  });

  it('believes its own failures where all others are served', () => {
    const [failing, good] = createEntries(2).map(entry =>
      createCandidate(entry),
    ) as [Candidate, Candidate];
    const served = {...zeroLoad, served: 60};
    for (let index = 0; index < 2; index++)
      failing.health.recordOutcome('failed', 0);
    const placement = createPlacement({servesModels: false});
    expect(
      chosenId(
        [
          {...failing, peerLoad: served},
          {...good, peerLoad: served},
        ],
        placement,
      ),
    ).to.equal(good.entry.id);
  });
});

describe('PromptHomes', () => {
  it('moves only the parts of an upstream that is lost', () => {
    const ids = idsOf(createEntries(10));
    const affinity = createPrefixAffinity();
    const lost = ids[3];
    const rest = ids.filter(id => id !== lost);
    for (let prefix = 0; prefix < 200; prefix++) {
      const before = affinity.rankUpstreams(`part ${prefix}`, ids)[0];
      const after = affinity.rankUpstreams(`part ${prefix}`, rest)[0];
      if (before !== lost) expect(after).to.equal(before);
    }
  });

  it('spreads parts evenly', () => {
    const ids = idsOf(createEntries(8));
    const affinity = createPrefixAffinity();
    const counts = new Map<string, number>();
    for (let prefix = 0; prefix < 800; prefix++) {
      const preferred = affinity.rankUpstreams(`part ${prefix}`, ids)[0];
      counts.set(String(preferred), (counts.get(String(preferred)) ?? 0) + 1);
    }
    expect(Math.max(...counts.values())).to.be.below(140);
    expect(counts.size).to.equal(8);
  });

  it('forgets where a part was sent once engines may have evicted it', () => {
    const affinity = createPrefixAffinity();
    const {id} = createEntry('e');
    affinity.recordSent('part', id, 0);
    expect(affinity.sentRecently('part', id, 5_000)).to.equal(true);
    expect(affinity.sentRecently('part', id, 11_000)).to.equal(false);
  });
});
