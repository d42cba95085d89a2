/**
 * Formation of the first group (§3.3). The founder with the lowest address forms it, and only when all founders answer
 * and none of them is a member of a group already. If that founder has started again without its disk, and so no longer
 * knows that it is one, the next founder that has run since its first start forms the group in its place.
 */
import { log, send } from './effects.js';
import { formGroup } from './follower.js';
import type { Address } from '@thornsail/runtime';
import type { DiscoverReply, Discovery, ReplicaState, Step } from './types.js';

/** Requests the identities of the other founders, unless this replica is a member or a discovery is already running. */
export const discover = <S>(step: Step<S>): void => {
  const { state } = step;
  if (state.accepted || state.founders.length === 0 || state.discovery || state.pendingWrite) return;
  const others = state.founders.filter((address) => address !== state.at);
  state.discovery = { found: [], pending: others.length };
  if (state.founders.includes(state.at))
    state.discovery.found.push({ id: state.id, at: state.at, formed: false, founding: true });
  for (const address of others)
    send(step, address, { kind: 'discover' }, state.timing.requestTimeout, { kind: 'discover', at: address });
  settleDiscovery(step);
};

/** Handles the reply of the founder at an address; a failed request (`undefined`) leaves the group unformed. */
export const onDiscoverReply = <S>(step: Step<S>, address: Address, reply: DiscoverReply | undefined): void => {
  const { discovery } = step.state;
  if (!discovery) return;
  discovery.pending -= 1;
  if (reply) discovery.found.push({ id: reply.id, at: address, formed: reply.formed, founding: reply.founding });
  settleDiscovery(step);
};

/** Whether this replica is the one that forms the group, once all founders are found. */
const isFormer = <S>({ founders, at, firstLife }: ReplicaState<S>, { found }: Discovery): boolean => {
  const isLowest = [...founders].sort()[0] === at;
  const lowestFounding = found
    .filter((member) => member.founding)
    .map((member) => member.at)
    .sort()[0];
  return isLowest || (firstLife && lowestFounding === at);
};

/** Logs why no group is formed, unless the last line said the same. */
const logUnformed = <S>(step: Step<S>, { found }: Discovery): void => {
  const { state } = step;
  const answerOf = (address: Address): string => {
    const member = found.find(({ at }) => at === address);
    if (!member) return 'no answer';
    return member.formed ? 'member of a group' : member.founding ? 'founder' : 'no founder any more';
  };
  const answers = state.founders.map((address) => `${address} ${answerOf(address)}`).join(', ');
  if (answers === state.loggedAnswers) return;
  state.loggedAnswers = answers;
  log(step, `no group is formed yet: ${answers}.`);
};

const settleDiscovery = <S>(step: Step<S>): void => {
  const { state } = step;
  const { discovery, founders } = state;
  if (!discovery || discovery.pending > 0) return;
  state.discovery = undefined;
  const complete = discovery.found.length === founders.length && !discovery.found.some((member) => member.formed);
  if (state.accepted || state.pendingWrite) return;
  if (!complete || !isFormer(state, discovery)) return logUnformed(step, discovery);
  const found = [...discovery.found].sort((a, b) => founders.indexOf(a.at) - founders.indexOf(b.at));
  const members = found.map(({ id, at }) => ({ id, at }));
  for (const member of members)
    if (member.id !== state.id)
      send(step, member.at, { kind: 'form', members }, state.timing.voteTimeout, { kind: 'form' });
  formGroup(step, null, { kind: 'form', members });
};
