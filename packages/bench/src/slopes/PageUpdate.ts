/**
 * Replaces the text between two markers of a Markdown page by the output of a
 * run, so that the page shows exactly what was printed.
 */

const beginMarker = '<!-- slopes: begin -->';
const endMarker = '<!-- slopes: end -->';

/** Returns the page with the text between the markers replaced by `output`. */
export function replaceOutput(page: string, output: string): string {
  const begin = page.indexOf(beginMarker);
  const end = page.indexOf(endMarker);
  if (begin < 0 || end < begin) {
    throw new Error(`the page has no ${beginMarker} before a ${endMarker}`);
  }
  const head = page.slice(0, begin + beginMarker.length);
  return `${head}\n\n${output.trim()}\n\n${page.slice(end)}`;
}
