// What a node knows of its own freezes, of dead nodes, and of its local agent, by its own clock (§3.2, §3.5, §3.7).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { agreedState, type NodeEntry, type AgreedState } from '@thornsail/consensus';
import { duration, real, type Clock } from '@thornsail/runtime';
import { openDeadNodes } from '../src/dead-nodes.js';
import { openFreezeMonitor } from '../src/freeze-monitor.js';
import { openLocalAgent } from '../src/local-agent.js';

const clockAt = (): { clock: Clock; pass: (time: number) => void } => {
  let now = 0;
  return {
    clock: { ...real.runtime('/nonexistent').clock, now: () => now },
    pass: (time) => void (now += time),
  };
};
const entry = (id: string, status: NodeEntry['status']): NodeEntry => ({
  id,
  name: id,
  role: 'agent',
  place: '10.0.0.2:1',
  http: '10.0.0.2:2',
  zone: 'z1',
  incarnation: 1,
  status,
  since: 0,
});
const stateOf = (...entries: NodeEntry[]): AgreedState => ({
  ...agreedState.initial(),
  nodes: Object.fromEntries(entries.map((node) => [node.id, node])),
});

test('a process that did not tick for more than 700 ms is stale until it has refreshed', () => {
  const { clock, pass } = clockAt();
  const monitor = openFreezeMonitor(clock);
  pass(duration.ms(700));
  assert.equal([monitor.isStale(), monitor.tick(), monitor.needsRefresh()], [false, false, false]);
  pass(duration.ms(701));
  assert.equal([monitor.isStale(), monitor.needsRefresh()], [true, false]);
  assert.ok(monitor.tick());
  assert.not.ok(monitor.tick());
  assert.equal([monitor.isStale(), monitor.needsRefresh(), monitor.freezes()], [true, true, 1]);
  monitor.refreshed();
  assert.equal([monitor.isStale(), monitor.needsRefresh(), monitor.freezes()], [false, false, 1]);
});
test('a dead node counts from when it was first seen dead, and no longer once it lives again', () => {
  const { clock, pass } = clockAt();
  const dead = openDeadNodes(clock);
  dead.observe(stateOf(entry('a', 'dead'), entry('b', 'live')));
  pass(duration.s(2));
  dead.observe(stateOf(entry('a', 'dead'), entry('b', 'leaving')));
  const state = stateOf(entry('a', 'dead'), entry('b', 'live'));
  assert.equal([dead.deadFor('a', state), dead.deadFor('b', state)], [duration.s(2), 0]);
  dead.observe(stateOf(entry('a', 'live')));
  assert.is(dead.deadFor('a', stateOf(entry('a', 'live'))), 0);
});
test('a node that the agreed state does not list counts as dead from the first question', () => {
  const { clock, pass } = clockAt();
  const dead = openDeadNodes(clock);
  assert.is(dead.deadFor('a', undefined), 0);
  pass(duration.s(1));
  assert.is(dead.deadFor('a', stateOf()), 0);
  pass(duration.s(1));
  assert.is(dead.deadFor('a', stateOf()), duration.s(1));
});
test('the local agent is used unless it is dead by the agreed state, or nothing was heard for 800 ms', () => {
  const { clock, pass } = clockAt();
  const at = '10.0.0.2:1';
  let state: AgreedState | undefined;
  const agreed = { state: () => state, live: () => (state ? agreedState.liveNodes(state) : []) };
  const agent = openLocalAgent(at, clock, agreed);
  assert.is(agent.usable(), at, 'without a state');
  state = stateOf(entry('a', 'dead'));
  assert.is(agent.usable(), undefined);
  state = stateOf(entry('a', 'live'));
  pass(duration.ms(800));
  agent.check(0);
  assert.is(agent.usable(), at);
  pass(1);
  agent.check(0);
  assert.is(agent.usable(), undefined);
  pass(duration.s(1));
  assert.is(agent.usable(), at, 'it is tried again after a second');
  assert.is(openLocalAgent(undefined, clock, agreed).usable(), undefined);
});
test.run();
