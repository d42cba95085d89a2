// What a guard is: a line of the built code that keeps a rule, and the run that must fail without it (§9.5).

/** One text of a built file and what it is replaced by; `file` starts with its workspace (`consensus/src/core.js`). */
export type Replacement = { file: string; find: string; replacement: string };

/**
 * The run that must notice that a guard is missing: seeds of a simulator scenario, a test file, or a program.
 * The program tells of each of its runs in one line of JSON with `seed` and `breaches`; its path and those of its
 * arguments start at the repository's root.
 */
export type NoticedBy =
  | { scenario: string; shape?: 'lautoka' | 'granite'; from?: number; to?: number }
  | { test: string }
  | { program: string; args: string[] };

/** A line that keeps a rule. `name` stands in docs/FAILURES.md; `also` holds other lines that would keep it, too. */
export type Guard = Replacement & {
  name: string;
  rule: string;
  noticedBy: NoticedBy;
  also: readonly Replacement[];
};

/** Makes a guard; without `also` only its own line is taken out. */
export const guard = (options: Omit<Guard, 'also'> & Partial<Pick<Guard, 'also'>>): Guard => ({ also: [], ...options });
