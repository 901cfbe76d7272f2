/**
 * Fault injection switches of the platform stand-in.
 */
import type {Clock, Undo} from '@toucanrouter/common';
import {z} from 'zod';

const nonNegativeInteger = z.number().int().nonnegative();

/** Schema of a change of switches; absent fields keep their value. */
export const switchChangeSchema = z.strictObject({
  /**
   * `refuse` fails every call as "unavailable" and cuts watches, `hang` never
   * responds; true means `refuse`, false `off`.
   */
  outage: z
    .union([z.boolean(), z.enum(['off', 'refuse', 'hang'])])
    .transform(value =>
      value === true ? 'refuse' : value === false ? 'off' : value,
    )
    .optional(),
  /** Delay before each call takes effect. */
  delayMs: nonNegativeInteger.optional(),
  /** The next N writes take effect but get no response. */
  loseWriteAnswers: nonNegativeInteger.optional(),
  /** The next N writes take effect but fail as "unavailable". */
  failWriteAnswers: nonNegativeInteger.optional(),
  /** The next N writes fail as "unavailable" and do not take effect. */
  refuseWrites: nonNegativeInteger.optional(),
  /** An outage (`refuse`) starts after this time. */
  failAfterMs: nonNegativeInteger.optional(),
  /** A current or scheduled outage ends this long after now. */
  recoverAfterMs: nonNegativeInteger.optional(),
  /** The instance list responds with status 503. */
  listOutage: z.boolean().optional(),
  /** Time until changes of the instance list become visible. */
  listLagMs: nonNegativeInteger.optional(),
  /** Discards all versions before the current revision. */
  compact: z.boolean().optional(),
  /** Breaks all open watch streams once. */
  cutWatches: z.boolean().optional(),
});

/** A validated change of switches. */
export type SwitchChange = z.infer<typeof switchChangeSchema>;

/** A change of switches before validation. */
export type SwitchChangeInput = z.input<typeof switchChangeSchema>;

export interface SwitchState {
  readonly outage: 'off' | 'refuse' | 'hang';
  readonly delayMs: number;
  readonly loseWriteAnswers: number;
  readonly failWriteAnswers: number;
  readonly refuseWrites: number;
  readonly listOutage: boolean;
  readonly listLagMs: number;
}

/** Fault that applies to one write. */
export type WriteFault = 'none' | 'refuse' | 'lose_answer' | 'fail_answer';

export interface Switches {
  state(): SwitchState;
  apply(change: SwitchChange): void;
  /** Returns the fault of the next write and decrements its counter. */
  consumeWriteFault(): WriteFault;
  registerOutageListener(listener: () => void): Undo;
  close(): void;
}

const initialState: SwitchState = {
  outage: 'off',
  delayMs: 0,
  loseWriteAnswers: 0,
  failWriteAnswers: 0,
  refuseWrites: 0,
  listOutage: false,
  listLagMs: 0,
};

/** Creates switches with no fault active. */
export function createSwitches(clock: Clock, listLagMs: number): Switches {
  const listeners = new Set<() => void>();
  const timers = new Set<Undo>();
  let state: SwitchState = {...initialState, listLagMs};

  function setOutage(outage: SwitchState['outage']): void {
    state = {...state, outage};
    if (outage !== 'off') for (const listener of listeners) listener();
  }

  function scheduleOutage(
    outage: SwitchState['outage'],
    delayMs: number | undefined,
  ): void {
    if (delayMs === undefined) return;
    timers.add(clock.after(delayMs, () => setOutage(outage)));
  }

  function consume(
    name: 'refuseWrites' | 'loseWriteAnswers' | 'failWriteAnswers',
  ): boolean {
    if (state[name] === 0) return false;
    state = {...state, [name]: state[name] - 1};
    return true;
  }

  return {
    state: () => state,
    apply: change => {
      const changed = {
        delayMs: change.delayMs ?? state.delayMs,
        loseWriteAnswers: change.loseWriteAnswers ?? state.loseWriteAnswers,
        failWriteAnswers: change.failWriteAnswers ?? state.failWriteAnswers,
        refuseWrites: change.refuseWrites ?? state.refuseWrites,
        listOutage: change.listOutage ?? state.listOutage,
        listLagMs: change.listLagMs ?? state.listLagMs,
      };
      state = {...state, ...changed};
      if (change.outage !== undefined) setOutage(change.outage);
      scheduleOutage('refuse', change.failAfterMs);
      scheduleOutage('off', change.recoverAfterMs);
    },
    consumeWriteFault: () => {
      if (consume('refuseWrites')) return 'refuse';
      if (consume('loseWriteAnswers')) return 'lose_answer';
      if (consume('failWriteAnswers')) return 'fail_answer';
      return 'none';
    },
    registerOutageListener: listener => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    close: () => {
      for (const stop of timers) stop();
    },
  };
}
