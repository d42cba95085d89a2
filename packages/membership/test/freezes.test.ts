// Detection of freezes, the time since the death of nodes, and the availability of the local agent (§3.2, §3.5, §3.7).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { agreedState, type NodeEntry, type AgreedState } from '@thornsail/consensus';
import { duration, real, type Clock } from '@thornsail/runtime';
import { openDeadNodes } from '../src/dead-nodes.js';
import { openFreezeMonitor } from '../src/freeze-monitor.js';
import { openLocalAgent } from '../src/local-agent.js';

const createClock = (): { clock: Clock; advance: (time: number) => void } => {
  let now = 0;
  return {
    clock: { ...real.runtime('/nonexistent').clock, now: () => now },
    advance: (time) => void (now += time),
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

test('a process without a tick for more than 700 ms is stale until it has refreshed', () => {
  const { clock, advance } = createClock();
  const monitor = openFreezeMonitor(clock);
  advance(duration.ms(700));
  assert.equal([monitor.isStale(), monitor.tick(), monitor.needsRefresh()], [false, false, false]);
  advance(duration.ms(701));
  assert.equal([monitor.isStale(), monitor.needsRefresh()], [true, false]);
  assert.ok(monitor.tick());
  assert.not.ok(monitor.tick());
  assert.equal([monitor.isStale(), monitor.needsRefresh(), monitor.freezes()], [true, true, 1]);
  monitor.refreshed();
  assert.equal([monitor.isStale(), monitor.needsRefresh(), monitor.freezes()], [false, false, 1]);
});
test('the time since the death of a node starts when it is first seen dead, and ends when it is alive again', () => {
  const { clock, advance } = createClock();
  const deadNodes = openDeadNodes(clock);
  deadNodes.observe(stateOf(entry('a', 'dead'), entry('b', 'live')));
  advance(duration.s(2));
  deadNodes.observe(stateOf(entry('a', 'dead'), entry('b', 'leaving')));
  const state = stateOf(entry('a', 'dead'), entry('b', 'live'));
  assert.equal([deadNodes.deadFor('a', state), deadNodes.deadFor('b', state)], [duration.s(2), 0]);
  deadNodes.observe(stateOf(entry('a', 'live')));
  assert.is(deadNodes.deadFor('a', stateOf(entry('a', 'live'))), 0);
});
test('a node that the agreed state does not list counts as dead from the first query', () => {
  const { clock, advance } = createClock();
  const deadNodes = openDeadNodes(clock);
  assert.is(deadNodes.deadFor('a', undefined), 0);
  advance(duration.s(1));
  assert.is(deadNodes.deadFor('a', stateOf()), 0);
  advance(duration.s(1));
  assert.is(deadNodes.deadFor('a', stateOf()), duration.s(1));
});
test('the local agent is used unless it is dead by the agreed state or there was no contact for 800 ms', () => {
  const { clock, advance } = createClock();
  const address = '10.0.0.2:1';
  let state: AgreedState | undefined;
  const agreed = { state: () => state, live: () => (state ? agreedState.liveNodes(state) : []) };
  const agent = openLocalAgent(address, clock, agreed);
  assert.is(agent.usable(), address, 'without a state');
  state = stateOf(entry('a', 'dead'));
  assert.is(agent.usable(), undefined);
  state = stateOf(entry('a', 'live'));
  advance(duration.ms(800));
  agent.check(0);
  assert.is(agent.usable(), address);
  advance(1);
  agent.check(0);
  assert.is(agent.usable(), undefined);
  advance(duration.s(1));
  assert.is(agent.usable(), address, 'the agent is used again after 1 s');
  assert.is(openLocalAgent(undefined, clock, agreed).usable(), undefined);
});
test.run();
