// Processor time of register changes at a store in a process of its own, by the size of the value.
import path from 'node:path';
import { spawn } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { type Group, registers } from '@thornsail/register-store';
import { rpc } from '@thornsail/rpc';
import { real, duration } from '@thornsail/runtime';
import type { Point } from '../fit.js';
import { benchAddress, isUp } from '../registers.js';
import { cpu } from './cost.js';
import { written } from './registers.js';
import { type Part, slope } from './slope.js';
import { here } from './sockets.js';

type Usage = { cpu: { user: number; system: number } };

export const keeping: Part = async (sizes) => {
  const folder = mkdtempSync(path.join(tmpdir(), 'thornsail-capacity-'));
  const at = benchAddress(11);
  const args = [path.join(here, '../registers-cli.js'), '--store', '11', path.join(folder, 'k'), at];
  const c = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'ignore'] });
  try {
    await isUp(c);
    const runtime = real.runtime(folder);
    const p = await rpc.open(runtime, benchAddress(19));
    const group: Group = { version: 1, members: [{ id: 'k11', at }] };
    const regs = registers.open({ runtime, rpc: p, by: 'capacity', group: () => group });
    const used = async (): Promise<number> => {
      const u = await p.request<Usage>(at, 'bench.usage', {}, duration.s(5));
      return u.cpu.user + u.cpu.system;
    };
    const atStore: Point[] = [];
    const atGateway: Point[] = [];
    const changes = sizes === 'small' ? 100 : 1000;
    const load = async (kb: number, n: number): Promise<void> => {
      const value = { text: 'say it "so" '.repeat(Math.round((kb * 1000) / 14)) };
      let i = 0;
      const one = async (): Promise<void> => {
        for (let k = i++; k < n; k = i++) await regs.change(`k${kb}-${k % 100}`, written(value), duration.s(5));
      };
      await Promise.all(Array.from({ length: 16 }, one));
    };
    await load(1, changes);
    for (const kb of [1, 4, 16, 40]) {
      const [a, own] = [await used(), cpu()];
      await load(kb, changes);
      atGateway.push([kb, (cpu() - own) / changes]);
      atStore.push([kb, ((await used()) - a) / changes]);
    }
    p.notify(at, 'bench.end', {});
    await new Promise((fin) => setTimeout(fin, 100));
    await p.close();
    return {
      failed: [],
      slopes: [
        slope('a change at a store', 'KB of value', 'µs', 'measured', atStore),
        slope('a change at its gateway, for each store', 'KB of value', 'µs', 'measured', atGateway),
      ],
    };
  } finally {
    c.kill();
    rmSync(folder, { recursive: true, force: true });
  }
};
