// Prints the Markdown tables of docs/MEASUREMENTS.md to standard output, and computes their statistics.

/** Prints a line to standard output. */
export const printLine = (text: string): void => void process.stdout.write(`${text}\n`);

/** The arithmetic mean; 0 of no values. */
export const mean = (values: number[]): number =>
  values.length ? values.reduce((a, b) => a + b, 0) / values.length : 0;

/** The value at a fraction (0 to 1) of the sorted values; 0 of no values. */
export const quantile = (values: number[], fraction: number): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted.length ? sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))]! : 0;
};

/** Prints a table row. */
export const row = (...cells: (string | number)[]): void => printLine(`| ${cells.join(' | ')} |`);

/** Prints the heading rows of a table. */
export const tableHead = (...cells: string[]): void => {
  row(...cells);
  row(...cells.map(() => '---'));
};
