/**
 * Parses chat-completion requests in the OpenAI-compatible format, as far as
 * the router needs their fields, and builds the bodies of upstream requests.
 */
import {hash64, RouterError} from '@toucanrouter/common';
import type {SegmentHash} from '@toucanrouter/policy';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import {z} from 'zod';
import {sharedSegmentsOf} from './PromptSegments.js';

const chatBodySchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(z.looseObject({role: z.string()})).min(1),
  stream: z.boolean().nullish(),
  stream_options: z
    .looseObject({include_usage: z.boolean().nullish()})
    .nullish(),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
  n: z.number().int().positive().nullish(),
});

/** A validated request body; fields unknown to the router are preserved. */
export type ChatBody = z.infer<typeof chatBodySchema>;

/** A validated chat-completion request. */
export interface ChatRequest {
  readonly body: ChatBody;
  readonly streamed: boolean;
  readonly wantsUsage: boolean;
  readonly promptTokens: number;
  readonly prefixHash: string;
  /** Parts of the prompt that other requests may share. */
  readonly sharedSegments: readonly SegmentHash[];
}

const charsPerToken = 4;
const prefixHashChars = 2_048;

/** Parses and validates the body of a chat-completion request. */
export function parseChatRequest(
  body: Buffer,
): Result<ChatRequest, RouterError> {
  const json = parseJson(body);
  if (json.isErr()) return err(json.error);
  const parsed = chatBodySchema.safeParse(json.value);
  if (!parsed.success) {
    return err(new RouterError('bad_request', z.prettifyError(parsed.error)));
  }
  if ((parsed.data.n ?? 1) > 1) {
    const message = 'n must be 1; only one choice per request is supported';
    return err(new RouterError('bad_request', message));
  }
  const prompt = JSON.stringify(parsed.data.messages);
  return ok({
    body: parsed.data,
    streamed: parsed.data.stream ?? false,
    wantsUsage: parsed.data.stream_options?.include_usage ?? false,
    promptTokens: Math.ceil(prompt.length / charsPerToken),
    prefixHash: hash64(prompt.slice(0, prefixHashChars)).toString(36),
    sharedSegments: sharedSegmentsOf(parsed.data.model, parsed.data.messages),
  });
}

function parseJson(body: Buffer): Result<unknown, RouterError> {
  try {
    return ok(JSON.parse(body.toString('utf8')));
  } catch (cause) {
    const message = 'the request body is not valid JSON';
    return err(new RouterError('bad_request', message, {cause}));
  }
}

/** Text from which another attempt continues a broken or preempted one. */
export interface ReceivedPrefix {
  readonly text: string;
  readonly tokens: number;
}

/** Builds the body of an upstream request that continues from `prefix`. */
export function toUpstreamBody(
  request: ChatRequest,
  priority: number,
  prefix: ReceivedPrefix | undefined,
): string {
  const base = {
    ...request.body,
    stream: true,
    stream_options: {...request.body.stream_options, include_usage: true},
    priority,
  };
  if (prefix === undefined) return JSON.stringify(base);
  return JSON.stringify({
    ...base,
    ...remainingLimits(request.body, prefix.tokens),
    messages: [
      ...request.body.messages,
      {role: 'assistant', content: prefix.text},
    ],
    continue_final_message: true,
    add_generation_prompt: false,
  });
}

/** Token limits apply to the whole response, so a prefix counts toward them. */
function remainingLimits(body: ChatBody, tokens: number): Partial<ChatBody> {
  const limits: Partial<ChatBody> = {};
  if (body.max_tokens)
    limits.max_tokens = Math.max(1, body.max_tokens - tokens);
  if (body.max_completion_tokens) {
    const remaining = body.max_completion_tokens - tokens;
    limits.max_completion_tokens = Math.max(1, remaining);
  }
  return limits;
}
