/**
 * Plain tables for terminals.
 */

/** A column: its heading and whether it holds numbers. */
export interface TableColumn {
  readonly heading: string;
  readonly alignRight?: boolean;
}

const columnSeparator = '  ';

/** Lays out rows under headings; every row has one cell per column. */
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
