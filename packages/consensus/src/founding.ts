/**
 * The first group (§3.3): formed by the founder with the lowest address, only when all are there and none is a member.
 */
import { send } from './actions.js';
import { formGroup } from './follower.js';
import type { Address } from '@thornsail/runtime';
import type { DiscoverReply, Step } from './types.js';

/** Asks the other founders who they are, unless this replica is a member or is asking already. */
export const discover = <S>(step: Step<S>): void => {
  const { state } = step;
  if (state.accepted || state.founders.length === 0 || state.discovery || state.writing) return;
  const others = state.founders.filter((at) => at !== state.at);
  state.discovery = { found: [], pending: others.length };
  if (state.founders.includes(state.at)) state.discovery.found.push({ id: state.id, at: state.at, formed: false });
  for (const at of others) send(step, at, { kind: 'discover' }, state.timing.requestTimeout, { kind: 'discover', at });
  settleDiscovery(step);
};

/** Takes the answer of the founder at an address; a failed request (`undefined`) leaves the group unformed. */
export const onDiscoverReply = <S>(step: Step<S>, at: Address, reply: DiscoverReply | undefined): void => {
  const { discovery } = step.state;
  if (!discovery) return;
  discovery.pending -= 1;
  if (reply) discovery.found.push({ id: reply.id, at, formed: reply.formed });
  settleDiscovery(step);
};

const settleDiscovery = <S>(step: Step<S>): void => {
  const { state } = step;
  const { discovery, founders } = state;
  if (!discovery || discovery.pending > 0) return;
  state.discovery = undefined;
  const complete = discovery.found.length === founders.length && !discovery.found.some((member) => member.formed);
  if (state.accepted || state.writing || !complete || [...founders].sort()[0] !== state.at) return;
  const found = [...discovery.found].sort((a, b) => founders.indexOf(a.at) - founders.indexOf(b.at));
  const members = found.map(({ id, at }) => ({ id, at }));
  for (const member of members)
    if (member.id !== state.id)
      send(step, member.at, { kind: 'form', members }, state.timing.voteTimeout, { kind: 'form' });
  formGroup(step, null, { kind: 'form', members });
};
