/**
 * Faults that tests turn on in a running engine stand-in.
 */
import {z} from 'zod';

const streamCutSchema = z.strictObject({
  count: z.number().int().nonnegative(),
  afterTokens: z.number().int().nonnegative(),
  /** Spares resumed and continued streams. */
  freshOnly: z.boolean().optional(),
});

/** The body of `POST /switches`; fields that are absent stay as they are. */
export const engineSwitchesSchema = z.strictObject({
  /** Multiplies token gap and prefill cost. */
  slowFactor: z.number().positive().optional(),
  /** Exits at once, without an answer. */
  crash: z.literal(true).optional(),
  /** Breaks the next `count` streams after `afterTokens` tokens. */
  breakStreams: streamCutSchema.optional(),
  /** Generates nothing while true; connections stay open. */
  stall: z.boolean().optional(),
  /** Answers 503 to new requests while true. */
  refuse: z.boolean().optional(),
  /** Forgets runs at once when they break, so that none can be resumed. */
  forgetRuns: z.boolean().optional(),
  /** Ends the next `count` streams cleanly after `afterTokens` tokens, without an end marker. */
  truncateStreams: streamCutSchema.optional(),
});

/** Changes to the switches of an engine. */
export type EngineSwitchChange = z.infer<typeof engineSwitchesSchema>;

/** A number of streams that are to be cut. */
export interface StreamCut {
  count: number;
  afterTokens: number;
  freshOnly?: boolean;
}

/** The switches of an engine. */
export interface EngineSwitches {
  slowFactor: number;
  stall: boolean;
  refuse: boolean;
  forgetRuns: boolean;
  breakStreams: StreamCut;
  truncateStreams: StreamCut;
}

/** Creates switches that are all off. */
export function createEngineSwitches(): EngineSwitches {
  return {
    slowFactor: 1,
    stall: false,
    refuse: false,
    forgetRuns: false,
    breakStreams: {count: 0, afterTokens: 0},
    truncateStreams: {count: 0, afterTokens: 0},
  };
}

/** Applies a change; `crash` is left to the caller. */
export function applyEngineSwitches(
  switches: EngineSwitches,
  change: EngineSwitchChange,
): void {
  if (change.slowFactor !== undefined) switches.slowFactor = change.slowFactor;
  if (change.stall !== undefined) switches.stall = change.stall;
  if (change.refuse !== undefined) switches.refuse = change.refuse;
  if (change.forgetRuns !== undefined) switches.forgetRuns = change.forgetRuns;
  if (change.breakStreams) switches.breakStreams = {...change.breakStreams};
  if (change.truncateStreams) {
    switches.truncateStreams = {...change.truncateStreams};
  }
}
