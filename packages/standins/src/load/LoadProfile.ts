/**
 * Load profiles: the kinds, rates and sizes of the requests that callers send.
 */
import {readFileSync} from 'node:fs';
import {parse} from 'ini';
import {z} from 'zod';

const positive = z.coerce.number().positive();
const atLeastZero = z.coerce.number().nonnegative();
const share = z.coerce.number().min(0).max(1);
const yesNo = z.enum(['yes', 'no']).transform(text => text === 'yes');
const list = z.string().transform(text => text.split(',').map(s => s.trim()));

const classSchema = z.strictObject({
  rate_per_second: positive,
  /** The rate is multiplied by this factor during bursts. */
  burst_factor: positive.prefault(1),
  burst_every_seconds: positive.prefault(10),
  burst_seconds: atLeastZero.prefault(0),
  /** Median and spread (sigma) of log-normally distributed lengths. */
  prompt_tokens_median: positive.prefault(100),
  prompt_tokens_spread: atLeastZero.prefault(0.5),
  output_tokens_median: positive.prefault(40),
  output_tokens_spread: atLeastZero.prefault(0.4),
  /** This share of the responses is `long_factor` times longer. */
  long_share: share.prefault(0),
  long_factor: positive.prefault(1),
  streamed_share: share.prefault(1),
  /** Share of responses that the caller's max_tokens cuts in half. */
  cut_share: share.prefault(0),
  abandoned_share: share.prefault(0),
  /** Whether callers send the class in the x-service-class header. */
  named: yesNo.prefault('yes'),
  timeout_ms: positive.prefault(30_000),
  method: z.string().prefault('POST'),
  paths: list.prefault('/'),
  /** Share of requests that retry the previous one with its idempotency key. */
  repeated_key_share: share.prefault(0),
});

const profileSchema = z.strictObject({
  load: z.strictObject({
    deployment: z.string(),
    seed: z.coerce.number().int().prefault(1),
    /** The rates of all classes oscillate by this share around their mean. */
    swing_depth: share.prefault(0),
    swing_seconds: positive.prefault(20),
  }),
  workspace: z.record(
    z.string(),
    z.strictObject({key: z.string(), weight: positive}),
  ),
  class: z.record(z.string(), classSchema),
});

export type ClassLoad = z.output<typeof classSchema>;

/** A load profile; field names match the keys of the file. */
export type LoadProfile = z.output<typeof profileSchema>;

/** Parses a profile; throws an error that lists every invalid field. */
export function parseLoadProfile(text: string, file: string): LoadProfile {
  const parsed = profileSchema.safeParse(toPlain(parse(text)));
  if (parsed.success) return parsed.data;
  throw new Error(`${file}: ${z.prettifyError(parsed.error)}`);
}

export function readLoadProfile(file: string): LoadProfile {
  return parseLoadProfile(readFileSync(file, 'utf8'), file);
}

/**
 * Converts the prototype-less objects of the `ini` library to plain objects.
 */
function toPlain(value: unknown): unknown {
  return JSON.parse(JSON.stringify(value)) as unknown;
}
