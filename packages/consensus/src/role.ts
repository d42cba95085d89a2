/** The roles of a replica and the transitions between them (§3.3). */
import { createMachine, interpret, state, transition } from 'robot3';
import type { Role, Step } from './types.js';

/** Events that may change the role of a replica. */
export type RoleEvent = 'formed' | 'election-started' | 'elected' | 'stepped-down';

const states = {
  unformed: state(transition('formed', 'follower')),
  follower: state(transition('election-started', 'candidate')),
  candidate: state(transition('elected', 'leader'), transition('stepped-down', 'follower')),
  leader: state(transition('stepped-down', 'follower')),
};

/** The role after an event. An event without a transition from this role leaves it unchanged. */
export const nextRole = (role: Role, event: RoleEvent): Role => {
  const service = interpret(createMachine(role, states), () => undefined);
  service.send(event);
  return service.machine.current as Role;
};

/** Applies a role event to the replica and logs the new role if it changed. */
export const changeRole = <S>(step: Step<S>, event: RoleEvent): void => {
  const role = nextRole(step.state.role, event);
  if (role === step.state.role) return;
  step.state.role = role;
  step.effects.push({ type: 'log', text: `role changed to ${role}.` });
};
