// Sweep over the seeds of the scenarios: npm run sweep -- --seeds N [--from S] [--only a,b] [--shape lautoka|granite]
// Replay of one seed: --seed S [--only a] [--log true]
// --workers N sets the number of child processes; --child NAME:SHAPE:FROM:TO runs one job of a sweep in such a process
// and prints one line of JSON for each seed. Exits with 1 if there was a breach, with 2 for a wrong flag.
import { spawn } from 'node:child_process';
import { availableParallelism } from 'node:os';
import { fileURLToPath } from 'node:url';
import type { ShapeName } from '@thornsail/test-harness';
import { scenarios } from './scenarios/index.js';

const print = (line: string): void => void process.stdout.write(`${line}\n`);
const failUsage = (message: string): never => {
  process.stderr.write(`sweep: ${message}\n`);
  process.exit(2);
};
const flags: Record<string, string> = {
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
  const flag = process.argv[i]!.replace(/^--/, '');
  if (!Object.hasOwn(flags, flag) || process.argv[i + 1] === undefined)
    failUsage(`unknown or incomplete flag ${process.argv[i]}`);
  flags[flag] = process.argv[i + 1]!;
}
for (const flag of ['seeds', 'seed', 'from'])
  if (flags[flag] !== '' && !/^\d+$/.test(flags[flag]!)) failUsage(`--${flag}: a whole number is needed`);
const names = flags['only'] ? flags['only'].split(',') : Object.keys(scenarios);
for (const name of names) if (!Object.hasOwn(scenarios, name)) failUsage(`--only: no scenario ${name}`);
const shapes: ShapeName[] = flags['shape'] ? [flags['shape'] as ShapeName] : ['lautoka', 'granite'];
if (shapes.some((shape) => shape !== 'lautoka' && shape !== 'granite')) failUsage('--shape: lautoka or granite');

/** The result of one run; a child process prints it as a line of JSON. `took` is wall-clock time in milliseconds. */
type RunResult = {
  name: string;
  shape: ShapeName;
  seed: number;
  breaches: string[];
  figures: Record<string, number>;
  took: number;
};
const runScenario = async (
  name: string,
  shape: ShapeName,
  seed: number,
  log?: (line: string) => void,
): Promise<RunResult> => {
  const startedAt = performance.now();
  try {
    const outcome = await scenarios[name]!.run(seed, shape, log);
    return {
      name,
      shape,
      seed,
      breaches: outcome.breaches,
      figures: outcome.figures,
      took: performance.now() - startedAt,
    };
  } catch (error) {
    return {
      name,
      shape,
      seed,
      breaches: [`failed: ${error instanceof Error ? (error.stack ?? error.message) : String(error)}`],
      figures: {},
      took: performance.now() - startedAt,
    };
  }
};

if (flags['child']) {
  const [name, shape, from, to] = flags['child'].split(':');
  for (let seed = Number(from); seed <= Number(to); seed++)
    print(JSON.stringify(await runScenario(name!, shape as ShapeName, seed)));
  process.exit(0);
}
if (flags['seed']) {
  let breachCount = 0;
  for (const name of names)
    for (const shape of shapes) {
      const run = await runScenario(name, shape, Number(flags['seed']), flags['log'] ? print : undefined);
      breachCount += run.breaches.length;
      print(
        `${run.breaches.length ? 'BREACH' : 'clean '} ${name} ${shape} seed ${run.seed} ${JSON.stringify(run.figures)}`,
      );
      for (const breach of run.breaches) print(`  ${breach}`);
    }
  process.exit(breachCount ? 1 : 0);
}
const seeds = Number(flags['seeds'] || '20');
const from = Number(flags['from']);
/** The jobs that child processes run, in the form of `--child`. */
const jobs: string[] = [];
const seedsPerJob = Math.max(1, Math.min(5, Math.ceil(seeds / 4)));
for (let seed = from; seed < from + seeds; seed += seedsPerJob)
  for (const name of names)
    for (const shape of shapes)
      jobs.push(`${name}:${shape}:${seed}:${Math.min(seed + seedsPerJob - 1, from + seeds - 1)}`);
const results: RunResult[] = [];
const runJobs = async (): Promise<void> => {
  for (let job = jobs.shift(); job !== undefined; job = jobs.shift())
    await new Promise<void>((resolve) => {
      const child = spawn(process.execPath, [fileURLToPath(import.meta.url), '--child', job], {
        stdio: ['ignore', 'pipe', 'inherit'],
      });
      let rest = '';
      child.stdout.on('data', (data: Buffer) => {
        rest += data.toString();
        for (let i = rest.indexOf('\n'); i >= 0; i = rest.indexOf('\n')) {
          const run = JSON.parse(rest.slice(0, i)) as RunResult;
          rest = rest.slice(i + 1);
          results.push(run);
          if (run.breaches.length) {
            print(
              `BREACH ${run.name} ${run.shape} seed ${run.seed}: ${run.breaches.length} ` +
                `(${run.breaches[0]!.slice(0, 300)})`,
            );
          }
        }
      });
      child.on('close', (code) => {
        if (code !== 0) {
          results.push({ name: job, shape: 'lautoka', seed: 0, breaches: ['the run crashed'], figures: {}, took: 0 });
          print(`BREACH ${job}: the run crashed`);
        }
        resolve();
      });
    });
};
await Promise.all(
  Array.from(
    { length: flags['workers'] ? Number(flags['workers']) : Math.max(1, availableParallelism() - 1) },
    runJobs,
  ),
);
for (const name of names)
  for (const shape of shapes) {
    const runs = results.filter((run) => run.name === name && run.shape === shape);
    const figureNames = [...new Set(runs.flatMap((run) => Object.keys(run.figures)))];
    const figures = figureNames.map((figure) => {
      const values = runs.map((run) => run.figures[figure] ?? 0);
      return figure.endsWith('_ms')
        ? `${figure} max ${Math.max(...values)}`
        : `${figure} ${values.reduce((a, b) => a + b, 0)}`;
    });
    print(
      `${name} ${shape}: ${runs.length} seeds, ${runs.filter((run) => run.breaches.length).length} with a breach; ` +
        figures.join(', '),
    );
  }
const breachedRuns = results.filter((run) => run.breaches.length).length;
print(`${results.length} runs, ${breachedRuns} with a breach`);
process.exit(breachedRuns ? 1 : 0);
