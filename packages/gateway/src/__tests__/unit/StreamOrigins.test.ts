import {
  createManualClock,
  toServiceName,
  toSoftwareVersion,
} from '@toucanrouter/common';
import {expect} from 'chai';
import fc from 'fast-check';
import {
  advance,
  chat,
  createOriginScene,
  retentionMs,
  startInstance,
  v1,
  v2,
} from './StreamOriginFixtures.js';

const v3 = toSoftwareVersion('v3');

/** Starts two instances beside upstreams of two versions. */
async function createTwoVersions() {
  const scene = createOriginScene();
  scene.setVersions(v1, v2);
  const first = scene.start({id: 'a'});
  const second = scene.start({id: 'bb'});
  await scene.advance(1_000);
  return {...scene, first, second};
}

describe('StreamOrigins', () => {
  // Guards against streams that begin before other instances can tell that they
  // may have begun at this version.
  it('lets streams begin at a version once the store lists it', async () => {
    const scene = createOriginScene();
    const instance = scene.start();
    expect(instance.mayBegin(v1)).to.equal(false);
    await scene.advance(500);
    expect(instance.mayBegin(v1)).to.equal(true);
    expect(instance.mayBegin(v2)).to.equal(false);
    scene.setVersions(v1, v2);
    await scene.advance(500);
    expect(instance.mayBegin(v2)).to.equal(true);
    scene.stopAll();
  });

  // Guards against writes for each stream where one version serves.
  it('records nothing while a service has one version', async () => {
    const scene = createOriginScene();
    const instance = scene.start({id: 'a'});
    const other = scene.start({id: 'bb'});
    await scene.advance(1_000);
    // Both may write at the same time, of which the store rejects one.
    const writeCount = scene.origins.countOf('write versions');
    expect(writeCount).to.be.within(1, 2);
    instance.begin('r', v1);
    await scene.advance(5_000);
    expect(scene.origins.countOf('write streams')).to.equal(0);
    expect(scene.origins.countOf('write versions')).to.equal(writeCount);
    scene.origins.calls.length = 0;
    expect(await other.find('r')).to.equal(v1);
    expect(scene.origins.calls).to.deep.equal(['read versions']);
    scene.stopAll();
  });

  // Guards against callers that are refused although there is nothing to guess.
  it('needs no request id where all streams have one origin', async () => {
    const scene = createOriginScene();
    const instance = scene.start();
    await scene.advance(1_000);
    expect(await instance.find(undefined)).to.equal(v1);
    scene.setVersions(v1, v2);
    await scene.advance(1_000);
    expect(await instance.find(undefined)).to.equal(undefined);
    scene.stopAll();
  });

  // Guards against a stream that goes on at another version because another
  // instance took it up.
  it('finds the origin of a stream of another instance', async () => {
    const {advance, first, second, stopAll} = await createTwoVersions();
    first.begin('r1', v1);
    first.begin('r2', v2);
    await advance(500);
    expect(await second.find('r1')).to.equal(v1);
    expect(await second.find('r2')).to.equal(v2);
    expect(await second.find('r3')).to.equal(undefined);
    stopAll();
  });

  // Guards against a guess at the listed version for a stream that began at
  // another one because no upstream of the listed version was left.
  it('does not rely on a list that lacks a version it has seen', async () => {
    const scene = createOriginScene();
    const first = scene.start({id: 'a'});
    const second = scene.start({id: 'bb'});
    await scene.advance(1_000);
    scene.origins.addConflicts(1_000);
    scene.setVersions(v2);
    expect(first.mayBegin(v2)).to.equal(false);
    first.begin('r1', v2);
    expect(await second.find('other')).to.equal(undefined);
    expect(await second.find('r1')).to.equal(v2);
    expect(scene.origins.versionsOf(chat)).to.deep.equal([v1]);
    scene.stopAll();
  });

  // Guards against origins that are lost with the memory of all instances, and
  // with the last upstream of a version.
  it('finds origins after all instances were restarted', async () => {
    const scene = await createTwoVersions();
    scene.first.begin('r1', v1);
    await scene.advance(500);
    scene.stopAll();
    scene.setVersions(v2);
    const restarted = scene.start({id: 'a'});
    await scene.advance(500);
    expect(await restarted.find('r1')).to.equal(v1);
    expect(await restarted.find('other')).to.equal(undefined);
    scene.stopAll();
  });

  // Guards against a guess at the new version when the upstreams of the old one
  // left before their streams were recorded.
  it('records streams that began before the second version', async () => {
    const scene = createOriginScene();
    const first = scene.start({id: 'a'});
    await scene.advance(1_000);
    first.begin('r1', v1);
    scene.setVersions(v2);
    await scene.advance(1_500);
    expect(scene.origins.versionsOf(chat)).to.have.members([v1, v2]);
    scene.stopAll();
    const restarted = scene.start({id: 'a'});
    await scene.advance(500);
    expect(await restarted.find('r1')).to.equal(v1);
    scene.stopAll();
  });

  // Guards against lists that only grow, and lists that lose a version while
  // its streams can be resumed.
  it('drops a version that was away for the retention time', async () => {
    const scene = await createTwoVersions();
    scene.setVersions(v2);
    await scene.advance(retentionMs - 2_000);
    expect(scene.origins.versionsOf(chat)).to.have.members([v1, v2]);
    await scene.advance(5_000);
    expect(scene.origins.versionsOf(chat)).to.deep.equal([v2]);
    expect(scene.first.mayBegin(v1)).to.equal(false);
    scene.stopAll();
  });

  // Guards against a version that is dropped although it may have come and gone
  // while the store was away.
  it('counts the retention time only while it follows the store', async () => {
    const scene = await createTwoVersions();
    scene.setVersions(v2);
    await scene.advance(30_000);
    scene.origins.setReachable(false);
    await scene.advance(10_000);
    scene.origins.setReachable(true);
    await scene.advance(20_000);
    expect(scene.origins.versionsOf(chat)).to.have.members([v1, v2]);
    scene.stopAll();
  });

  // Guards against a version that is dropped although it came and went while the
  // process of an instance stood still.
  it('counts no time in which its process stood still', async () => {
    const scene = await createTwoVersions();
    const ownClock = createManualClock(scene.clock.nowMs());
    let pausedMs = 0;
    const pausing = {...ownClock, nowMs: () => ownClock.nowMs() + pausedMs};
    let seen = [v1, v2];
    const paused = startInstance(pausing, scene.origins, () => seen, {id: 'c'});
    await advance(ownClock, 1_000);
    seen = [v2];
    await advance(ownClock, 2_000);
    scene.first.begin('r1', v1);
    await scene.advance(500);
    pausedMs = retentionMs;
    await advance(ownClock, 2_000);
    expect(scene.origins.versionsOf(chat)).to.have.members([v1, v2]);
    expect(await scene.second.find('r1')).to.equal(v1);
    paused.stop();
    scene.stopAll();
  });

  // Guards against records without end in the store.
  it('lets records expire', async () => {
    const {advance, first, second, stopAll} = await createTwoVersions();
    first.begin('r1', v1);
    await advance(retentionMs + 8_000);
    expect(await second.find('r1')).to.equal(undefined);
    expect(await first.find('r1')).to.equal(undefined);
    stopAll();
  });

  // Guards against a guess from an old view of the store.
  it('finds nothing while the store is away or slow', async () => {
    const {advance, first, origins, second, stopAll} =
      await createTwoVersions();
    first.begin('r1', v1);
    await advance(500);
    origins.setReachable(false);
    expect(await second.find('r1')).to.equal(undefined);
    expect(await first.find('r1')).to.equal(v1);
    origins.setReachable(true);
    origins.setDelayMs(3_000);
    expect(await second.find('r1')).to.equal(undefined);
    origins.setDelayMs(0);
    await advance(3_000);
    expect(await second.find('r1')).to.equal(v1);
    stopAll();
  });

  // Guards against streams that are refused because an earlier read, for which
  // no caller waits any more, has no response.
  it('does not wait long for a read without a response', async () => {
    const {advance, first, origins, second, stopAll} =
      await createTwoVersions();
    first.begin('r1', v1);
    await advance(500);
    origins.setDelayMs(3_000);
    void second.archive.find(undefined, [chat], 500);
    await advance(50);
    origins.setDelayMs(0);
    expect(await second.find('r1')).to.equal(v1);
    stopAll();
  });

  // Guards against records that are lost because the store was away when their
  // streams began.
  it('writes records once the store is back', async () => {
    const {advance, first, origins, second, stopAll} =
      await createTwoVersions();
    origins.setReachable(false);
    first.begin('r1', v1);
    await advance(3_000);
    origins.setReachable(true);
    await advance(5_000);
    expect(await second.find('r1')).to.equal(v1);
    const warnings = first.lines.filter(line => line.includes('"warn"'));
    expect(warnings).to.have.length(1);
    stopAll();
  });

  // Guards against a version that is lost when instances write at once.
  it('merges versions that instances add at the same time', async () => {
    const scene = createOriginScene();
    scene.origins.addConflicts(2);
    const first = scene.start({id: 'a'});
    scene.setVersions(v2);
    scene.start({id: 'bb'});
    scene.setVersions(v3);
    await scene.advance(3_000);
    expect(scene.origins.versionsOf(chat)).to.have.members([v1, v2, v3]);
    expect(first.mayBegin(v3)).to.equal(true);
    scene.stopAll();
  });

  // Guards against a read for each stream that is resumed, and against joining
  // a read that began before the stream did.
  it('shares the next read between streams', async () => {
    const {advance, origins, second, first, stopAll} =
      await createTwoVersions();
    first.begin('r1', v1);
    await advance(500);
    origins.calls.length = 0;
    origins.setDelayMs(100);
    const finds = Array.from({length: 20}, () =>
      second.archive.find(
        {workspaceId: undefined, requestId: 'r'},
        [chat],
        1_000,
      ),
    );
    await advance(1_000);
    await Promise.all(finds);
    expect(origins.countOf('read versions')).to.be.within(1, 2);
    stopAll();
  });

  // Guards against a stream that goes on at the version of another with its id.
  it('does not choose between two origins of one id', async () => {
    const {advance, first, second, start, stopAll} = await createTwoVersions();
    first.begin('r1', v1);
    second.begin('r1', v2);
    first.begin('r2', v1);
    first.begin('r2', v2);
    await advance(500);
    const third = start({id: 'ccc'});
    expect(await third.find('r1')).to.equal(undefined);
    expect(await third.find('r2')).to.equal(undefined);
    expect(await first.find('r2')).to.equal(undefined);
    stopAll();
  });

  // Guards against ids of any length that callers make up.
  it('copes with absurdly long ids', async () => {
    const {advance, first, second, stopAll} = await createTwoVersions();
    const requestId = 'x'.repeat(100_000);
    first.begin(requestId, v1);
    await advance(500);
    expect(await second.find(requestId)).to.equal(v1);
    expect(await second.find(`${requestId}x`)).to.equal(undefined);
    stopAll();
  });

  // Guards against a guess between the services of a route.
  it('records streams of services that share a route', async () => {
    const scene = createOriginScene();
    const first = scene.start({id: 'a', sharesRoute: true});
    const second = scene.start({id: 'bb', sharesRoute: true});
    await scene.advance(1_000);
    first.begin('r1', v1);
    await scene.advance(500);
    const services = [chat, toServiceName('other')];
    expect(await second.find('r1', services)).to.equal(v1);
    expect(await second.find('r2', services)).to.equal(undefined);
    scene.stopAll();
  });

  // Guards against a list of a copy that lacks a version, and against records
  // that the copy lacks.
  it('writes again what a copy of the store lacks', async () => {
    const scene = createOriginScene();
    const first = scene.start({id: 'a'});
    const second = scene.start({id: 'bb'});
    await scene.advance(1_000);
    const copy = scene.origins.copy();
    scene.setVersions(v1, v2);
    await scene.advance(1_000);
    first.begin('r2', v2);
    await scene.advance(500);
    scene.setVersions(v1);
    scene.origins.restore(copy);
    expect(await second.find('r2')).to.not.equal(v1);
    await scene.advance(2_000);
    expect(scene.origins.versionsOf(chat)).to.have.members([v1, v2]);
    expect(await second.find('r2')).to.equal(v2);
    scene.stopAll();
  });

  // Guards against a list of a copy that is taken as complete by instances that
  // started after the copy came back.
  it('does not guess by a list of a copy before it is confirmed', async () => {
    const scene = createOriginScene();
    scene.start({id: 'a'});
    await scene.advance(1_000);
    const copy = scene.origins.copy();
    scene.stopAll();
    scene.origins.restore(copy);
    const restarted = scene.start({id: 'a'});
    await scene.advance(1_000);
    expect(restarted.mayBegin(v1)).to.equal(true);
    expect(await restarted.find('r1')).to.equal(undefined);
    await scene.advance(retentionMs);
    expect(await restarted.find('r1')).to.equal(v1);
    scene.stopAll();
  });

  // Guards against streams that begin at a version that a copy lacks.
  it('lets no stream begin until the new history lists it', async () => {
    const scene = createOriginScene();
    const first = scene.start({id: 'a'});
    const copy = scene.origins.copy();
    await scene.advance(1_000);
    expect(first.mayBegin(v1)).to.equal(true);
    scene.origins.restore(copy);
    await scene.advance(100);
    expect(first.mayBegin(v1)).to.equal(false);
    await scene.advance(1_000);
    expect(first.mayBegin(v1)).to.equal(true);
    scene.stopAll();
  });

  // Guards against joined streams under any order of events.
  it('never finds another version than the one that began', async () => {
    const versions = [v1, v2, v3];
    const instance = fc.nat(1);
    const step = fc.oneof(
      {
        weight: 4,
        arbitrary: fc.record({
          kind: fc.constant('begin' as const),
          instance,
          n: fc.nat(2),
        }),
      },
      {
        weight: 4,
        arbitrary: fc.record({
          kind: fc.constant('find' as const),
          instance,
          n: fc.nat(3),
        }),
      },
      {
        weight: 2,
        arbitrary: fc.record({
          kind: fc.constant('serve' as const),
          serving: fc.subarray(versions, {minLength: 1}),
        }),
      },
      {
        weight: 1,
        arbitrary: fc.record({
          kind: fc.constant('wait' as const),
          ms: fc.nat(8_000),
        }),
      },
      {
        weight: 1,
        arbitrary: fc.record({kind: fc.constant('restart' as const), instance}),
      },
      {
        weight: 1,
        arbitrary: fc.record({kind: fc.constant('restart all' as const)}),
      },
      {
        weight: 1,
        arbitrary: fc.record({
          kind: fc.constant('away' as const),
          ms: fc.nat(4_000),
        }),
      },
      {weight: 1, arbitrary: fc.record({kind: fc.constant('copy' as const)})},
      {
        weight: 1,
        arbitrary: fc.record({kind: fc.constant('restore' as const)}),
      },
    );
    let foundCount = 0;
    await fc.assert(
      fc.asyncProperty(
        fc.array(step, {minLength: 10, maxLength: 40}),
        async steps => {
          const scene = createOriginScene();
          const ids = ['a', 'bb'];
          const running = ids.map(id => scene.start({id}));
          const restart = (index: number) => {
            running[index]!.stop();
            running[index] = scene.start({id: ids[index]!});
          };
          const began: {id: string; version: typeof v1; atMs: number}[] = [];
          await scene.advance(1_000);
          let copy = {atMs: scene.clock.nowMs(), content: scene.origins.copy()};
          for (const next of steps) {
            switch (next.kind) {
              case 'begin': {
                const version = versions[next.n]!;
                const target = running[next.instance]!;
                if (!target.mayBegin(version)) break;
                const id = `r${began.length}`;
                target.begin(id, version);
                began.push({id, version, atMs: scene.clock.nowMs()});
                break;
              }
              case 'find': {
                const stream = began.at(-1 - next.n);
                if (stream === undefined) break;
                // Callers cannot resume streams that are older.
                if (scene.clock.nowMs() - stream.atMs > 25_000) break;
                const found = await running[next.instance]!.find(stream.id);
                if (found !== undefined) foundCount += 1;
                expect(found ?? stream.version).to.equal(stream.version);
                break;
              }
              case 'serve':
                scene.setVersions(...next.serving);
                break;
              case 'wait':
                await advance(scene.clock, next.ms);
                break;
              case 'restart':
                restart(next.instance);
                break;
              case 'restart all':
                ids.forEach((_, index) => restart(index));
                break;
              case 'away':
                scene.origins.setReachable(false);
                await advance(scene.clock, next.ms);
                scene.origins.setReachable(true);
                break;
              case 'copy':
                copy = {
                  atMs: scene.clock.nowMs(),
                  content: scene.origins.copy(),
                };
                break;
              case 'restore':
                // A copy is some seconds old at most.
                if (scene.clock.nowMs() - copy.atMs > 10_000) break;
                scene.origins.restore(copy.content);
            }
          }
          scene.stopAll();
        },
      ),
      {numRuns: 200, seed: 44},
    );
    expect(foundCount).to.be.greaterThan(100);
  });
});
