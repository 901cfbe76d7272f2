/**
 * Schemas of the bodies and queries of the administration API.
 */
import type {
  ConfigApplyRequest,
  ConfigDiffRequest,
  UpstreamChangeRequest,
} from '@toucanrouter/common';
import {RouterError} from '@toucanrouter/common';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import {z} from 'zod';

/** Leaves room for JSON escapes, as the platform stores up to 1 MB a value. */
export const maxClassesTextChars = 400_000;

/** Larger bodies are rejected; a classes file of the maximum size fits. */
export const maxAdminBodyBytes = 1_000_000;

const maxHistoryLimit = 1000;
const defaultHistoryLimit = 20;

const author = z.string().trim().min(1).max(100);
const writeId = z.string().regex(/^[A-Za-z0-9-]{8,64}$/);
const classesText = z.string().max(maxClassesTextChars);
const fileName = z.string().max(300).optional();
const version = z.coerce.number().int().min(0);

/** Body of a diff. */
export const diffRequest: z.ZodType<ConfigDiffRequest> = z.strictObject({
  classesText,
  fileName,
});

/** Body of an apply. */
export const applyRequest: z.ZodType<ConfigApplyRequest> = z.strictObject({
  classesText,
  fileName,
  expectedVersion: z.number().int().min(0),
  author,
  writeId,
});

/** Body of a drain or undrain. */
export const upstreamChangeRequest: z.ZodType<UpstreamChangeRequest> =
  z.strictObject({author, writeId});

/** Query of the history. */
export const historyQuery = z.strictObject({
  limit: z.coerce
    .number()
    .int()
    .min(1)
    .max(maxHistoryLimit)
    .default(defaultHistoryLimit),
});

/** Query of the instances with a version in force, by default the current. */
export const inForceQuery = z.strictObject({version: version.optional()});

/** Validates a value by a schema; the error names each faulty field. */
export function validate<T>(
  schema: z.ZodType<T>,
  value: unknown,
): Result<T, RouterError> {
  const result = schema.safeParse(value);
  if (result.success) return ok(result.data);
  const reasons = result.error.issues.map(issue => {
    const field = issue.path.join('.');
    return field === '' ? issue.message : `${field}: ${issue.message}`;
  });
  return err(
    new RouterError(
      'bad_request',
      `the request is not valid: ${reasons.join('; ')}`,
    ),
  );
}
