/**
 * Runs an attempt and, if it stalls, further ones beside it on other upstreams.
 * The first attempt that makes progress goes on, and the others are canceled. A
 * stalled attempt is not given up before another one has delivered something:
 * its upstream may go on after a pause, and the other attempts may fail.
 */
import type {Choice} from '../upstreams/UpstreamChoice.js';
import type {Attempt, AttemptResult} from './Attempt.js';

/** What an attempt tells the race while it runs. */
export interface AttemptObserver {
  /** The attempt delivers an event. */
  onProgress(): void;
  /** The attempt has made no progress since `lastEventId`. */
  onStalled(lastEventId: string | undefined): void;
}

/** An attempt on a chosen upstream. */
export interface PlacedAttempt {
  readonly choice: Choice;
  readonly attempt: Attempt;
}

/** An attempt that has ended. */
export interface EndedAttempt extends PlacedAttempt {
  readonly result: AttemptResult;
  /** True when it was canceled because another attempt made progress. */
  readonly superseded: boolean;
}

interface RunningAttempt extends PlacedAttempt {
  /** True while it makes no progress. */
  stalled: boolean;
}

/** Options of a race. */
export interface AttemptRaceOptions {
  readonly choice: Choice;
  readonly start: (choice: Choice, observer: AttemptObserver) => Attempt;
  /**
   * Returns the upstream for an attempt beside those that run, or undefined if
   * there is none or the request's class does not allow it.
   */
  readonly chooseAnother: (
    lastEventId: string | undefined,
  ) => Choice | undefined;
  /** Returns whether the result completes the request. */
  readonly isFinal: (result: AttemptResult) => boolean;
  /** Called when an attempt failed or was canceled while another one goes on. */
  readonly onDiscarded: (ended: EndedAttempt) => void;
}

/** A running race. */
export interface AttemptRace {
  /** The attempt that completed the request, or the last one that failed. */
  readonly ended: Promise<EndedAttempt>;
  wasSent(): boolean;
  cancel(reason: string): void;
}

const supersededReason = 'another attempt made progress first';

/** Starts the first attempt. */
export function startAttemptRace(options: AttemptRaceOptions): AttemptRace {
  const running: RunningAttempt[] = [];
  let resolveEnded: (ended: EndedAttempt) => void = () => undefined;
  const ended = new Promise<EndedAttempt>(resolve => {
    resolveEnded = resolve;
  });

  function remove(placed: RunningAttempt): boolean {
    const index = running.indexOf(placed);
    if (index >= 0) running.splice(index, 1);
    return index >= 0;
  }

  function cancelOthers(winner: RunningAttempt): void {
    for (const placed of running.filter(other => other !== winner)) {
      remove(placed);
      const kind = placed.attempt.wasSent() ? 'broken' : 'unsent';
      placed.attempt.cancel(supersededReason);
      const result = {kind, reason: supersededReason} as const;
      options.onDiscarded({...placed, result, superseded: true});
    }
  }

  function askAnother(lastEventId: string | undefined): void {
    const another = options.chooseAnother(lastEventId);
    if (another !== undefined) start(another);
  }

  function onEnded(placed: RunningAttempt, result: AttemptResult): void {
    if (!remove(placed)) return;
    const newest = running.at(-1);
    if (newest !== undefined && !options.isFinal(result)) {
      options.onDiscarded({...placed, result, superseded: false});
      if (newest.stalled) askAnother(newest.attempt.lastEventId());
      return;
    }
    cancelOthers(placed);
    resolveEnded({...placed, result, superseded: false});
  }

  function start(choice: Choice): void {
    const attempt = options.start(choice, {
      onProgress: () => {
        placed.stalled = false;
        if (running.length > 1) cancelOthers(placed);
      },
      onStalled: lastEventId => {
        placed.stalled = true;
        // Only the newest one counts, since the others are known to stall.
        if (running.at(-1) === placed) askAnother(lastEventId);
      },
    });
    const placed: RunningAttempt = {choice, attempt, stalled: false};
    running.push(placed);
    void attempt.result.then(result => onEnded(placed, result));
  }

  start(options.choice);
  return {
    ended,
    wasSent: () => running.some(({attempt}) => attempt.wasSent()),
    cancel: reason => {
      for (const {attempt} of [...running]) attempt.cancel(reason);
    },
  };
}
