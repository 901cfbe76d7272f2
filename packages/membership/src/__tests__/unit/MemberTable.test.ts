import {toInstanceId} from '@toucanrouter/common';
import {expect} from 'chai';
import fc from 'fast-check';
import type {MemberRecord} from '../../index.js';
import {
  createMemberTable,
  evictAfterMs,
  gossipTtlMs,
  mergeMembers,
  ownerOf,
  rankMembers,
  selectLinks,
  suspectAfterMs,
} from '../../index.js';

function member(id: string, changes: Partial<MemberRecord> = {}): MemberRecord {
  return {
    instanceId: toInstanceId(id),
    peerAddress: '127.0.0.1:1',
    region: 'zilina',
    failureDomain: 'a',
    incarnation: 1,
    state: 'live',
    ...changes,
  };
}

function ids(members: readonly MemberRecord[]): string[] {
  return members.map(m => m.instanceId);
}

describe('MemberTable', () => {
  it('considers a listed instance down until its first heartbeat, so that a stale list yields no owner', () => {
    const table = createMemberTable(member('a'));
    table.addListedMember(member('b'), 0);
    expect(ids(table.alive(0))).to.deep.equal(['a']);
    table.recordHeartbeat(member('b'), 10);
    expect(ids(table.alive(10))).to.deep.equal(['a', 'b']);
  });

  it('considers an instance without heartbeats down, so that a paused scheduler is replaced', () => {
    const table = createMemberTable(member('a'));
    table.recordHeartbeat(member('b'), 0);
    expect(ids(table.alive(suspectAfterMs))).to.deep.equal(['a', 'b']);
    expect(ids(table.alive(suspectAfterMs + 1))).to.deep.equal(['a']);
  });

  it('does not let gossip revive an instance whose direct heartbeats stopped', () => {
    const table = createMemberTable(member('a'));
    table.recordHeartbeat(member('b'), 0);
    table.recordGossip({member: member('b'), heardAgoMs: 0}, 600);
    expect(ids(table.alive(600))).to.deep.equal(['a']);
  });

  it('trusts gossip about an instance without a link for a limited time', () => {
    const table = createMemberTable(member('a'));
    table.recordGossip({member: member('b'), heardAgoMs: 100}, 100);
    expect(ids(table.alive(gossipTtlMs(1)))).to.deep.equal(['a', 'b']);
    expect(ids(table.alive(gossipTtlMs(1) + 1))).to.deep.equal(['a']);
  });

  it('keeps a member of a large fleet alive between two gossip entries about it', () => {
    const table = createMemberTable(member('a'));
    for (let i = 0; i < 400; i++) {
      table.recordGossip({member: member(`n${i}`), heardAgoMs: 0}, 0);
    }
    const rotationMs = (400 / 4) * 150;
    expect(table.alive(rotationMs)).to.have.length(401);
  });

  it('passes on the age of gossip about a new member, so that it does not grow younger with each hop', () => {
    const table = createMemberTable(member('a'));
    table.recordGossip({member: member('b'), heardAgoMs: 900}, 1_000);
    const [entry] = table.nextGossip(1_200);
    expect(entry?.heardAgoMs).to.equal(1_100);
  });

  it('evicts instances without evidence of liveness, so that the table is bounded', () => {
    const table = createMemberTable(member('a'));
    table.recordHeartbeat(member('b'), 0);
    table.evictStaleMembers(evictAfterMs);
    expect(table.known()).to.have.length(1);
    table.evictStaleMembers(evictAfterMs + 1);
    expect(table.known()).to.have.length(0);
  });

  it('never reverses "leaving" within an incarnation, in any order of messages', () => {
    const record = fc.record({
      incarnation: fc.integer({min: 1, max: 3}),
      state: fc.constantFrom('live' as const, 'leaving' as const),
    });
    fc.assert(
      fc.property(fc.array(record, {minLength: 1}), records => {
        const merged = records.map(r => member('b', r)).reduce(mergeMembers);
        const highest = Math.max(...records.map(r => r.incarnation));
        const isLeaving = records.some(
          r => r.incarnation === highest && r.state === 'leaving',
        );
        return (
          merged.incarnation === highest &&
          merged.state === (isLeaving ? 'leaving' : 'live')
        );
      }),
      {seed: 7, numRuns: 200},
    );
  });
});

describe('ownerOf', () => {
  const members = ['a', 'b', 'c', 'd', 'e'].map(id => member(id));

  it('moves only the resources of a lost instance', () => {
    for (let i = 0; i < 100; i++) {
      const before = ownerOf(`shard ${i}`, members);
      const remaining = members.filter(m => m.instanceId !== 'c');
      const after = ownerOf(`shard ${i}`, remaining);
      if (before?.instanceId !== 'c') expect(after).to.equal(before);
    }
  });

  it('skips leaving instances while another one is live', () => {
    const leaving = members.map(m => member(m.instanceId, {state: 'leaving'}));
    const live = member('c');
    expect(ownerOf('s', [...leaving.slice(0, 2), live])).to.equal(live);
    expect(ownerOf('s', leaving)).to.equal(rankMembers('s', leaving)[0]);
  });
});

describe('selectLinks', () => {
  it('keeps a bounded number of links besides the owners in use', () => {
    const known = Array.from({length: 400}, (_, i) => member(`n${i}`));
    const owner = toInstanceId('n399');
    const links = selectLinks(member('n0'), known, new Set([owner]));
    expect(links.length).to.be.within(6, 7);
    expect(ids(links)).to.include('n399');
    expect(ids(links)).to.not.include('n0');
  });
});
