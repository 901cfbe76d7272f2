/**
 * The runs of an engine: starts them, cancels them when their connection
 * closes, and keeps them for a while so that they can be resumed.
 */
import type {Clock, Undo} from '@toucanrouter/common';
import {invariant} from '@toucanrouter/common';
import type {RunJournal} from '../shared/RunJournal.js';
import {createChatFormat} from './ChatFormat.js';
import type {ChatPlan} from './ChatRequest.js';
import type {EngineBatch} from './EngineBatch.js';
import type {EngineProfile} from './EngineConstants.js';
import {maxRunRecords} from './EngineConstants.js';
import type {EngineRun, EngineRunRecord, RunSink} from './EngineRun.js';
import {createEngineRun} from './EngineRun.js';
import type {EngineSwitches} from './EngineSwitches.js';
import {createPrefixCache} from './PrefixCache.js';

/** The runs of one engine. */
export interface EngineRuns {
  start(requestId: string, plan: ChatPlan, sink: RunSink): EngineRun;
  /** Tells whether the run of this request and prompt is still kept. */
  canResume(requestId: string, plan: ChatPlan): boolean;
  /** Goes on with a kept run. */
  resume(requestId: string, lastEventId: number, sink: RunSink): EngineRun;
  /** Called when the connection of a sink closed. */
  connectionClosed(run: EngineRun, sink: RunSink): void;
  records(): readonly EngineRunRecord[];
  /** Runs with a connection. */
  attachedCount(): number;
  close(): void;
}

const charsPerToken = 4;
const millisecondsPerSecond = 1000;

/** Creates the run store of an engine. */
export function createEngineRuns(
  clock: Clock,
  profile: EngineProfile,
  switches: EngineSwitches,
  batch: EngineBatch,
  journal: RunJournal<EngineRunRecord>,
): EngineRuns {
  const cache = createPrefixCache(profile.cacheBlocks);
  const resumable = new Map<string, EngineRun>();
  const expiries = new Map<EngineRun, Undo>();
  const attached = new Set<EngineRun>();
  const records: EngineRunRecord[] = [];

  function forget(run: EngineRun): void {
    expiries.get(run)?.();
    expiries.delete(run);
    const id = run.record.requestId;
    if (resumable.get(id) === run) resumable.delete(id);
  }

  function keepForAWhile(run: EngineRun): void {
    if (switches.forgetRuns) return forget(run);
    expiries.get(run)?.();
    expiries.set(
      run,
      clock.after(profile.resumeWindowMs, () => forget(run)),
    );
  }

  function remember(run: EngineRun): void {
    resumable.set(run.record.requestId, run);
    records.push(run.record);
    if (records.length > maxRunRecords) records.shift();
  }

  return {
    start: (requestId, plan, sink) => {
      const createdAtSeconds = Math.floor(
        clock.wallMs() / millisecondsPerSecond,
      );
      const format = createChatFormat(requestId, plan, createdAtSeconds);
      const run = createEngineRun(requestId, plan, format, journal);
      const cachedTokens = cache.visit(plan.promptText) / charsPerToken;
      run.prefillTokens = Math.max(0, plan.promptTokens - cachedTokens);
      remember(run);
      attached.add(run);
      run.attach(sink, -1);
      batch.add(run);
      return run;
    },
    canResume: (requestId, plan) =>
      resumable.get(requestId)?.plan.promptKey === plan.promptKey,
    resume: (requestId, lastEventId, sink) => {
      const run = resumable.get(requestId);
      invariant(run !== undefined, `run ${requestId} is kept`);
      expiries.get(run)?.();
      expiries.delete(run);
      const wasAttached = attached.has(run);
      attached.add(run);
      run.record.resumed++;
      run.prefillTokens = 0;
      run.attach(sink, lastEventId);
      if (!run.record.finished && !wasAttached) batch.add(run);
      return run;
    },
    connectionClosed: (run, sink) => {
      if (run.attachedTo() !== sink) return;
      run.detach();
      attached.delete(run);
      if (!run.record.finished) {
        run.record.cancelled++;
        batch.remove(run);
        journal.write(run.record);
      }
      keepForAWhile(run);
    },
    records: () => records,
    attachedCount: () => attached.size,
    close: () => {
      for (const undo of expiries.values()) undo();
      batch.close();
    },
  };
}
