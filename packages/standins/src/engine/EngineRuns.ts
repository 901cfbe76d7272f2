/**
 * The runs of an engine: starts them, cancels them when their connection
 * closes, and retains them for the resume window.
 */
import type {Clock, Undo} from '@toucanrouter/common';
import {invariant} from '@toucanrouter/common';
import type {RunJournal} from '../shared/RunJournal.js';
import {createChatFormat} from './ChatFormat.js';
import type {ChatPlan} from './ChatRequest.js';
import type {EngineBatch} from './EngineBatch.js';
import type {EngineProfile} from './EngineConstants.js';
import {maxRunRecords} from './EngineConstants.js';
import type {
  EngineRun,
  EngineRunRecord,
  RunCrash,
  RunSink,
} from './EngineRun.js';
import {createEngineRun} from './EngineRun.js';
import type {EngineSwitches} from './EngineSwitches.js';
import {createPrefixCache} from './PrefixCache.js';

export interface EngineRuns {
  start(requestId: string, plan: ChatPlan, sink: RunSink): EngineRun;
  /** Reports whether the run of this request and prompt is still retained. */
  canResume(requestId: string, plan: ChatPlan): boolean;
  /** Resumes a retained run after the given event. */
  resume(requestId: string, lastEventId: number, sink: RunSink): EngineRun;
  /** Handles the close of the connection behind a sink. */
  connectionClosed(run: EngineRun, sink: RunSink): void;
  records(): readonly EngineRunRecord[];
  /** Number of runs with an open connection. */
  attachedCount(): number;
  close(): void;
}

const charsPerToken = 4;
const millisecondsPerSecond = 1000;

/** Creates the registry of an engine's runs. `crash` ends the engine. */
export function createEngineRuns(
  clock: Clock,
  profile: EngineProfile,
  switches: EngineSwitches,
  batch: EngineBatch,
  journal: RunJournal<EngineRunRecord>,
  crash: () => void,
): EngineRuns {
  const cache = createPrefixCache(profile.cacheBlocks);
  const resumableRuns = new Map<string, EngineRun>();
  const evictionTimers = new Map<EngineRun, Undo>();
  const attachedRuns = new Set<EngineRun>();
  const records: EngineRunRecord[] = [];

  function evict(run: EngineRun): void {
    evictionTimers.get(run)?.();
    evictionTimers.delete(run);
    const id = run.record.requestId;
    if (resumableRuns.get(id) === run) resumableRuns.delete(id);
  }

  function scheduleEviction(run: EngineRun): void {
    if (switches.forgetRuns) return evict(run);
    evictionTimers.get(run)?.();
    evictionTimers.set(
      run,
      clock.after(profile.resumeWindowMs, () => evict(run)),
    );
  }

  function crashOf({promptText}: ChatPlan): RunCrash | undefined {
    const {crashAfterTokens, crashOnText} = switches;
    return crashOnText !== '' && promptText.includes(crashOnText)
      ? {afterTokens: crashAfterTokens, crash}
      : undefined;
  }

  function track(run: EngineRun): void {
    resumableRuns.set(run.record.requestId, run);
    records.push(run.record);
    if (records.length > maxRunRecords) records.shift();
  }

  return {
    start: (requestId, plan, sink) => {
      const createdAtSeconds = Math.floor(
        clock.wallMs() / millisecondsPerSecond,
      );
      const format = createChatFormat(requestId, plan, createdAtSeconds);
      const run = createEngineRun(
        requestId,
        plan,
        format,
        journal,
        crashOf(plan),
      );
      const cachedTokens =
        cache.matchAndInsert(plan.promptText) / charsPerToken;
      run.prefillTokens = Math.max(0, plan.promptTokens - cachedTokens);
      track(run);
      attachedRuns.add(run);
      run.attach(sink, -1);
      batch.add(run);
      return run;
    },
    canResume: (requestId, plan) =>
      resumableRuns.get(requestId)?.plan.promptKey === plan.promptKey,
    resume: (requestId, lastEventId, sink) => {
      const run = resumableRuns.get(requestId);
      invariant(run !== undefined, `run ${requestId} is resumable`);
      evictionTimers.get(run)?.();
      evictionTimers.delete(run);
      const wasAttached = attachedRuns.has(run);
      attachedRuns.add(run);
      run.record.resumed++;
      run.prefillTokens = 0;
      run.attach(sink, lastEventId);
      if (!run.record.finished && !wasAttached) batch.add(run);
      return run;
    },
    connectionClosed: (run, sink) => {
      if (run.attachedTo() !== sink) return;
      run.detach();
      attachedRuns.delete(run);
      if (!run.record.finished) {
        run.record.cancelled++;
        batch.remove(run);
        journal.write(run.record);
      }
      scheduleEviction(run);
    },
    records: () => records,
    attachedCount: () => attachedRuns.size,
    close: () => {
      for (const undo of evictionTimers.values()) undo();
      batch.close();
    },
  };
}
