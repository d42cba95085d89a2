// Resource usage of hollow nodes on real sockets: one child process at a time, which is always killed at the end.
import path from 'node:path';
import { spawn } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import type { Point } from '../fit.js';
import type { ProcessUsage } from '../hollow.js';
import { type FailedAttempt, type Part, pick, slope } from './slope.js';

/** The folder of the built capacity modules. */
export const capacityFolder = path.dirname(fileURLToPath(import.meta.url));

const runHollowNodes = async (edges: number, seconds: number): Promise<ProcessUsage | undefined> => {
  const child = spawn(
    process.execPath,
    [path.join(capacityFolder, '../hollow-cli.js'), String(edges), String(seconds)],
    {
      stdio: ['ignore', 'pipe', 'ignore'],
    },
  );
  try {
    let text = '';
    child.stdout.on('data', (chunk: Buffer) => (text += chunk.toString()));
    const code = await new Promise((resolve) => child.once('close', resolve));
    return code === 0 ? (JSON.parse(text) as ProcessUsage) : undefined;
  } finally {
    child.kill();
  }
};

/** Processor time, memory and connections of idle nodes on real sockets. */
export const sockets: Part = async (sizes) => {
  const failed: FailedAttempt[] = [];
  const usages: ProcessUsage[] = [];
  for (const edges of pick(sizes, [1, 3, 7, 15], [1, 2, 3, 4])) {
    const usage = await runHollowNodes(edges, sizes === 'small' ? 0.3 : 6);
    if (usage) usages.push(usage);
    else failed.push({ what: `hollow nodes: ${2 * edges + 6} processes on real sockets`, why: 'did not start' });
  }
  const pointsOf = (value: (usage: ProcessUsage) => number): Point[] =>
    usages.map((usage) => [usage.processes, value(usage)]);
  return {
    failed,
    slopes: [
      slope(
        'a process on real sockets, idle',
        'process',
        'µs of processor time a second',
        'measured',
        pointsOf((usage) => usage.cpu),
      ),
      slope(
        'memory of all hollow nodes together',
        'process',
        'bytes',
        'measured',
        pointsOf((usage) => usage.rss),
      ),
      slope(
        'connections of all of them',
        'process',
        'sockets',
        'measured',
        pointsOf((usage) => usage.sockets),
        'power',
      ),
    ],
  };
};
