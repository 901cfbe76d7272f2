/**
 * Fault injection switches of a running engine stand-in.
 */
import {z} from 'zod';

const streamCutSchema = z.strictObject({
  count: z.number().int().nonnegative(),
  afterTokens: z.number().int().nonnegative(),
  /** Cuts new streams only, not resumed or continued ones. */
  freshOnly: z.boolean().optional(),
});

/** The body of `POST /switches`; absent fields keep their value. */
export const engineSwitchesSchema = z.strictObject({
  /** Multiplies the token gap and the prefill time. */
  slowFactor: z.number().positive().optional(),
  /** Crashes immediately, without a response. */
  crash: z.literal(true).optional(),
  /**
   * Crashes while it answers a prompt that contains this text; an empty text
   * ends the fault.
   */
  crashOnText: z.string().optional(),
  /** Tokens that it sends before such a crash. */
  crashAfterTokens: z.number().int().nonnegative().optional(),
  /**
   * Breaks the connections of the next `count` streams after `afterTokens`
   * tokens.
   */
  breakStreams: streamCutSchema.optional(),
  /** Generates no tokens while true; connections stay open. */
  stall: z.boolean().optional(),
  /** Rejects new requests with status 503 while true. */
  refuse: z.boolean().optional(),
  /** Requests a second that all responses state; an empty text ends it. */
  rateLimit: z.string().optional(),
  /**
   * Evicts runs as soon as their connection closes, so that none can be
   * resumed.
   */
  forgetRuns: z.boolean().optional(),
  /**
   * Ends the next `count` streams cleanly after `afterTokens` tokens, without
   * the end marker.
   */
  truncateStreams: streamCutSchema.optional(),
});

export type EngineSwitchChange = z.infer<typeof engineSwitchesSchema>;

/** Cuts that remain for the next streams. */
export interface StreamCut {
  count: number;
  afterTokens: number;
  freshOnly?: boolean;
}

export interface EngineSwitches {
  crashOnText: string;
  crashAfterTokens: number;
  slowFactor: number;
  stall: boolean;
  refuse: boolean;
  rateLimit: string;
  forgetRuns: boolean;
  breakStreams: StreamCut;
  truncateStreams: StreamCut;
}

/** Creates switches with no fault active. */
export function createEngineSwitches(): EngineSwitches {
  return {
    crashOnText: '',
    crashAfterTokens: 0,
    slowFactor: 1,
    stall: false,
    refuse: false,
    rateLimit: '',
    forgetRuns: false,
    breakStreams: {count: 0, afterTokens: 0},
    truncateStreams: {count: 0, afterTokens: 0},
  };
}

/** Applies a change, except for `crash`, which the caller handles. */
export function applyEngineSwitches(
  switches: EngineSwitches,
  change: EngineSwitchChange,
): void {
  if (change.slowFactor !== undefined) switches.slowFactor = change.slowFactor;
  if (change.crashOnText !== undefined) {
    switches.crashOnText = change.crashOnText;
  }
  if (change.crashAfterTokens !== undefined) {
    switches.crashAfterTokens = change.crashAfterTokens;
  }
  if (change.stall !== undefined) switches.stall = change.stall;
  if (change.refuse !== undefined) switches.refuse = change.refuse;
  if (change.rateLimit !== undefined) switches.rateLimit = change.rateLimit;
  if (change.forgetRuns !== undefined) switches.forgetRuns = change.forgetRuns;
  if (change.breakStreams) switches.breakStreams = {...change.breakStreams};
  if (change.truncateStreams) {
    switches.truncateStreams = {...change.truncateStreams};
  }
}
