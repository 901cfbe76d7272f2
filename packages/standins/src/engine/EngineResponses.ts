/**
 * Responses of the model engine stand-in as a pure function of the prompt, so
 * that the test oracle can recompute them.
 */
import {hash64} from '@toucanrouter/common';

export interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

/** Length of a response when the prompt contains no length marker. */
export const defaultResponseTokens = 16;

const lengthMarkerPattern = /\[tokens=(\d+)\]/;
const charsPerPromptToken = 4;

/** Returns a hash of a prompt; equal prompts have equal keys. */
export function promptKeyOf(messages: readonly ChatMessage[]): string {
  const plain = messages.map(m => [m.role, m.content]);
  return hash64(JSON.stringify(plain)).toString(16).padStart(16, '0');
}

/**
 * Returns the length in tokens requested by the last user message with a
 * marker.
 */
export function responseLengthOf(messages: readonly ChatMessage[]): number {
  for (const message of [...messages].reverse()) {
    if (message.role !== 'user') continue;
    const found = lengthMarkerPattern.exec(message.content);
    if (found !== null) return Number(found[1]);
  }
  return defaultResponseTokens;
}

/** Returns the marker that requests a response of `tokens` tokens. */
export function lengthMarker(tokens: number): string {
  return `[tokens=${tokens}]`;
}

/** Returns the text of token `index` of the response to a prompt. */
export function tokenText(promptKey: string, index: number): string {
  return `${hash64(`${promptKey}:${index}`).toString(36).slice(0, 5)} `;
}

/** Returns the complete response to a prompt, truncated after `maxTokens`. */
export function responseText(
  messages: readonly ChatMessage[],
  maxTokens = Infinity,
): string {
  const promptKey = promptKeyOf(messages);
  const texts: string[] = [];
  const length = Math.min(responseLengthOf(messages), maxTokens);
  for (let i = 0; i < length; i++) texts.push(tokenText(promptKey, i));
  return texts.join('');
}

/** Estimates the number of tokens of a prompt. */
export function promptTokensOf(messages: readonly ChatMessage[]): number {
  const chars = messages.reduce((sum, m) => sum + m.content.length, 0);
  return Math.ceil(chars / charsPerPromptToken);
}

/** Position at which generation continues after a received prefix. */
export interface ContinuationPoint {
  /** Index of the first token that the prefix does not contain completely. */
  readonly tokenIndex: number;
  /** Number of characters of that token that the prefix contains. */
  readonly offset: number;
}

/**
 * Locates the end of `prefix` in the response; undefined if it is not a prefix.
 */
export function findContinuation(
  promptKey: string,
  length: number,
  prefix: string,
): ContinuationPoint | undefined {
  let position = 0;
  for (let i = 0; i < length; i++) {
    const rest = prefix.slice(position);
    if (rest === '') return {tokenIndex: i, offset: 0};
    const text = tokenText(promptKey, i);
    if (rest.length < text.length) {
      if (!text.startsWith(rest)) return undefined;
      return {tokenIndex: i, offset: rest.length};
    }
    if (!rest.startsWith(text)) return undefined;
    position += text.length;
  }
  if (position < prefix.length) return undefined;
  return {tokenIndex: length, offset: 0};
}
