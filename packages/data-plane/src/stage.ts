// The stages of a turn (§5.1). "Not run" may be said only from a stage in which nothing was sent.
import { createMachine, interpret, state as st, transition } from 'robot3';
import { invariant } from '@thornsail/runtime';

export type Stage = 'planned' | 'held' | 'admitted' | 'charged' | 'sent' | 'relaying' | 'ended' | 'rejected' | 'lost';
type Move = 'hold' | 'admit' | 'charge' | 'send' | 'unsent' | 'relay' | 'end' | 'reject' | 'lose' | 'again';

const machine = createMachine({
  planned: st(transition('hold', 'held'), transition('admit', 'admitted'), transition('reject', 'rejected')),
  held: st(transition('admit', 'admitted'), transition('reject', 'rejected')),
  admitted: st(transition('charge', 'charged'), transition('reject', 'rejected')),
  charged: st(transition('send', 'sent'), transition('reject', 'rejected'), transition('again', 'admitted')),
  sent: st(transition('unsent', 'charged'), transition('relay', 'relaying'), transition('lose', 'lost')),
  relaying: st(transition('end', 'ended'), transition('lose', 'lost')),
  ended: st(),
  rejected: st(),
  lost: st(transition('again', 'admitted')),
});

export type Stages = { now: () => Stage; go: (m: Move) => void; ran: () => 'no' | 'unknown' };
export const stages = {
  open: (): Stages => {
    const s = interpret(machine, () => undefined);
    let everSent = false;
    let everLost = false;
    const now = (): Stage => s.machine.current as Stage;
    return {
      now,
      go: (m) => {
        const was = now();
        s.send(m);
        invariant.hold(now() !== was, `a turn cannot ${m} when it is ${was}`);
        if (m === 'send') everSent = true;
        if (m === 'unsent') everSent = false;
        if (m === 'lose') everLost = true;
      },
      ran: () => (everSent || everLost ? 'unknown' : 'no'),
    };
  },
};
