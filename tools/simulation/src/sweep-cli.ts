// npm run sweep -- --seeds N [--from S] [--only a,b] [--shape lautoka|granite]
// replay one with --seed S [--only a] [--log true]
import { spawn } from 'node:child_process';
import { availableParallelism } from 'node:os';
import { fileURLToPath } from 'node:url';
import type { ShapeName } from '@thornsail/test-harness';
import { scenarios } from './scenarios/index.js';

const out = (t: string): void => void process.stdout.write(`${t}\n`);
const wrong = (t: string): never => {
  process.stderr.write(`sweep: ${t}\n`);
  process.exit(2);
};
const given: Record<string, string> = {
  seeds: '',
  seed: '',
  from: '1',
  only: '',
  shape: '',
  log: '',
  child: '',
  workers: '',
};
for (let i = 2; i < process.argv.length; i += 2) {
  const k = process.argv[i]!.replace(/^--/, '');
  if (!Object.hasOwn(given, k) || process.argv[i + 1] === undefined)
    wrong(`unknown or incomplete flag ${process.argv[i]}`);
  given[k] = process.argv[i + 1]!;
}
for (const k of ['seeds', 'seed', 'from'])
  if (given[k] !== '' && !/^\d+$/.test(given[k]!)) wrong(`--${k}: a whole number is needed`);
const names = given['only'] ? given['only'].split(',') : Object.keys(scenarios);
for (const n of names) if (!Object.hasOwn(scenarios, n)) wrong(`--only: no scenario ${n}`);
const shapes: ShapeName[] = given['shape'] ? [given['shape'] as ShapeName] : ['lautoka', 'granite'];
if (shapes.some((s) => s !== 'lautoka' && s !== 'granite')) wrong('--shape: lautoka or granite');

type Line = {
  name: string;
  shape: ShapeName;
  seed: number;
  breaches: string[];
  figures: Record<string, number>;
  took: number;
};
const one = async (name: string, shape: ShapeName, seed: number, log?: (l: string) => void): Promise<Line> => {
  const begun = performance.now();
  try {
    const o = await scenarios[name]!.run(seed, shape, log);
    return { name, shape, seed, breaches: o.breaches, figures: o.figures, took: performance.now() - begun };
  } catch (e) {
    return {
      name,
      shape,
      seed,
      breaches: [`failed: ${e instanceof Error ? (e.stack ?? e.message) : String(e)}`],
      figures: {},
      took: performance.now() - begun,
    };
  }
};

if (given['child']) {
  const [name, shape, from, to] = given['child'].split(':');
  for (let s = Number(from); s <= Number(to); s++) out(JSON.stringify(await one(name!, shape as ShapeName, s)));
  process.exit(0);
}
if (given['seed']) {
  let bad = 0;
  for (const n of names)
    for (const sh of shapes) {
      const r = await one(n, sh, Number(given['seed']), given['log'] ? out : undefined);
      bad += r.breaches.length;
      out(`${r.breaches.length ? 'BREACH' : 'clean '} ${n} ${sh} seed ${r.seed} ${JSON.stringify(r.figures)}`);
      for (const b of r.breaches) out(`  ${b}`);
    }
  process.exit(bad ? 1 : 0);
}
const seeds = Number(given['seeds'] || '20');
const from = Number(given['from']);
const jobs: string[] = [];
const chunk = Math.max(1, Math.min(5, Math.ceil(seeds / 4)));
for (let s = from; s < from + seeds; s += chunk)
  for (const n of names)
    for (const sh of shapes) jobs.push(`${n}:${sh}:${s}:${Math.min(s + chunk - 1, from + seeds - 1)}`);
const lines: Line[] = [];
const work = async (): Promise<void> => {
  for (let j = jobs.shift(); j !== undefined; j = jobs.shift())
    await new Promise<void>((fin) => {
      const child = spawn(process.execPath, [fileURLToPath(import.meta.url), '--child', j], {
        stdio: ['ignore', 'pipe', 'inherit'],
      });
      let rest = '';
      child.stdout.on('data', (d: Buffer) => {
        rest += d.toString();
        for (let i = rest.indexOf('\n'); i >= 0; i = rest.indexOf('\n')) {
          const l = JSON.parse(rest.slice(0, i)) as Line;
          rest = rest.slice(i + 1);
          lines.push(l);
          if (l.breaches.length) {
            out(`BREACH ${l.name} ${l.shape} seed ${l.seed}: ${l.breaches.length} (${l.breaches[0]!.slice(0, 300)})`);
          }
        }
      });
      child.on('close', (code) => {
        if (code !== 0) {
          lines.push({ name: j, shape: 'lautoka', seed: 0, breaches: ['the run died'], figures: {}, took: 0 });
          out(`BREACH ${j}: the run died`);
        }
        fin();
      });
    });
};
await Promise.all(
  Array.from({ length: given['workers'] ? Number(given['workers']) : Math.max(1, availableParallelism() - 1) }, work),
);
for (const n of names)
  for (const sh of shapes) {
    const mine = lines.filter((l) => l.name === n && l.shape === sh);
    const keys = [...new Set(mine.flatMap((l) => Object.keys(l.figures)))];
    const fig = keys.map((k) => {
      const v = mine.map((l) => l.figures[k] ?? 0);
      return k.endsWith('_ms') ? `${k} max ${Math.max(...v)}` : `${k} ${v.reduce((a, b) => a + b, 0)}`;
    });
    out(
      `${n} ${sh}: ${mine.length} seeds, ${mine.filter((l) => l.breaches.length).length} with a breach; ` +
        fig.join(', '),
    );
  }
const bad = lines.filter((l) => l.breaches.length).length;
out(`${lines.length} runs, ${bad} with a breach`);
process.exit(bad ? 1 : 0);
