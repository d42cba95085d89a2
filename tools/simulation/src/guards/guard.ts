// A guard is a line of the built code that upholds a rule, and the run that must fail without it (mutation test, §9.5).

/** A text of a built file and its replacement; `file` is a path within a workspace (`consensus/src/core.js`). */
export type Replacement = { file: string; find: string; replacement: string };

/**
 * The run that must fail when the guard is disabled: seeds `from` to `to` of a simulator scenario, a test file, or a
 * program. A program prints one line of JSON with `seed` and `breaches` for each of its runs; its path and those in its
 * arguments are relative to the repository root.
 */
export type NoticedBy =
  | { scenario: string; shape?: 'lautoka' | 'granite'; from?: number; to?: number }
  | { test: string }
  | { program: string; args: string[] };

/**
 * A line that upholds a rule. `name` is its title in docs/FAILURES.md; `otherReplacements` disable further lines that
 * would uphold the rule without it.
 */
export type Guard = Replacement & {
  name: string;
  rule: string;
  noticedBy: NoticedBy;
  otherReplacements: readonly Replacement[];
};

/** Creates a guard; without `otherReplacements` only its own line is replaced. */
export const guard = (
  options: Omit<Guard, 'otherReplacements'> & Partial<Pick<Guard, 'otherReplacements'>>,
): Guard => ({ otherReplacements: [], ...options });
