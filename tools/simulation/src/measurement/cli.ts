// Command `npm run measure [-- part ...]`: prints the figures of docs/MEASUREMENTS.md, as simulated times or counts.
import { capacity } from './capacity/page.js';
import { measure } from './capacity/index.js';
import { detection } from './detection.js';
import { duties } from './duties.js';
import { recovery } from './recovery.js';
import { relays } from './relays.js';
import { edges, scheduler } from './scheduler.js';
import { leaderLoss, spread } from './spread.js';
import { printLine } from './table.js';
import { turns } from './turns.js';

const printCapacity = async (): Promise<void> => {
  printLine('\n### Capacity: slopes, and the size to design for (docs/CAPACITY.md)');
  capacity.print(await measure('whole'), printLine);
};

/** The parts by their names on the command line, in the order in which they run. */
const parts: Record<string, () => Promise<void>> = {
  'scheduler-lautoka': () => scheduler('lautoka'),
  'scheduler-granite': () => scheduler('granite'),
  'edges-lautoka': () => edges('lautoka'),
  'edges-granite': () => edges('granite'),
  turns,
  detection,
  relays,
  spread,
  headloss: leaderLoss,
  duties,
  recovery,
  'capacity': printCapacity,
};

const selected = process.argv.slice(2);
for (const name of selected)
  if (!Object.hasOwn(parts, name)) {
    process.stderr.write(`measure: unknown part ${name}; known parts: ${Object.keys(parts).join(', ')}\n`);
    process.exit(2);
  }
for (const [name, run] of Object.entries(parts)) if (selected.length === 0 || selected.includes(name)) await run();
