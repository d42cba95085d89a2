// Processor time of register changes at a store in its own process, by the size of the value.
import path from 'node:path';
import { spawn } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { type Group, type Registers, registers } from '@thornsail/register-store';
import { rpc } from '@thornsail/rpc';
import { type Microseconds, duration, real } from '@thornsail/runtime';
import type { Point } from '../fit.js';
import { benchAddress, waitUntilUp } from '../registers.js';
import { cpu } from './cost.js';
import { setTo } from './registers.js';
import { type Part, slope } from './slope.js';
import { capacityFolder } from './sockets.js';

type Usage = { cpu: { user: number; system: number } };

const callTimeout: Microseconds = duration.s(5);
/** Number of changes in flight. */
const concurrentChanges = 16;
/** Number of registers that the changes of one size are spread over. */
const registerCount = 100;
const valueText = 'say it "so" ';
const bytesPerRepeat = 14;
const sizesInKb = [1, 4, 16, 40];
/** Time for the store to receive `bench.end`, in milliseconds. */
const endWithin = 100;

/** Makes `count` register changes with a value of `kb` KB. */
const changeAll = async (store: Registers, kb: number, count: number): Promise<void> => {
  const value = { text: valueText.repeat(Math.round((kb * 1000) / bytesPerRepeat)) };
  let next = 0;
  const work = async (): Promise<void> => {
    for (let n = next++; n < count; n = next++)
      await store.change(`k${kb}-${n % registerCount}`, setTo(value), callTimeout);
  };
  await Promise.all(Array.from({ length: concurrentChanges }, work));
};

type Costs = { atStore: Point[]; atGateway: Point[] };
/** Processor time of one change by size, at the store's process and at this process. */
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

/** Processor time of register changes at a store in its own process. */
export const registerChanges: Part = async (sizes) => {
  const folder = mkdtempSync(path.join(tmpdir(), 'thornsail-capacity-'));
  const address = benchAddress(11);
  const args = [path.join(capacityFolder, '../registers-cli.js'), '--store', '11', path.join(folder, 'k'), address];
  const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'ignore'] });
  try {
    await waitUntilUp(child);
    const runtime = real.runtime(folder);
    const endpoint = await rpc.open(runtime, benchAddress(19));
    const group: Group = { version: 1, members: [{ id: 'k11', at: address }] };
    const store = registers.open({ runtime, rpc: endpoint, clientId: 'capacity', group: () => group });
    const used = async (): Promise<number> => {
      const usage = await endpoint.request<Usage>(address, 'bench.usage', {}, callTimeout);
      return usage.cpu.user + usage.cpu.system;
    };
    const { atStore, atGateway } = await costsBySize(store, used, sizes === 'small' ? 100 : 1000);
    endpoint.notify(address, 'bench.end', {});
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
