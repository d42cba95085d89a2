// The HTTP admin API answers byte for byte as the previous release, which wrote the expected texts here (§7.3).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { adminApi, type AdminApiNode } from '@thornsail/admin-api';
import { agreedState } from '@thornsail/consensus';
import type { AgreedState, CoreRequest, NodeEntry, NodeRole } from '@thornsail/consensus';
import { duration, type HttpRequest, type HttpResponseWriter } from '@thornsail/runtime';

const startedAt = 1_790_000_000_000_000;
const nodeOf = (name: string, number: number, role: NodeRole, status: NodeEntry['status'] = 'live'): NodeEntry => ({
  id: `${name}-${number}`,
  name: `${name}${number}`,
  role,
  place: `10.0.${number}.1:7101`,
  http: `10.0.${number}.1:7201`,
  zone: `z${number}`,
  incarnation: 1,
  status,
  since: startedAt + number,
});
const nodes = [
  nodeOf('tower', 1, 'coordinator'),
  nodeOf('keeper', 2, 'store'),
  nodeOf('pilot', 3, 'agent'),
  nodeOf('front', 4, 'gateway'),
  nodeOf('keeper', 5, 'store', 'leaving'),
  nodeOf('front', 6, 'gateway', 'dead'),
];
const state: AgreedState = {
  ...agreedState.initial(),
  nodes: Object.fromEntries(nodes.map((node) => [node.id, node])),
  storeGroup: { mark: 2, members: [{ id: 'keeper-2', at: '10.0.2.1:7101' }], swept: 1, draining: ['keeper-5'] },
};
const members = [{ id: 'tower-1', at: '10.0.1.1:7101' }];
const news = {
  workers: [{ id: 'w', at: '10.0.9.1:1', kind: 'model', leaving: true }],
  loads: {},
  duties: { sweep: { by: 'keeper-2', mark: 3 } },
};
const valueOf = (request: CoreRequest): unknown => {
  if (request.type === 'push') return { ok: false, why: 'unconfirmed', mark: 1, gateways: ['front4'] };
  return request.type === 'read' ? { state, term: 3, members, news, repaired: true } : true;
};

/** A gateway whose coordinators answer at once; its clock advances by 3 seconds each time that it is read. */
const gateway = (): AdminApiNode => {
  let now = 0;
  const clock = { now: () => (now += duration.s(3)), wallTime: () => startedAt, schedule: () => () => undefined };
  const core = { request: (request: CoreRequest) => Promise.resolve({ index: 47, value: valueOf(request) }) };
  const node = {
    runtime: { clock, rand: { id: () => 'r1' } },
    rpc: { address: '10.0.4.1:7101', request: () => Promise.resolve(undefined) },
    membership: { core, id: 'front-4', index: () => 47, isMember: () => true, stale: () => false },
    registers: {},
    role: 'gateway',
    name: 'front4',
    ready: () => ({ ok: true, why: [] }),
    counts: () => ({ a: 1 }),
    drain: () => Promise.resolve(),
  };
  return node as unknown as AdminApiNode;
};
const call = async (method: string, path: string, headers: Record<string, string> = {}): Promise<string> => {
  let text = '';
  const response = {
    writeHead: (status: number) => (text = `${status} `),
    end: (body: string) => (text += body),
    isClosed: () => false,
  } as unknown as HttpResponseWriter;
  const request = { method, path: `/thornsail/v1/${path}`, query: {}, body: '{}', headers, bodyTooLarge: false };
  await adminApi.handler(gateway())(request as unknown as HttpRequest, response);
  return text;
};

const row = (id: string, name: string, role: string, number: number, standing = 'live'): string =>
  `{"id":"${id}","name":"${name}","role":"${role}","place":"10.0.${number}.1:7101","http":"10.0.${number}.1:7201",` +
  `"zone":"z${number}","inc":1,"standing":"${standing}","since":179000000000000${number}}`;
const answers: Record<string, string> = {
  nodes: `200 {"mark":47,"nodes":[${[
    row('front-4', 'front4', 'front', 4),
    row('front-6', 'front6', 'front', 6, 'dead'),
    row('keeper-2', 'keeper2', 'keeper', 2),
    row('keeper-5', 'keeper5', 'keeper', 5, 'leaving'),
    row('pilot-3', 'pilot3', 'pilot', 3),
    row('tower-1', 'tower1', 'tower', 1),
  ].join()}]}`,
  status:
    '200 {"mark":47,"view":3,"towers":1,"config":0,"keepers":{"mark":2,"members":1,"swept":false,"draining":1},' +
    '"nodes":{"tower":1,"keeper":2,"pilot":1,"front":1},"dead":1,"workers":1,"leaving":1}',
  marks: '200 {"mark":47,"view":3,"order":47,"config":0,"keepers":2,"swept":1}',
  keepers:
    '200 {"mark":47,"members":[{"id":"keeper-2","at":"10.0.2.1:7101"}],"swept":1,"draining":["keeper-5"],"group":2}',
  duties: '200 {"mark":47,"duties":{"sweep":{"by":"keeper-2","mark":3}}}',
  workers: '200 {"mark":47,"workers":[{"id":"w","at":"10.0.9.1:1","kind":"model","leaving":true}]}',
  node:
    '200 {"id":"front-4","name":"front4","role":"front","place":"10.0.4.1:7101","mark":47,"inRoster":true,' +
    '"stale":false,"counts":{"a":1}}',
  history: '200 {"mark":0,"history":[]}',
  classes: '200 {"mark":0,"classes":{}}',
  loads: '200 {"mark":47,"loads":{}}',
};
for (const [path, answer] of Object.entries(answers))
  test(`GET ${path} answers byte for byte as in the previous release`, async () => {
    assert.is(await call('GET', path), answer);
  });
test('an unconfirmed push names the gateways in the field of the previous release', async () => {
  assert.is(
    await call('PATCH', 'config', { 'if-match': '0', 'push-id': 'p1' }),
    '503 {"error":"unconfirmed","mark":1,"push":"p1","fronts":["front4"],' +
      '"message":"taken as 1, but not known to be in use at front4"}',
  );
});
test('a drain answers byte for byte as in the previous release, for a store and for a gateway', async () => {
  assert.is(
    await call('POST', 'drain/keeper5'),
    '200 {"node":"keeper5","id":"keeper-5","state":"copying to the new group","safe":false,"members":1,"mark":2,' +
      '"swept":1}',
  );
  assert.is(await call('POST', 'drain/front4'), '200 {"node":"front4","id":"front-4","state":"leaving","safe":false}');
});
test.run();
