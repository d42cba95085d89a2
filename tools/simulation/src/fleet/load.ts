// The load on a simulated deployment: callers that begin at random times.
import type { Callers } from '@thornsail/test-harness';
import type { World } from '../world/index.js';
import type { Fleet } from './types.js';

type LoadOptions = { world: World; callers: () => Callers; onBreach: (text: string) => void };

/** Starts callers of each kind; `done` says whether all have ended. */
export const loadOf =
  ({ world, callers, onBreach }: LoadOptions): Fleet['load'] =>
  ({ chats, kept, jobs, over }) => {
    const { rand } = world;
    const work: Promise<void>[] = [];
    const atRandom = (call: () => Promise<void>): void => {
      const done = new Promise<void>((resolve) => {
        const failed = (error: unknown): void => {
          onBreach(`a caller failed: ${String(error)}`);
          resolve();
        };
        world.scheduleAt(world.now() + rand.int(over), () => void call().then(resolve, failed));
      });
      work.push(done);
    };
    // The callers' names differ from those of an earlier load.
    const tag = world.now().toString(36);
    for (let i = 0; i < chats; i++)
      atRandom(() => callers().chat({ turns: 2 + rand.int(3), kept: false, program: `p${tag}-${i}` }));
    for (let i = 0; i < kept; i++)
      atRandom(() => callers().chat({ turns: 6 + rand.int(3), kept: true, program: `k${tag}-${i}` }));
    for (let i = 0; i < jobs; i++)
      atRandom(() => callers().job({ urgent: i % 2 === 0, once: i % 4 < 2, key: `j${tag}-${i}` }));
    let isDone = false;
    const all = Promise.all(work).then(() => {
      isDone = true;
    });
    return { all, done: () => isDone };
  };
