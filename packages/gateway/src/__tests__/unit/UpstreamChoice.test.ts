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

/** Chooses for a draft whose preferred engine has the given peer load. */
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
  it('sends prompts with a long shared prefix to one engine from all instances', () => {
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

  it('keeps requests with a short shared prefix in their failure domain', () => {
    const entries = createEntries(8, ['a', 'b']);
    const candidates = entries.map(entry => createCandidate(entry));
    for (let index = 0; index < 20; index++) {
      const prompt = createPrompt(`chat ${index}`, 200, 600);
      const id = chosenId(candidates, createPlacement({prompt}));
      const chosen = entries.find(entry => entry.id === id);
      expect(chosen?.failureDomain).to.equal('a');
    }
  });

  it('leaves the engine that caches a prefix when its prefill queue is too long', () => {
    const candidates = createEntries(4).map(entry => createCandidate(entry));
    const prompt = createPrompt('draft', 5_400, 900);
    const placement = createPlacement({prompt});
    const preferred = chooseUpstream(candidates, placement, 0)?.candidate;
    preferred?.health.requestStarted({promptTokens: 200_000});
    expect(chosenId(candidates, placement)).not.to.equal(preferred?.entry.id);
  });

  it('keeps a long prefix on its preferred engine when it queues for under a target latency', () => {
    // Load: many prefixes, each requested every few seconds. Sending each
    // request to the least busy engine caused prefix-cache misses that kept all
    // engines busy with prefill.
    const candidates = createEntries(60).map(entry => createCandidate(entry));
    const prompt = createPrompt('draft', 5_400, 6_600);
    const placement = createPlacement({prompt, targetLatencyMs: 1_500});
    const preferred = chooseUpstream(candidates, placement, 0)?.candidate;
    placement.prefixAffinity.recordSent('draft', preferred!.entry.id, 0);
    preferred?.health.requestStarted({promptTokens: 60_000});
    expect(chosenId(candidates, placement)).to.equal(preferred?.entry.id);
  });

  it('falls back from a busy preferred engine to the same engine on all instances', () => {
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

  it('spreads a prefix with much traffic over only as many engines as it needs', () => {
    // Load: within a second, a quarter of all long prompts share one prefix.
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
    // Load: long responses on engines with 16 slots, where slots and not prefill
    // are the bottleneck.
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

  it('takes the work in flight of peers into account', () => {
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

  it('avoids an engine with long event gaps', () => {
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

  it('avoids an upstream that fails some of its requests', () => {
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

describe('UpstreamChoice with outcomes reported by peers', () => {
  // Load: an engine fails half of its requests, and each of 26 instances sends
  // it one request every few seconds, too few to notice the failures alone.
  it('leaves a preferred engine that fails the requests of peers', () => {
    const peerLoad = {...zeroLoad, failed: 5, served: 5};
    const {chosen, preferred} = chooseWithPeerLoadAtPreferred(peerLoad);
    expect(chosen).not.to.equal(preferred);
  });

  it('sends no request that may run only once to an engine that fails half of them', () => {
    // Load: the failing engine looks idle, since its requests fail at once.
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

  it('keeps the preferred engine after a single failure among many responses', () => {
    const peerLoad = {...zeroLoad, failed: 1, served: 9};
    const {chosen, preferred} = chooseWithPeerLoadAtPreferred(peerLoad);
    expect(chosen).to.equal(preferred);
  });

  it('does not move all requests because of random failures of a service', () => {
    // Load: a service fails one in seven requests on any upstream.
    const [first, second] = createEntries(2).map(entry =>
      createCandidate(entry),
    ) as [Candidate, Candidate];
    const unlucky = {...first, peerLoad: {...zeroLoad, failed: 6, served: 24}};
    const lucky = {...second, peerLoad: {...zeroLoad, failed: 3, served: 27}};
    lucky.health.requestStarted({promptTokens: 0});
    const placement = createPlacement({servesModels: false});
    expect(chosenId([unlucky, lucky], placement)).to.equal(first.entry.id);
  });

  it('avoids an upstream that fails only the requests of this instance', () => {
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

describe('PrefixAffinity', () => {
  it('moves only the prefixes of a removed upstream', () => {
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

  it('spreads prefixes evenly over the upstreams', () => {
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

  it('drops where a prefix was sent once engines may have evicted it', () => {
    const affinity = createPrefixAffinity();
    const {id} = createEntry('e');
    affinity.recordSent('part', id, 0);
    expect(affinity.sentRecently('part', 15_000)(id)).to.equal(true);
    expect(affinity.sentRecently('part', 21_000)(id)).to.equal(false);
  });

  it('knows where peers sent a prefix', () => {
    // Load: hundreds of long prefixes, each from another instance every time.
    const [sender, receiver] = [createPrefixAffinity(), createPrefixAffinity()];
    const {id} = createEntry('e');
    sender.recordAndReport('part', id, 0);
    receiver.recordPeer(sender.takeUnreported(), 100);
    expect(receiver.sentRecently('part', 200)(id)).to.equal(true);
    expect(sender.takeUnreported()).to.deep.equal([]);
  });

  it('forgets the prefixes of an upstream that stopped', () => {
    const affinity = createPrefixAffinity();
    const {id} = createEntry('e');
    affinity.recordSent('part', id, 0);
    affinity.forget(id);
    expect(affinity.sentRecently('part', 1)(id)).to.equal(false);
  });
});
