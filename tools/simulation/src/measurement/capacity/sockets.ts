// Processes on real sockets: one child process at a time beside this one, ended whatever happens.
import path from 'node:path';
import { spawn } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import type { Point } from '../fit.js';
import type { RealUse } from '../hollow.js';
import { type Failed, type Part, pick, slope } from './slope.js';

export const here = path.dirname(fileURLToPath(import.meta.url));

const child = async (edges: number, seconds: number): Promise<RealUse | undefined> => {
  const c = spawn(process.execPath, [path.join(here, '../hollow-cli.js'), String(edges), String(seconds)], {
    stdio: ['ignore', 'pipe', 'ignore'],
  });
  try {
    let text = '';
    c.stdout.on('data', (d: Buffer) => (text += d.toString()));
    const code = await new Promise((fin) => c.once('close', fin));
    return code === 0 ? (JSON.parse(text) as RealUse) : undefined;
  } finally {
    c.kill();
  }
};

export const sockets: Part = async (sizes) => {
  const failed: Failed[] = [];
  const all: RealUse[] = [];
  for (const edges of pick(sizes, [1, 3, 7, 15], [1, 2, 3, 4])) {
    const r = await child(edges, sizes === 'small' ? 0.3 : 6);
    if (r) all.push(r);
    else failed.push({ what: `hollow nodes: ${2 * edges + 6} processes on real sockets`, why: 'did not come up' });
  }
  const p = (y: (r: RealUse) => number): Point[] => all.map((r) => [r.processes, y(r)]);
  return {
    failed,
    slopes: [
      slope(
        'a process on real sockets, idle',
        'process',
        'µs of processor time a second',
        'measured',
        p((r) => r.cpu),
      ),
      slope(
        'memory of all hollow nodes together',
        'process',
        'bytes',
        'measured',
        p((r) => r.rss),
      ),
      slope(
        'connections of all of them',
        'process',
        'sockets',
        'measured',
        p((r) => r.sockets),
        'power',
      ),
    ],
  };
};
