// When possible founders, which can't tell a first start from a lost disk, may form a group (§3.3).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration } from '@thornsail/runtime';
import { defaultTiming, replica } from '../src/replica.js';
import type { DiscoverReply, Effect, Event, Founding, ReplicaState } from '../src/types.js';

const addresses = ['127.0.0.1:1', '127.0.0.2:1', '127.0.0.3:1'];
const [own, second, third] = addresses as [string, string, string];
const afterDelay = defaultTiming.possibleFounderDelay + duration.ms(1);

const open = (founding: Founding): ReplicaState<number[]> =>
  replica.create<number[]>({
    id: 'n1',
    at: own,
    founders: founding === 'none' ? [] : addresses,
    founding,
    initial: [],
    timing: defaultTiming,
    term: 0,
    now: 0,
    random: () => 0,
  });
const step = (state: ReplicaState<number[]>, event: Event<number[]>, now: number): Effect<number[]>[] =>
  replica.step(state, event, now, () => 0);
const reply = (id: string, founding: Founding, formed = false): DiscoverReply => ({
  kind: 'discover',
  id,
  formed,
  founding,
});
/** Whether the replica forms the group at a discovery that the others answer like this. */
const forms = (state: ReplicaState<number[]>, now: number, answers: Record<string, DiscoverReply>): boolean => {
  const requests = step(state, { type: 'tick' }, now).filter((effect) => effect.type === 'send');
  const effects = requests.flatMap((request) =>
    step(state, { type: 'response', request: request.request, reply: answers[request.at]! }, now),
  );
  return effects.some((effect) => effect.type === 'write');
};

test('possible founders form a group once all of them have waited, and not before', () => {
  const answers = { [second]: reply('n2', 'possible'), [third]: reply('n3', 'possible') };
  assert.not(forms(open('possible'), duration.ms(100), answers));
  assert.ok(forms(open('possible'), afterDelay, answers));
});
test('a possible founder forms no group beside a node that belongs to one, or that is no founder', () => {
  const formed = { [second]: reply('n2', 'none', true), [third]: reply('n3', 'possible') };
  assert.not(forms(open('possible'), afterDelay, formed));
  const spare = { [second]: reply('n2', 'none'), [third]: reply('n3', 'possible') };
  assert.not(forms(open('possible'), afterDelay, spare));
});
test('a certain founder forms no group beside a member of one, although another founder has lost its disk', () => {
  const answers = { [second]: reply('n2', 'possible'), [third]: reply('n3', 'certain', true) };
  assert.not(forms(open('certain'), afterDelay, answers));
});
test('a founder forms no group before all others have answered', () => {
  const answers = { [second]: reply('n2', 'certain') };
  assert.not(forms(open('certain'), afterDelay, answers));
});
test('a possible founder leaves the group to a certain one, which does not wait', () => {
  const answers = { [second]: reply('n2', 'certain'), [third]: reply('n3', 'possible') };
  assert.not(forms(open('possible'), afterDelay, answers));
  const possible = { [second]: reply('n2', 'possible'), [third]: reply('n3', 'none') };
  assert.ok(forms(open('certain'), duration.ms(100), possible));
});
test('a possible founder that learns of a group is none for good', () => {
  const signs: Event<number[]>[] = [
    { type: 'group-exists' },
    { type: 'request', call: 1, from: second, message: { kind: 'heartbeat', to: 'n0', term: 3, commitIndex: 2 } },
  ];
  for (const sign of signs) {
    const state = open('possible');
    assert.ok(step(state, sign, 0).some((effect) => effect.type === 'forget-founders'));
    const answers = { [second]: reply('n2', 'possible'), [third]: reply('n3', 'possible') };
    assert.not(forms(state, afterDelay, answers));
  }
  assert.not(step(open('certain'), { type: 'group-exists' }, 0).some((effect) => effect.type === 'forget-founders'));
});
test('possible founders form no group while members of one, too few to elect a leader, ask for pre-votes', () => {
  const state = open('possible');
  const answers = { [second]: reply('n2', 'possible'), [third]: reply('n3', 'possible') };
  const preVote = { type: 'request', call: 1, from: second, message: { kind: 'pre-vote', term: 3 } } as const;
  step(state, preVote, duration.s(2));
  assert.not(forms(state, afterDelay, answers));
  assert.ok(forms(state, duration.s(2) + afterDelay, answers));
});
test.run();
