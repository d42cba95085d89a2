// How long the fleet takes to serve again after the faults of scenario `closing`.
import { scenarios } from '../scenarios/index.js';
import { head, out, row } from './table.js';

export const recovery = async (): Promise<void> => {
  out('\n### Serving again at every gateway after a closing fault (simulated, 10 seeds; in steps of 250 ms)\n');
  head('fault', 'lautoka, worst ms', 'granite, worst ms');
  const worst = new Map<string, Record<string, number>>();
  for (const shape of ['lautoka', 'granite'] as const)
    for (let seed = 1; seed <= 10; seed++) {
      const o = await scenarios['closing']!.run(seed, shape);
      for (const b of o.breaches) out(`breach, ${shape} seed ${seed}: ${b}`);
      for (const [k, v] of Object.entries(o.figures))
        if (k.endsWith('_ms') && k !== 'slowest_ms') {
          const r = worst.get(k) ?? {};
          r[shape] = Math.max(r[shape] ?? 0, v);
          worst.set(k, r);
        }
    }
  for (const [k, r] of worst) row(k.replace(/_ms$/, '').replaceAll('_', ' '), r['lautoka'] ?? 0, r['granite'] ?? 0);
};
