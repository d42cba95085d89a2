/**
 * Formation of the first group (§3.3). All founders have to answer, and none may be a member of a group already.
 *
 * A founder is `certain` if it was named one at the first start of the system. One that was killed before it had noted
 * that on its disk comes back without knowing it, and can't be told from a node that has lost its disk: it takes the
 * addresses that it is to join by for `possible` founders. These form a group only where all of them came back like
 * this, which are more disks than can be lost at once, and only after a while without a sign of an existing group.
 */
import { log, send } from './effects.js';
import { formGroup } from './follower.js';
import type { Address } from '@thornsail/runtime';
import type { DiscoverReply, Discovery, Founding, Step } from './types.js';

/** Requests the identities of the other founders, unless this replica is a member or a discovery is already running. */
export const discover = <S>(step: Step<S>): void => {
  const { state } = step;
  if (state.accepted || state.founders.length === 0 || state.discovery || state.pendingWrite) return;
  const others = state.founders.filter((address) => address !== state.at);
  state.discovery = { found: [], pending: others.length };
  if (state.founders.includes(state.at))
    state.discovery.found.push({ id: state.id, at: state.at, formed: false, founding: state.founding });
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

/** The founder that forms the group once all are found: a certain one before a possible one, then by address. */
const formerOf = ({ found }: Discovery): Address | undefined => {
  const addressesOf = (founding: Founding): Address[] =>
    found.filter((member) => member.founding === founding).map((member) => member.at);
  return addressesOf('certain').sort()[0] ?? addressesOf('possible').sort()[0];
};
const isFormer = <S>({ state, now }: Step<S>, discovery: Discovery): boolean => {
  if (formerOf(discovery) !== state.at) return false;
  if (state.founding === 'certain') return true;
  const allPossible = discovery.found.every((member) => member.founding === 'possible');
  return allPossible && now - state.quietSince >= state.timing.possibleFounderDelay;
};

const answerText = (member: Discovery['found'][number] | undefined): string => {
  if (!member) return 'no answer';
  if (member.formed) return 'member of a group';
  return { certain: 'founder', possible: 'possible founder', none: 'no founder' }[member.founding];
};
/** Logs why no group is formed, unless the last line said the same. */
const logUnformed = <S>(step: Step<S>, { found }: Discovery): void => {
  const { state } = step;
  const answers = state.founders
    .map((address) => `${address} ${answerText(found.find(({ at }) => at === address))}`)
    .join(', ');
  if (answers === state.loggedAnswers) return;
  state.loggedAnswers = answers;
  log(step, `no group is formed yet: ${answers}.`);
};

const settleDiscovery = <S>(step: Step<S>): void => {
  const { state } = step;
  const { discovery, founders } = state;
  if (!discovery || discovery.pending > 0) return;
  state.discovery = undefined;
  if (state.accepted || state.pendingWrite || founders.length === 0) return;
  const complete = discovery.found.length === founders.length && !discovery.found.some((member) => member.formed);
  if (!complete || !isFormer(step, discovery)) return logUnformed(step, discovery);
  const found = [...discovery.found].sort((a, b) => founders.indexOf(a.at) - founders.indexOf(b.at));
  const members = found.map(({ id, at }) => ({ id, at }));
  formGroup(step, null, { former: state.at, members });
};
