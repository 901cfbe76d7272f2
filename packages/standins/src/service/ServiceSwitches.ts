/**
 * Faults that tests turn on in a running plain service stand-in.
 */
import {z} from 'zod';

/** The body of `POST /switches`; fields that are absent stay as they are. */
export const serviceSwitchesSchema = z.strictObject({
  /** Multiplies the work time. */
  slowFactor: z.number().positive().optional(),
  /** Runs the next calls and closes their connections without an answer. */
  dropAnswers: z.number().int().nonnegative().optional(),
  /** Answers 503 without running while true. */
  refuse: z.boolean().optional(),
  /** Exits at once, without an answer. */
  crash: z.literal(true).optional(),
});

/** Changes to the switches of a service. */
export type ServiceSwitchChange = z.infer<typeof serviceSwitchesSchema>;

/** The switches of a service. */
export interface ServiceSwitches {
  slowFactor: number;
  dropAnswers: number;
  refuse: boolean;
}

/** Creates switches that are all off. */
export function createServiceSwitches(): ServiceSwitches {
  return {slowFactor: 1, dropAnswers: 0, refuse: false};
}

/** Applies a change; `crash` is left to the caller. */
export function applyServiceSwitches(
  switches: ServiceSwitches,
  change: ServiceSwitchChange,
): void {
  if (change.slowFactor !== undefined) switches.slowFactor = change.slowFactor;
  if (change.refuse !== undefined) switches.refuse = change.refuse;
  if (change.dropAnswers !== undefined) {
    switches.dropAnswers = change.dropAnswers;
  }
}
