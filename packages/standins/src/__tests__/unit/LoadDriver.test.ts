import {readFileSync} from 'node:fs';
import type {ServiceClass} from '@toucanrouter/common';
import {parseClasses} from '@toucanrouter/settings';
import {expect} from 'chai';
import type {EngineStandIn} from '../../index.js';
import {createEngineStandIn} from '../../index.js';
import {createFixedPool} from '../../load/EntryPool.js';
import type {LoadRunReport} from '../../load/LoadDriver.js';
import {runLoad} from '../../load/LoadDriver.js';
import {planLoad} from '../../load/LoadPlan.js';
import type {LoadProfile} from '../../load/LoadProfile.js';
import {parseLoadProfile, readLoadProfile} from '../../load/LoadProfile.js';
import type {Observation} from '../../load/Observation.js';
import {findFaults, runKeyOf} from '../../load/Oracle.js';
import {serviceRefusalType} from '../../service/ServiceResponses.js';
import type {UpstreamRuns} from '../../load/UpstreamRuns.js';

const classes: readonly ServiceClass[] = readClasses('tkacik');

function readClasses(deployment: string): readonly ServiceClass[] {
  const file = `samples/${deployment}.classes.ini`;
  return parseClasses(readFileSync(file, 'utf8'), file)._unsafeUnwrap().classes;
}

function planOf(seed: number) {
  const profile = readLoadProfile('samples/tkacik.load.ini');
  return planLoad({
    profile,
    classes,
    seconds: 20,
    seed,
    rateFactor: 1,
    tag: 't',
  });
}

function chatProfile(): LoadProfile {
  const text = [
    '[load]',
    'deployment = test',
    '[class.fitting-answer]',
    'rate_per_second = 40',
    'output_tokens_median = 10',
    '[workspace.martin]',
    'key = key-martin',
    'weight = 1',
  ].join('\n');
  return parseLoadProfile(text, 'test');
}

/** Sends chat requests directly to an engine, in place of an entry instance. */
function loadEngine(engine: EngineStandIn): Promise<LoadRunReport> {
  return runLoad({
    profile: chatProfile(),
    classes,
    entries: createFixedPool([engine.address]),
    seconds: 0.5,
    readRuns: () =>
      Promise.resolve({
        engineRuns: engine.runs(),
        serviceRuns: [],
        unreachable: [],
      }),
  });
}

describe('planLoad', () => {
  it('derives the same plan from the same seed, so that a run is reproducible', () => {
    expect(planOf(3)).to.deep.equal(planOf(3));
    expect(planOf(3)).to.not.deep.equal(planOf(4));
  });

  it('plans every class of both samples, so that none remains untested', () => {
    for (const deployment of ['tkacik', 'plamenik']) {
      const profile = readLoadProfile(`samples/${deployment}.load.ini`);
      const own = readClasses(deployment);
      const planned = planLoad({
        profile,
        classes: own,
        seconds: 20,
        seed: 1,
        rateFactor: 1,
        tag: 't',
      });
      const ids = new Set(planned.map(r => r.classId));
      expect([...ids].sort()).to.deep.equal(own.map(c => `${c.id}`).sort());
    }
  });

  it('retries some calls with the same idempotency key', () => {
    const orders = planOf(1).filter(r => r.classId === 'cloth-order');
    const keys = new Set(orders.map(runKeyOf));
    expect(keys.size).to.be.lessThan(orders.length);
    expect(new Set(orders.map(r => r.requestId)).size).to.equal(orders.length);
  });
});

describe('runLoad', () => {
  let engine: EngineStandIn;

  beforeEach(async () => {
    const profile = {tokenGapMs: 1};
    const model = 'kilt-advisor';
    engine = await createEngineStandIn({id: 'e1', model, profile});
  });

  afterEach(() => engine.close());

  it('finds no fault in complete responses', async () => {
    const report = await loadEngine(engine);
    expect(report.faults).to.deep.equal([]);
    expect(report.summaries[0]?.completed).to.equal(report.observations.length);
  });

  it('detects a stream that closes cleanly without the end marker', async () => {
    engine.switch({truncateStreams: {count: 1, afterTokens: 3}});
    const messages = (await loadEngine(engine)).faults.map(f => f.message);
    expect(messages).to.include('the stream ended cleanly without [DONE]');
  });

  it('reports no fault for a broken connection, which the caller can detect', async () => {
    engine.switch({breakStreams: {count: 2, afterTokens: 3}});
    const report = await loadEngine(engine);
    expect(report.faults).to.deep.equal([]);
    expect(report.summaries[0]?.broken).to.equal(2);
  });
});

describe('findFaults', () => {
  const planned = planOf(1).find(r => r.classId === 'cloth-order')!;
  const refusal: Observation = {
    planned,
    entry: 'e',
    outcome: 'refused',
    errorType: 'overloaded',
    runStatus: 'not_run',
    text: '',
    totalMs: 5,
    faults: [],
  };

  function runsOf(count: number): UpstreamRuns {
    const run = {
      requestKey: runKeyOf(planned),
      method: 'POST',
      path: '/orders',
      answerDropped: false,
    };
    const serviceRuns = Array.from({length: count}, () => run);
    return {engineRuns: [], serviceRuns, unreachable: []};
  }

  it('finds an order that ran although it was reported as not_run', () => {
    expect(findFaults([refusal], runsOf(0))).to.have.length(0);
    expect(findFaults([refusal], runsOf(1))).to.have.length(1);
  });

  it('finds an order that ran although its service refused it', () => {
    const refused: Observation = {
      ...refusal,
      outcome: 'failed',
      errorType: serviceRefusalType,
    };
    expect(findFaults([refused], runsOf(0))).to.have.length(0);
    expect(findFaults([refused], runsOf(1))).to.have.length(1);
  });

  it('finds an order that ran twice', () => {
    const unknown: Observation = {...refusal, outcome: 'failed'};
    expect(findFaults([unknown], runsOf(1))).to.have.length(0);
    expect(findFaults([unknown], runsOf(2))).to.have.length(1);
  });
});
