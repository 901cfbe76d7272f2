/**
 * What a request tells of its prompt: the parts that it shares with other
 * requests, and its size.
 */

/** One part of a prompt; the same id is the same text. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** The prompt of a request, as far as placement needs it. */
export interface Prompt {
  /** Parts in order; the last belongs to the request or its session. */
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
}

/** Reads `ID:TOKENS,...`; parts that cannot be read end the list. */
export function parsePromptParts(text: string): readonly PromptPart[] {
  const parts: PromptPart[] = [];
  for (const item of text.split(',')) {
    const [id, size] = item.trim().split(':');
    const tokens = Number(size);
    if (!id || !Number.isFinite(tokens)) break;
    parts.push({id, tokens});
  }
  return parts;
}

/** Parts that other requests share too. */
export function sharedParts(prompt: Prompt): readonly PromptPart[] {
  return prompt.parts.slice(0, -1);
}

/** Tokens of the parts that other requests share too. */
export function sharedTokens(prompt: Prompt): number {
  return sharedParts(prompt).reduce((sum, part) => sum + part.tokens, 0);
}
