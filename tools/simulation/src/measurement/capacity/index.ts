// The slopes of docs/CAPACITY.md: each from at least four sizes. Bytes are those of real encodings, counts and times
// are simulated, processor time and memory are this machine's.
import { acknowledging } from './acknowledging.js';
import { dealing } from './dealing.js';
import { keeping } from './keeping.js';
import { losses } from './losses.js';
import { memory } from './memory.js';
import { messages } from './messages.js';
import { processor } from './processor.js';
import { regions } from './regions.js';
import type { Measured, Part, Sizes } from './slope.js';
import { sockets } from './sockets.js';
import { spreading } from './spreading.js';
import { state } from './state.js';

export const parts: Record<string, Part> = {
  state,
  messages,
  acknowledging,
  losses,
  spreading,
  regions,
  dealing,
  processor,
  memory,
  sockets,
  keeping,
};

/** Those that wait for a process of their own. */
const apart = new Set(['sockets', 'keeping']);

export const measure = async (sizes: Sizes, only: string[] = Object.keys(parts)): Promise<Required<Measured>> => {
  const out = new Map<string, Measured>();
  const run = async (names: string[]): Promise<void> => {
    for (const name of names) out.set(name, await parts[name]!(sizes));
  };
  // At small sizes the figures do not matter: what waits for a process runs beside the rest.
  if (sizes === 'whole') await run(only);
  else await Promise.all([run(only.filter((n) => !apart.has(n))), run(only.filter((n) => apart.has(n)))]);
  const all = only.map((name) => out.get(name)!);
  return {
    slopes: all.flatMap((r) => r.slopes),
    failed: all.flatMap((r) => r.failed),
    found: all.flatMap((r) => r.found ?? []),
  };
};
