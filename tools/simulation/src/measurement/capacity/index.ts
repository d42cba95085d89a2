// Computes the slopes of docs/CAPACITY.md, each from at least four sizes. Bytes are those of real encodings, counts and
// times are simulated, processor time and memory are those of this machine.
import { partitionedCommit } from './partitioned-commit.js';
import { contextAffinity } from './context-affinity.js';
import { registerChanges } from './register-changes.js';
import { processLoss } from './process-loss.js';
import { memory } from './memory.js';
import { messages } from './messages.js';
import { processor } from './processor.js';
import { regions } from './regions.js';
import type { Measurement, Part, Sizes } from './slope.js';
import { sockets } from './sockets.js';
import { disseminationTime } from './dissemination.js';
import { state } from './state.js';

/** The parts by name, in the order in which they run. */
export const parts: Record<string, Part> = {
  state,
  messages,
  partitionedCommit,
  processLoss,
  disseminationTime,
  regions,
  contextAffinity,
  processor,
  memory,
  sockets,
  registerChanges,
};

/** Parts that mostly wait for a child process. */
const separateProcessParts = new Set(['sockets', 'registerChanges']);

/** Runs the parts and collects their results. */
export const measure = async (sizes: Sizes, only: string[] = Object.keys(parts)): Promise<Required<Measurement>> => {
  const results = new Map<string, Measurement>();
  const run = async (names: string[]): Promise<void> => {
    for (const name of names) results.set(name, await parts[name]!(sizes));
  };
  // At small sizes the figures do not matter, so parts that wait for a child process run concurrently with the rest.
  if (sizes === 'whole') await run(only);
  else
    await Promise.all([
      run(only.filter((n) => !separateProcessParts.has(n))),
      run(only.filter((n) => separateProcessParts.has(n))),
    ]);
  const ordered = only.map((name) => results.get(name)!);
  return {
    slopes: ordered.flatMap((result) => result.slopes),
    failed: ordered.flatMap((result) => result.failed),
    checks: ordered.flatMap((result) => result.checks ?? []),
  };
};
