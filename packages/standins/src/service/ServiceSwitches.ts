/**
 * Fault injection switches of a running plain service stand-in.
 */
import {z} from 'zod';

/** The body of `POST /switches`; absent fields keep their value. */
export const serviceSwitchesSchema = z.strictObject({
  /** Multiplies the time that each call takes. */
  slowFactor: z.number().positive().optional(),
  /** Runs the next N calls but closes their connections without a response. */
  dropAnswers: z.number().int().nonnegative().optional(),
  /** Refuses calls with status 503, without running them, while true. */
  refuse: z.boolean().optional(),
  /** Requests a second that all responses state; an empty text ends it. */
  rateLimit: z.string().optional(),
  /** Crashes immediately, without a response. */
  crash: z.literal(true).optional(),
});

export type ServiceSwitchChange = z.infer<typeof serviceSwitchesSchema>;

export interface ServiceSwitches {
  slowFactor: number;
  dropAnswers: number;
  refuse: boolean;
  rateLimit: string;
}

/** Creates switches with no fault active. */
export function createServiceSwitches(): ServiceSwitches {
  return {slowFactor: 1, dropAnswers: 0, refuse: false, rateLimit: ''};
}

/** Applies a change, except for `crash`, which the caller handles. */
export function applyServiceSwitches(
  switches: ServiceSwitches,
  change: ServiceSwitchChange,
): void {
  if (change.slowFactor !== undefined) switches.slowFactor = change.slowFactor;
  if (change.refuse !== undefined) switches.refuse = change.refuse;
  if (change.rateLimit !== undefined) switches.rateLimit = change.rateLimit;
  if (change.dropAnswers !== undefined) {
    switches.dropAnswers = change.dropAnswers;
  }
}
