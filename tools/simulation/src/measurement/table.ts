// Tables of docs/MEASUREMENTS.md on standard output, and the statistics in them.

export const out = (t: string): void => void process.stdout.write(`${t}\n`);

export const mean = (v: number[]): number => (v.length ? v.reduce((a, b) => a + b, 0) / v.length : 0);

export const pct = (v: number[], p: number): number => {
  const s = [...v].sort((a, b) => a - b);
  return s.length ? s[Math.min(s.length - 1, Math.floor(s.length * p))]! : 0;
};

export const row = (...c: (string | number)[]): void => out(`| ${c.join(' | ')} |`);

export const head = (...c: string[]): void => {
  row(...c);
  row(...c.map(() => '---'));
};
