// The agreed state and the messages of the coordinators keep the wire format of the previous release, which wrote the
// texts here (§3.3).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { coreCodec, nodeCodec, agreedState, roleCodec, snapshotCodec, stateCodec } from '@thornsail/consensus';
import type { CoreRequest, CoreResult, EncodedSnapshot, JoiningNode } from '@thornsail/consensus';

const initial =
  '{"config":{"mark":0,"raw":null,"value":null,"history":[]},"pushes":[],"roster":{},' +
  '"keepers":{"mark":0,"members":[],"swept":0,"draining":[]},"towers":[]}';
const nodes =
  '{"tower-1":{"id":"tower-1","name":"tower1","role":"tower","place":"10.0.1.1:7101","http":"10.0.1.1:7201",' +
  '"zone":"z1","inc":1,"standing":"live","since":1790000000000000},' +
  '"keeper-2":{"id":"keeper-2","name":"keeper2","role":"keeper","place":"10.0.2.1:7101","http":"10.0.2.1:7201",' +
  '"zone":"z2","inc":1,"standing":"live","since":1790000000000001},' +
  '"pilot-3":{"id":"pilot-3","name":"pilot3","role":"pilot","place":"10.0.3.1:7101","http":"10.0.3.1:7201",' +
  '"zone":"z3","inc":1,"standing":"live","since":1790000000000002},' +
  '"front-4":{"id":"front-4","name":"front4","role":"front","place":"10.0.4.1:7101","http":"10.0.4.1:7201",' +
  '"zone":"z4","inc":1,"standing":"dead","since":1790000000000010},' +
  '"keeper-5":{"id":"keeper-5","name":"keeper5","role":"keeper","place":"10.0.5.1:7101","http":"10.0.5.1:7201",' +
  '"zone":"z5","inc":2,"standing":"leaving","since":1790000000000009}}';
const encodedGroup =
  '{"mark":1,"members":[{"id":"keeper-2","at":"10.0.2.1:7101"},{"id":"keeper-5","at":"10.0.5.1:7101"}],' +
  '"swept":1,"draining":["keeper-5"]}';
const formed =
  '{"config":{"mark":0,"raw":null,"value":null,"history":[]},"pushes":[],' +
  `"roster":${nodes},"keepers":${encodedGroup},"towers":[]}`;
/** As disseminated to all nodes, with a field of a later release. */
const disseminated =
  '{"config":{"mark":0,"raw":null,"value":null,"history":[],"source":null},"pushes":[],' +
  `"roster":${nodes},"keepers":${encodedGroup},"towers":[],"later":{"role":"tower","keepers":[]}}`;

for (const [title, text] of Object.entries({ initial, formed, disseminated }))
  test(`a state of the previous release (${title}) is valid, decodes, and encodes to the same bytes`, () => {
    const encoded: unknown = JSON.parse(text);
    assert.ok(stateCodec.isValid(encoded));
    assert.is(JSON.stringify(stateCodec.encode(stateCodec.decode(encoded))), text);
  });
test('an initial state encodes to the bytes of the previous release', () => {
  assert.is(JSON.stringify(stateCodec.encode(agreedState.initial())), initial);
});
test('a decoded state has the names of this release', () => {
  const state = stateCodec.decode(JSON.parse(formed));
  const roles = Object.values(state.nodes).map((node) => node.role);
  assert.equal(roles, ['coordinator', 'store', 'agent', 'gateway', 'store']);
  assert.equal(state.storeGroup, JSON.parse(encodedGroup));
  assert.not.ok('keepers' in state);
});
test('a state with names of this release, or without its store group, is not valid', () => {
  const state = stateCodec.decode(JSON.parse(formed));
  assert.not.ok(stateCodec.isValid(state));
  assert.not.ok(stateCodec.isValid({ ...JSON.parse(formed), keepers: undefined }));
  assert.not.ok(stateCodec.isValid(JSON.parse(formed.replace('"role":"front"', '"role":"gateway"'))));
});
test('encoded roles have the names of the previous release, in its order', () => {
  assert.equal(roleCodec.roles.map(roleCodec.encode), ['tower', 'keeper', 'pilot', 'front']);
  assert.equal(['tower', 'keeper', 'pilot', 'front'].map(roleCodec.decode), roleCodec.roles);
  assert.is(roleCodec.decode('gateway'), undefined);
});
test('a version of the previous release is decoded once, and has the same bytes after encoding', () => {
  const text = `{"view":3,"seq":47,"members":[{"id":"tower-1","at":"10.0.1.1:7101"}],"state":${formed}}`;
  const encoded = JSON.parse(text) as EncodedSnapshot;
  assert.ok(snapshotCodec.isValid(encoded));
  const snapshot = snapshotCodec.decode(encoded);
  assert.is(snapshotCodec.decode(encoded), snapshot);
  assert.equal([snapshot.term, snapshot.index], [3, 47]);
  assert.is(JSON.stringify(snapshotCodec.encode(snapshot)), text);
});

const joining =
  '{"id":"front-4","name":"front4","role":"front","place":"10.0.4.1:7101","http":"10.0.4.1:7201","zone":"z4",' +
  '"inc":1,"leaving":false}';
const node = nodeCodec.decode(JSON.parse(joining) as Parameters<typeof nodeCodec.decode>[0]) as JoiningNode;
const push = { id: 'p1', base: 0, how: 'whole', body: {} } as const;
const requests: [CoreRequest, string][] = [
  [{ type: 'push', push }, '{"op":"push","push":{"id":"p1","base":0,"how":"whole","body":{}}}'],
  [{ type: 'read' }, '{"op":"read"}'],
  [{ type: 'join', node }, `{"op":"join","node":${joining}}`],
  [
    { type: 'suspect', suspicions: [{ watcher: 'a', id: 'front-4', incarnation: 2 }] },
    '{"op":"suspect","list":[{"by":"a","id":"front-4","inc":2}]}',
  ],
  [{ type: 'sweep-complete', version: 7 }, '{"op":"swept","mark":7}'],
  [{ type: 'drain', id: 'keeper-5', on: true }, '{"op":"drain","id":"keeper-5","on":true}'],
];
for (const [request, text] of requests)
  test(`a request of the previous release (${request.type}) is valid, decodes, and encodes to the same bytes`, () => {
    const encoded = JSON.parse(text) as ReturnType<typeof coreCodec.encodeRequest>;
    assert.ok(coreCodec.isEncodedRequest(encoded));
    assert.equal(coreCodec.decodeRequest(encoded), request);
    assert.is(JSON.stringify(coreCodec.encodeRequest(request)), text);
  });
test('a join request with the name that a role has in this release is not valid', () => {
  assert.not.ok(coreCodec.isEncodedRequest({ op: 'join', node }));
});

const state = stateCodec.decode(JSON.parse(formed));
const members = [{ id: 'tower-1', at: '10.0.1.1:7101' }];
const results: [CoreRequest, CoreResult, string][] = [
  [
    { type: 'read' },
    { ok: true, index: 47, value: { state, term: 3, members, news: null, repaired: true } },
    `{"ok":true,"seq":47,"value":{"state":${formed},"view":3,"members":${JSON.stringify(members)},` +
      '"news":null,"repaired":true}}',
  ],
  [
    { type: 'push', push },
    { ok: true, index: 48, value: { ok: false, why: 'unconfirmed', mark: 2, gateways: ['front4'] } },
    '{"ok":true,"seq":48,"value":{"ok":false,"why":"unconfirmed","mark":2,"fronts":["front4"]}}',
  ],
  [
    { type: 'push', push },
    { ok: true, index: 48, value: { ok: false, why: 'collision', mark: 2 } },
    '{"ok":true,"seq":48,"value":{"ok":false,"why":"collision","mark":2}}',
  ],
  [
    { type: 'join', node },
    { ok: true, index: 49, value: { ok: true, incarnation: 1 } },
    '{"ok":true,"seq":49,"value":{"ok":true,"inc":1}}',
  ],
  [
    { type: 'drain', id: 'keeper-5', on: true },
    { ok: false, reason: 'not-leader', leader: '10.0.1.1:7101', members: ['10.0.1.1:7101'] },
    '{"ok":false,"why":"moved","head":"10.0.1.1:7101","towers":["10.0.1.1:7101"]}',
  ],
  [
    { type: 'drain', id: 'keeper-5', on: true },
    { ok: false, reason: 'outcome-unknown', leader: null, members: [] },
    '{"ok":false,"why":"unknown","head":null,"towers":[]}',
  ],
];
for (const [request, result, text] of results)
  test(`a result of the previous release (${request.type}, ${text.slice(0, 30)}) encodes to the same bytes`, () => {
    const encoded = JSON.parse(text) as ReturnType<typeof coreCodec.encodeResult>;
    assert.equal(coreCodec.decodeResult(request, encoded), result);
    assert.is(JSON.stringify(coreCodec.encodeResult(request.type, result)), text);
  });
test.run();
