// Processor time of register changes at a store in a process of its own, by the size of the value.
import path from 'node:path';
import { spawn } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { type Group, type Registers, registers } from '@thornsail/register-store';
import { rpc } from '@thornsail/rpc';
import { type Microseconds, duration, real } from '@thornsail/runtime';
import type { Point } from '../fit.js';
import { benchAddress, isUp } from '../registers.js';
import { cpu } from './cost.js';
import { written } from './registers.js';
import { type Part, slope } from './slope.js';
import { here } from './sockets.js';

type Usage = { cpu: { user: number; system: number } };

const callTimeout: Microseconds = duration.s(5);
/** Changes that are under way at a time. */
const concurrentChanges = 16;
/** Registers that the changes of one size go to. */
const registerCount = 100;
const valueText = 'say it "so" ';
const bytesPerRepeat = 14;
const sizesInKb = [1, 4, 16, 40];
/** Time for the store to read that it is to end, in milliseconds. */
const endWithin = 100;

/** Changes registers `count` times to a value of so many KB. */
const changeAll = async (store: Registers, kb: number, count: number): Promise<void> => {
  const value = { text: valueText.repeat(Math.round((kb * 1000) / bytesPerRepeat)) };
  let next = 0;
  const work = async (): Promise<void> => {
    for (let n = next++; n < count; n = next++)
      await store.change(`k${kb}-${n % registerCount}`, written(value), callTimeout);
  };
  await Promise.all(Array.from({ length: concurrentChanges }, work));
};

type Costs = { atStore: Point[]; atGateway: Point[] };
/** Processor time of one change by size, at the store's process and at this one. */
const costsBySize = async (store: Registers, used: () => Promise<number>, changes: number): Promise<Costs> => {
  const costs: Costs = { atStore: [], atGateway: [] };
  await changeAll(store, 1, changes);
  for (const kb of sizesInKb) {
    const [usedBefore, ownBefore] = [await used(), cpu()];
    await changeAll(store, kb, changes);
    costs.atGateway.push([kb, (cpu() - ownBefore) / changes]);
    costs.atStore.push([kb, ((await used()) - usedBefore) / changes]);
  }
  return costs;
};

/** Register changes at a store in a process of its own. */
export const keeping: Part = async (sizes) => {
  const folder = mkdtempSync(path.join(tmpdir(), 'thornsail-capacity-'));
  const at = benchAddress(11);
  const args = [path.join(here, '../registers-cli.js'), '--store', '11', path.join(folder, 'k'), at];
  const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'ignore'] });
  try {
    await isUp(child);
    const runtime = real.runtime(folder);
    const endpoint = await rpc.open(runtime, benchAddress(19));
    const group: Group = { version: 1, members: [{ id: 'k11', at }] };
    const store = registers.open({ runtime, rpc: endpoint, clientId: 'capacity', group: () => group });
    const used = async (): Promise<number> => {
      const usage = await endpoint.request<Usage>(at, 'bench.usage', {}, callTimeout);
      return usage.cpu.user + usage.cpu.system;
    };
    const { atStore, atGateway } = await costsBySize(store, used, sizes === 'small' ? 100 : 1000);
    endpoint.notify(at, 'bench.end', {});
    await new Promise((resolve) => setTimeout(resolve, endWithin));
    await endpoint.close();
    return {
      failed: [],
      slopes: [
        slope('a change at a store', 'KB of value', 'µs', 'measured', atStore),
        slope('a change at its gateway, for each store', 'KB of value', 'µs', 'measured', atGateway),
      ],
    };
  } finally {
    child.kill();
    rmSync(folder, { recursive: true, force: true });
  }
};
