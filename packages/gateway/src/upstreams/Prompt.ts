/**
 * What a request tells of its prompt: the parts that it shares with other
 * requests, and its size.
 */

/** One part of a prompt; the same id is the same text. */
export interface PromptSegment {
  readonly id: string;
  readonly tokens: number;
}

/** The prompt of a request, as far as placement needs it. */
export interface Prompt {
  /** Parts in order; the last belongs to the request or its session. */
  readonly segments: readonly PromptSegment[];
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
}

/** Reads `ID:TOKENS,...`; parts that cannot be read end the list. */
export function parsePromptSegments(text: string): readonly PromptSegment[] {
  const segments: PromptSegment[] = [];
  for (const item of text.split(',')) {
    const [id, size] = item.trim().split(':');
    const tokens = Number(size);
    if (!id || !Number.isFinite(tokens)) break;
    segments.push({id, tokens});
  }
  return segments;
}

/** Parts that other requests share too. */
export function sharedSegments(prompt: Prompt): readonly PromptSegment[] {
  return prompt.segments.slice(0, -1);
}

/** Tokens of the parts that other requests share too. */
export function sharedPrefixTokens(prompt: Prompt): number {
  return sharedSegments(prompt).reduce(
    (sum, segment) => sum + segment.tokens,
    0,
  );
}
