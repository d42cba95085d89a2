// Recovery times after the faults of scenario `closing`.
import { scenarios } from '../scenarios/index.js';
import { tableHead, printLine, row } from './table.js';

/** Prints the longest recovery time of each fault by deployment shape. */
export const recovery = async (): Promise<void> => {
  printLine('\n### Serving again at every gateway after a closing fault (simulated, 10 seeds; in steps of 250 ms)\n');
  tableHead('fault', 'lautoka, worst ms', 'granite, worst ms');
  const worst = new Map<string, Record<string, number>>();
  for (const shape of ['lautoka', 'granite'] as const)
    for (let seed = 1; seed <= 10; seed++) {
      const outcome = await scenarios['closing']!.run(seed, shape);
      for (const breach of outcome.breaches) printLine(`breach, ${shape} seed ${seed}: ${breach}`);
      for (const [name, value] of Object.entries(outcome.figures))
        if (name.endsWith('_ms') && name !== 'slowest_ms') {
          const byShape = worst.get(name) ?? {};
          byShape[shape] = Math.max(byShape[shape] ?? 0, value);
          worst.set(name, byShape);
        }
    }
  for (const [name, byShape] of worst)
    row(name.replace(/_ms$/, '').replaceAll('_', ' '), byShape['lautoka'] ?? 0, byShape['granite'] ?? 0);
};
