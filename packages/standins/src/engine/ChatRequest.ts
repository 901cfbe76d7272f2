/**
 * Parses requests in the OpenAI-compatible chat completion format.
 */
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import {z} from 'zod';
import {defaultPriority} from './EngineConstants.js';
import type {ChatMessage, ContinuationPoint} from './EngineResponses.js';
import {
  findContinuation,
  promptKeyOf,
  promptTokensOf,
  responseLengthOf,
} from './EngineResponses.js';

const chatRequestSchema = z.looseObject({
  model: z.string(),
  messages: z
    .array(z.looseObject({role: z.string(), content: z.string()}))
    .min(1),
  stream: z.boolean().optional(),
  stream_options: z
    .looseObject({include_usage: z.boolean().optional()})
    .optional(),
  max_tokens: z.number().int().positive().optional(),
  max_completion_tokens: z.number().int().positive().optional(),
  priority: z.number().optional(),
  continue_final_message: z.boolean().optional(),
});

/** The generation that a request asks for. */
export interface ChatPlan {
  readonly model: string;
  readonly stream: boolean;
  readonly includeUsage: boolean;
  readonly priority: number;
  readonly promptKey: string;
  /** Prompt text that is prefilled before the first token. */
  readonly promptText: string;
  readonly promptTokens: number;
  /** First token to generate; its index is above 0 for a continuation. */
  readonly from: ContinuationPoint;
  /** Token index at which generation ends. */
  readonly endToken: number;
  readonly finishReason: 'length' | 'stop';
}

/** Validates a request body; the error is the message of a 400 response. */
export function planChat(body: unknown): Result<ChatPlan, string> {
  const parsed = chatRequestSchema.safeParse(body);
  if (!parsed.success) return err(z.prettifyError(parsed.error));
  const request = parsed.data;
  const split = splitPrefix(request.messages, request.continue_final_message);
  if (split === undefined) {
    return err(
      'continue_final_message requires a last message with role assistant',
    );
  }
  const promptKey = promptKeyOf(split.prompt);
  const length = responseLengthOf(split.prompt);
  const from = findContinuation(promptKey, length, split.prefix);
  if (from === undefined) {
    return err('the last message is not a prefix of the response');
  }
  // As in common engines, the limit covers only the tokens of this request.
  const limit = request.max_completion_tokens ?? request.max_tokens ?? Infinity;
  const endToken = Math.min(length, from.tokenIndex + limit);
  return ok({
    model: request.model,
    stream: request.stream ?? false,
    includeUsage: request.stream_options?.include_usage ?? false,
    priority: request.priority ?? defaultPriority,
    promptKey,
    promptText: request.messages.map(m => m.content).join('\n'),
    promptTokens: promptTokensOf(request.messages),
    from,
    endToken,
    finishReason: endToken < length ? 'length' : 'stop',
  });
}

/** Separates the prefix to continue from the prompt. */
function splitPrefix(
  messages: readonly ChatMessage[],
  continues: boolean | undefined,
): {prompt: readonly ChatMessage[]; prefix: string} | undefined {
  if (!continues) return {prompt: messages, prefix: ''};
  const last = messages[messages.length - 1];
  if (last?.role !== 'assistant' || messages.length < 2) return undefined;
  return {prompt: messages.slice(0, -1), prefix: last.content};
}
