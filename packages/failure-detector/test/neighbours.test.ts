// Who watches whom, and when that is computed anew (§3.2).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { ring, type Peer } from '../src/index.js';
import { openNeighbours } from '../src/neighbours.js';

const peers = (count: number): Peer[] =>
  Array.from({ length: count }, (_, i) => ({ id: `n${i}`, address: `127.0.0.${i + 1}:1`, incarnation: 1 }));
const idsOf = (nodes: Peer[]): string[] => nodes.map(({ id }) => id).sort();

test('a node watches exactly those whose watcher it is, whatever the order of the list', () => {
  for (let count = 1; count <= 12; count++) {
    const members = peers(count);
    for (const { id } of members) {
      const watched = members.filter((node) => ring.watchers(members, node.id, 3).some((w) => w.id === id));
      assert.equal(idsOf(ring.watched([...members].reverse(), id, 3)), idsOf(watched), `${id} of ${count}`);
    }
  }
});
test('a node that is not a member watches nobody, and nobody watches it', () => {
  assert.equal(ring.watchers(peers(4), 'other', 3), []);
  assert.equal(ring.watched(peers(4), 'other', 3), []);
});
test('neighbours are the same object until the list is another one, or the node has another id', () => {
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
