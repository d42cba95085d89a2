// The load on a simulated deployment: callers that start at random times.
import type { Callers } from '@thornsail/test-harness';
import type { World } from '../world/index.js';
import type { Fleet } from './types.js';

type LoadOptions = { world: World; callers: () => Callers; onBreach: (text: string) => void };

/** Creates the function that starts callers of each kind; a caller that throws is reported as a breach. */
export const loadOf =
  ({ world, callers, onBreach }: LoadOptions): Fleet['load'] =>
  ({ chats, kept, jobs, spreadOver }) => {
    const { rand } = world;
    const calls: Promise<void>[] = [];
    const startAtRandom = (call: () => Promise<void>): void => {
      const done = new Promise<void>((resolve) => {
        const failed = (error: unknown): void => {
          onBreach(`a caller failed: ${String(error)}`);
          resolve();
        };
        world.scheduleAt(world.now() + rand.int(spreadOver), () => void call().then(resolve, failed));
      });
      calls.push(done);
    };
    // Makes the programs' names differ from those of an earlier load.
    const tag = world.now().toString(36);
    for (let i = 0; i < chats; i++)
      startAtRandom(() => callers().chat({ turns: 2 + rand.int(3), stored: false, program: `p${tag}-${i}` }));
    for (let i = 0; i < kept; i++)
      startAtRandom(() => callers().chat({ turns: 6 + rand.int(3), stored: true, program: `k${tag}-${i}` }));
    for (let i = 0; i < jobs; i++)
      startAtRandom(() => callers().job({ urgent: i % 2 === 0, once: i % 4 < 2, key: `j${tag}-${i}` }));
    let isDone = false;
    const all = Promise.all(calls).then(() => {
      isDone = true;
    });
    return { all, done: () => isDone };
  };
