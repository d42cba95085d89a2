// npm run measure [-- part ...]: the figures of docs/MEASUREMENTS.md, all in simulated time or counts.
import { capacity } from './capacity/page.js';
import { measure } from './capacity/index.js';
import { detection } from './detection.js';
import { duties } from './duties.js';
import { recovery } from './recovery.js';
import { relays } from './relays.js';
import { edges, scheduler } from './scheduler.js';
import { headloss, spread } from './spread.js';
import { out } from './table.js';
import { turns } from './turns.js';

const printCapacity = async (): Promise<void> => {
  out('\n### Capacity: slopes, and the size to design for (docs/CAPACITY.md)');
  capacity.print(await measure('whole'), out);
};

/** The parts by the names that the command takes, in the order in which they run. */
const parts: Record<string, () => Promise<void>> = {
  'scheduler-lautoka': () => scheduler('lautoka'),
  'scheduler-granite': () => scheduler('granite'),
  'edges-lautoka': () => edges('lautoka'),
  'edges-granite': () => edges('granite'),
  turns,
  detection,
  relays,
  spread,
  headloss,
  duties,
  recovery,
  'capacity': printCapacity,
};

const only = process.argv.slice(2);
for (const name of only)
  if (!Object.hasOwn(parts, name)) {
    process.stderr.write(`measure: no part ${name}; there are ${Object.keys(parts).join(', ')}\n`);
    process.exit(2);
  }
for (const [name, run] of Object.entries(parts)) if (only.length === 0 || only.includes(name)) await run();
