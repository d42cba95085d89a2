// node tools/simulation/src/measurement/registers-cli.js [simulated|bench ...]: what a register change costs.
import { fileURLToPath } from 'node:url';
import { duration } from '@thornsail/runtime';
import { bench, benchHead, benchStore, simulated, simulatedHead } from './registers.js';
import { head, row } from './table.js';

const parts: Record<string, () => Promise<void>> = {
  simulated: async () => {
    head(...simulatedHead);
    for (const syncTime of [2, 12])
      for (const rate of [100, 400])
        await simulated(row, { syncTime: duration.ms(syncTime), rate, span: duration.s(10) });
  },
  bench: async () => {
    head(...benchHead);
    for (const rate of [400, 800])
      await bench(row, { rate, span: duration.s(10), cli: fileURLToPath(import.meta.url) });
  },
};
const args = process.argv.slice(2);
if (args[0] === '--store') await benchStore(Number(args[1]), args[2]!, args[3]!);
else for (const [name, run] of Object.entries(parts)) if (args.length === 0 || args.includes(name)) await run();
