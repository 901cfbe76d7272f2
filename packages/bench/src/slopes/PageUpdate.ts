/**
 * Puts the output of a run between two markers of a Markdown page, so that the
 * page quotes exactly what was printed.
 */

const beginMarker = '<!-- slopes: begin -->';
const endMarker = '<!-- slopes: end -->';

/** Returns the page with `output` in place of what the markers enclose. */
export function replaceOutput(page: string, output: string): string {
  const begin = page.indexOf(beginMarker);
  const end = page.indexOf(endMarker);
  if (begin < 0 || end < begin) {
    throw new Error(`the page has no ${beginMarker} before a ${endMarker}`);
  }
  const head = page.slice(0, begin + beginMarker.length);
  return `${head}\n\n${output.trim()}\n\n${page.slice(end)}`;
}
