/** The roles of a replica and the transitions between them (§3.3). */
import { createMachine, interpret, state, transition } from 'robot3';
import type { Role, Step } from './types.js';

/** What may change the role of a replica. */
export type RoleEvent = 'formed' | 'election-started' | 'elected' | 'stepped-down';

const states = {
  unformed: state(transition('formed', 'follower')),
  follower: state(transition('election-started', 'candidate')),
  candidate: state(transition('elected', 'leader'), transition('stepped-down', 'follower')),
  leader: state(transition('stepped-down', 'follower')),
};

/** The role after an event; an event that a role has no transition for changes nothing. */
export const nextRole = (role: Role, event: RoleEvent): Role => {
  const service = interpret(createMachine(role, states), () => undefined);
  service.send(event);
  return service.machine.current as Role;
};

/** Takes the role that follows from the event, and logs it where it is another one. */
export const changeRole = <S>(step: Step<S>, event: RoleEvent): void => {
  const role = nextRole(step.state.role, event);
  if (role === step.state.role) return;
  step.state.role = role;
  step.effects.push({ type: 'log', text: `role is ${role}.` });
};
