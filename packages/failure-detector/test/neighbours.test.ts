// Which nodes watch which, and when the cached neighbours are recomputed (§3.2).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { ring, type Peer } from '../src/index.js';
import { openNeighbours } from '../src/neighbours.js';

const peers = (count: number): Peer[] =>
  Array.from({ length: count }, (_, i) => ({ id: `n${i}`, address: `127.0.0.${i + 1}:1`, incarnation: 1 }));
const idsOf = (nodes: Peer[]): string[] => nodes.map(({ id }) => id).sort();

test('a node watches exactly the nodes that it is a watcher of, independent of the order of the member list', () => {
  for (let count = 1; count <= 12; count++) {
    const members = peers(count);
    for (const { id } of members) {
      const watched = members.filter((node) => ring.watchers(members, node.id, 3).some((watcher) => watcher.id === id));
      assert.equal(idsOf(ring.watched([...members].reverse(), id, 3)), idsOf(watched), `${id} of ${count}`);
    }
  }
});
test('a node that is not a member has no watchers and watches no node', () => {
  assert.equal(ring.watchers(peers(4), 'other', 3), []);
  assert.equal(ring.watched(peers(4), 'other', 3), []);
});
test('neighbours are the same object until the member list is another array or the node id changes', () => {
  let members = peers(6);
  const neighboursOf = openNeighbours(() => members, 3);
  const first = neighboursOf('n0');
  assert.is(neighboursOf('n0'), first);
  assert.is.not(neighboursOf('n1'), first);
  const again = neighboursOf('n0');
  members = members.slice(0, 2);
  assert.is.not(neighboursOf('n0'), again);
  assert.equal(idsOf(neighboursOf('n0').watched), ['n1']);
});
test.run();
