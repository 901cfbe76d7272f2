import {expect} from 'chai';
import {createEventLoop} from '../../EventLoop.js';
import type {EngineJob} from '../../FakeEngine.js';
import {createFakeEngine} from '../../FakeEngine.js';
import {loadWorkload} from '../../Workload.js';

const spec = {...loadWorkload('tkacik').engine, maxBatch: 2};

function setup() {
  const loop = createEventLoop();
  const engine = createFakeEngine(loop, spec);
  const seen: string[] = [];
  function start(name: string, changes: Partial<EngineJob> = {}) {
    return engine.start({
      priority: 1,
      prefillTokens: 100,
      contextTokens: 100,
      outputTokens: 3,
      onToken: () => {},
      onDone: () => seen.push(`${name} done`),
      onFailed: () => seen.push(`${name} broken`),
      ...changes,
    });
  }
  return {loop, engine, seen, start};
}

describe('createEventLoop', () => {
  it('runs events by time and then by insertion order, so that runs are reproducible', () => {
    const loop = createEventLoop();
    const seen: string[] = [];
    for (const [name, delayMs] of Object.entries({c: 2, a: 1, b: 1})) {
      loop.after(delayMs, () => seen.push(`${name} at ${loop.nowMs()}`));
    }
    loop.run(10);
    expect(seen).to.deep.equal(['a at 1', 'b at 1', 'c at 2']);
  });
});

describe('createFakeEngine', () => {
  it('decodes more slowly with a larger batch and with a slowdown factor', () => {
    const durations = [1, 2].map(count => {
      const {loop, seen, start} = setup();
      for (let i = 0; i < count; i++) start('job');
      for (; seen.length < count; loop.run(loop.nowMs() + 0.1));
      return loop.nowMs();
    });
    expect(durations[1]).to.be.greaterThan(durations[0]!);
    const {loop, engine, seen, start} = setup();
    engine.slowDown(10);
    start('job');
    loop.run(durations[0]! * 9);
    expect(seen).to.deep.equal([]);
  });

  it('admits waiting jobs by priority when the batch is full', () => {
    const {loop, seen, start} = setup();
    start('first');
    start('second');
    start('low', {priority: 4});
    start('high', {priority: 1, outputTokens: 1});
    loop.run(10_000);
    expect(seen.indexOf('high done')).to.be.lessThan(seen.indexOf('low done'));
  });

  it('fails running jobs at a crash and new ones until it is restarted', () => {
    const {loop, engine, seen, start} = setup();
    start('running');
    loop.run(10);
    engine.crash();
    start('refused');
    loop.run(20);
    engine.restart();
    start('later');
    loop.run(10_000);
    expect(seen).to.deep.equal([
      'running broken',
      'refused broken',
      'later done',
    ]);
  });

  it('does not run canceled jobs to completion', () => {
    const {loop, seen, start} = setup();
    start('canceled').cancel();
    start('kept');
    loop.run(10_000);
    expect(seen).to.deep.equal(['kept done']);
  });
});
