/** State machine of a request (§5.1). "Not run" may be reported only while nothing has been sent to a worker. */
import { invariant } from '@thornsail/runtime';
import { createMachine, interpret, state, transition } from 'robot3';

/** `held`: waits in the scheduler; `charged`: its budget is reserved, or it needs none. */
export type Phase = 'planned' | 'held' | 'admitted' | 'charged' | 'sent' | 'relaying' | 'ended' | 'rejected' | 'lost';
type PhaseEvent = 'hold' | 'admit' | 'charge' | 'send' | 'unsent' | 'relay' | 'end' | 'reject' | 'lose' | 'again';

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

/** What may be reported to the caller on whether the request has run: `no` is a promise. */
export type Execution = 'no' | 'unknown';
/** The phase of one request. */
export type Phases = {
  current: () => Phase;
  /** Throws, as a breach of an invariant, if the phase does not allow the event. */
  transition: (event: PhaseEvent) => void;
  /** `unknown` once the request may have reached a worker. */
  execution: () => Execution;
};

/** Opens the state machine of a request. */
export const phases = {
  open: (): Phases => {
    const service = interpret(machine, () => undefined);
    let everSent = false;
    let everLost = false;
    const current = (): Phase => service.machine.current as Phase;
    return {
      current,
      transition: (event) => {
        const previous = current();
        service.send(event);
        invariant.hold(current() !== previous, `a turn cannot ${event} when it is ${previous}`);
        if (event === 'send') everSent = true;
        if (event === 'unsent') everSent = false;
        if (event === 'lose') everLost = true;
      },
      execution: () => (everSent || everLost ? 'unknown' : 'no'),
    };
  },
};
