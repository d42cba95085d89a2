/** The phases of a request (§5.1). "Not run" may be said only from a phase in which nothing was sent. */
import { invariant } from '@thornsail/runtime';
import { createMachine, interpret, state, transition } from 'robot3';

/** `held`: it waits in the scheduler; `charged`: its budget is reserved, or it needs none. */
export type Phase = 'planned' | 'held' | 'admitted' | 'charged' | 'sent' | 'relaying' | 'ended' | 'rejected' | 'lost';
type Move = 'hold' | 'admit' | 'charge' | 'send' | 'unsent' | 'relay' | 'end' | 'reject' | 'lose' | 'again';

const machine = createMachine({
  planned: state(transition('hold', 'held'), transition('admit', 'admitted'), transition('reject', 'rejected')),
  held: state(transition('admit', 'admitted'), transition('reject', 'rejected')),
  admitted: state(transition('charge', 'charged'), transition('reject', 'rejected')),
  charged: state(transition('send', 'sent'), transition('reject', 'rejected'), transition('again', 'admitted')),
  sent: state(transition('unsent', 'charged'), transition('relay', 'relaying'), transition('lose', 'lost')),
  relaying: state(transition('end', 'ended'), transition('lose', 'lost')),
  ended: state(),
  rejected: state(),
  lost: state(transition('again', 'admitted')),
});

/** Whether a request has run, as far as its caller may be told: `no` is a promise. */
export type Execution = 'no' | 'unknown';
/** Where one request is. */
export type Phases = {
  current: () => Phase;
  /** Throws if the phase does not allow the move: a fault of the program. */
  transition: (move: Move) => void;
  execution: () => Execution;
};

/** Opens the phases of requests. */
export const phases = {
  open: (): Phases => {
    const service = interpret(machine, () => undefined);
    let everSent = false;
    let everLost = false;
    const current = (): Phase => service.machine.current as Phase;
    return {
      current,
      transition: (move) => {
        const before = current();
        service.send(move);
        invariant.hold(current() !== before, `a turn cannot ${move} when it is ${before}`);
        if (move === 'send') everSent = true;
        if (move === 'unsent') everSent = false;
        if (move === 'lose') everLost = true;
      },
      execution: () => (everSent || everLost ? 'unknown' : 'no'),
    };
  },
};
