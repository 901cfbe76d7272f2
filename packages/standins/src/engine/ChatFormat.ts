/**
 * Responses in the OpenAI-compatible chat completion format.
 */
import type {ChatPlan} from './ChatRequest.js';

export interface ChatUsage {
  readonly prompt_tokens: number;
  readonly completion_tokens: number;
  readonly total_tokens: number;
}

/** Serializes the chunks of one streamed response, or the complete document. */
export interface ChatFormat {
  role(): string;
  token(text: string): string;
  finish(): string;
  usage(completionTokens: number): string;
  completion(text: string, completionTokens: number): unknown;
}

/** The end marker of a complete stream. */
export const doneEvent = 'data: [DONE]\n\n';

/** Formats one server-sent event. */
export function toEvent(id: number, data: string): string {
  return `id: ${id}\ndata: ${data}\n\n`;
}

/** Creates the format for the response to one request. */
export function createChatFormat(
  requestId: string,
  plan: ChatPlan,
  createdAtSeconds: number,
): ChatFormat {
  const head = {
    id: `chatcmpl-${requestId}`,
    object: 'chat.completion.chunk',
    created: createdAtSeconds,
    model: plan.model,
  };

  function chunk(delta: object, finishReason: string | null): string {
    return JSON.stringify({
      ...head,
      choices: [{index: 0, delta, finish_reason: finishReason}],
    });
  }

  function usageOf(completionTokens: number): ChatUsage {
    return {
      prompt_tokens: plan.promptTokens,
      completion_tokens: completionTokens,
      total_tokens: plan.promptTokens + completionTokens,
    };
  }

  return {
    role: () => chunk({role: 'assistant', content: ''}, null),
    token: text => chunk({content: text}, null),
    finish: () => chunk({}, plan.finishReason),
    usage: completionTokens =>
      JSON.stringify({...head, choices: [], usage: usageOf(completionTokens)}),
    completion: (text, completionTokens) => ({
      ...head,
      object: 'chat.completion',
      choices: [
        {
          index: 0,
          message: {role: 'assistant', content: text},
          finish_reason: plan.finishReason,
        },
      ],
      usage: usageOf(completionTokens),
    }),
  };
}
