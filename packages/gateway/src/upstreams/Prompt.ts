/**
 * The prompt of a request: its size, and the segments that it shares with other
 * requests.
 */

/**
 * A segment of a prompt. Segments with the same id have the same text; the id
 * also identifies the prefix that the segment ends.
 */
export interface PromptSegment {
  readonly id: string;
  readonly tokens: number;
}

/** The properties of a prompt that placement depends on. */
export interface Prompt {
  /** Segments in order; the last belongs to the request or its session. */
  readonly segments: readonly PromptSegment[];
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
}

/** Parses `ID:TOKENS,...` up to the first malformed segment. */
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

/** Returns the segments that other requests may share: all but the last. */
export function sharedSegments(prompt: Prompt): readonly PromptSegment[] {
  return prompt.segments.slice(0, -1);
}

/** Returns the size of the prompt prefix that other requests may share. */
export function sharedPrefixTokens(prompt: Prompt): number {
  return sharedSegments(prompt).reduce(
    (sum, segment) => sum + segment.tokens,
    0,
  );
}
