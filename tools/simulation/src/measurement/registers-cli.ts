// Usage: node tools/simulation/src/measurement/registers-cli.js [simulated|bench ...]
// Prints the cost of register changes. `--store NUMBER FOLDER ADDRESS` runs one store of the benchmark instead.
import { fileURLToPath } from 'node:url';
import { duration } from '@thornsail/runtime';
import { benchChanges, benchHeadings, benchStore, simulateChanges, simulatedHeadings } from './registers.js';
import { tableHead, row } from './table.js';

const parts: Record<string, () => Promise<void>> = {
  simulated: async () => {
    tableHead(...simulatedHeadings);
    for (const syncTime of [2, 12])
      for (const rate of [100, 400])
        await simulateChanges(row, { syncTime: duration.ms(syncTime), rate, span: duration.s(10) });
  },
  bench: async () => {
    tableHead(...benchHeadings);
    for (const rate of [400, 800])
      await benchChanges(row, { rate, span: duration.s(10), cli: fileURLToPath(import.meta.url) });
  },
};
const args = process.argv.slice(2);
if (args[0] === '--store') await benchStore(Number(args[1]), args[2]!, args[3]!);
else for (const [name, run] of Object.entries(parts)) if (args.length === 0 || args.includes(name)) await run();
