/**
 * Renders plain-text tables for terminals.
 */

/** A column of a table. */
export interface TableColumn {
  readonly heading: string;
  /** For columns of numbers. */
  readonly alignRight?: boolean;
}

const columnSeparator = '  ';

/** Renders rows below headings; every row has one cell per column. */
export function renderTable(
  columns: readonly TableColumn[],
  rows: readonly (readonly string[])[],
): string {
  const widths = columns.map(({heading}, index) =>
    Math.max(heading.length, ...rows.map(row => (row[index] ?? '').length)),
  );
  const formatRow = (cells: readonly string[]): string =>
    columns
      .map(({alignRight}, index) => {
        const cell = cells[index] ?? '';
        const width = widths[index] ?? 0;
        return alignRight ? cell.padStart(width) : cell.padEnd(width);
      })
      .join(columnSeparator)
      .trimEnd();
  const headings = columns.map(({heading}) => heading);
  return [headings, ...rows].map(formatRow).join('\n');
}
