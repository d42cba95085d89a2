// The wire format of frames between nodes (§3.1). The literals were written by the previous release.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { real, type Address, type Net } from '@thornsail/runtime';
import { rpc, validate, type Rpc } from '@thornsail/rpc';
import { decodeFrame, encodeFrame, type Frame } from '../src/frame.js';

const fields = '{"p":1,"k":2,"t":3,"n":4,"b":5}';
const cases: { frame: Frame; bytes: string }[] = [
  {
    frame: { type: 'notification', method: 'beat', requestId: '', body: { id: 'a', inc: 3 } },
    bytes: `[${fields},1,"tell","beat","",{"id":6,"inc":7},"a",3]`,
  },
  {
    frame: { type: 'request', method: 'double', requestId: 'a2ef14ad95.1', body: { n: 4 } },
    bytes: `[${fields},1,"ask","double","a2ef14ad95.1",{"n":6},4]`,
  },
  {
    frame: { type: 'response', method: 'double', requestId: 'a2ef14ad95.1', body: 8 },
    bytes: `[${fields},1,"result","double","a2ef14ad95.1",8]`,
  },
  {
    frame: { type: 'error', method: 'trible', requestId: 'a2ef14ad95.1', body: 'no such message: trible' },
    bytes: `[${fields},1,"fault","trible","a2ef14ad95.1","no such message: trible"]`,
  },
];

test('each frame type is encoded to the bytes of the previous release, and decoded from them', () => {
  for (const { frame, bytes } of cases) {
    assert.is(encodeFrame(frame), bytes);
    assert.equal(decodeFrame(bytes), { protocolVersion: 1, ...frame });
  }
});
test('a frame of another protocol version is decoded with its version', () => {
  const frame = decodeFrame(`[${fields},2,"ask","double","7.1",8]`);
  assert.equal(frame, { protocolVersion: 2, type: 'request', method: 'double', requestId: '7.1', body: 8 });
});
test('a text with a missing or mistyped field is not decoded', () => {
  const malformed = [
    'no devalue',
    '7',
    '[null]',
    '[[1],2]',
    `[${fields},"1","ask","double","7.1",8]`,
    `[${fields},1,"asks","double","7.1",8]`,
    `[${fields},1,"toString","double","7.1",8]`,
    `[${fields},1,"ask",7,"7.1",8]`,
    `[${fields},1,"ask","double",7,8]`,
    '[{"p":1,"k":2,"t":3,"b":4},1,"ask","double",8]',
  ];
  for (const text of malformed) assert.is(decodeFrame(text), undefined, text);
});

const peer: Address = '10.0.0.2:1';
/** Opens an endpoint with the method `double` on a stand-in transport; `sent` holds the frames that it sends. */
const openDoublingNode = async (): Promise<{ node: Rpc; sent: string[]; receive: (text: string) => void }> => {
  const base = real.runtime('/nonexistent');
  const sent: string[] = [];
  let receive: (text: string) => void = () => undefined;
  const openTransport: Net['openFrameTransport'] = (at, onFrame) => {
    receive = (text) => void onFrame(peer, text);
    return Promise.resolve({ at, send: (_to, text) => void sent.push(text), close: () => Promise.resolve() });
  };
  const node = await rpc.open({ ...base, net: { ...base.net, openFrameTransport: openTransport } }, '10.0.0.1:1');
  node.on<{ n: number }>('double', validate.object({ n: validate.integer }), ({ n }) => n * 2);
  return { node, sent, receive };
};
const nextTurn = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

test('the response or error to a request has the bytes of the previous release', async () => {
  const exchanges = [
    [`[${fields},1,"ask","double","7.1",{"n":6},4]`, `[${fields},1,"result","double","7.1",8]`],
    [`[${fields},1,"ask","trible","7.1",{"n":6},4]`, `[${fields},1,"fault","trible","7.1","no such message: trible"]`],
    [
      `[${fields},2,"ask","double","7.1",{}]`,
      `[${fields},1,"fault","double","7.1","protocol mark 2 is not spoken here (1 to 1)"]`,
    ],
    [
      `[${fields},1,"ask","double","7.1",{}]`,
      `[${fields},1,"fault","double","7.1","double at 10.0.0.2:1: a message of another shape"]`,
    ],
  ];
  for (const [request, response] of exchanges) {
    const { sent, receive } = await openDoublingNode();
    receive(request!);
    await nextTurn();
    assert.equal(sent, [response]);
  }
});
test('notifications have the bytes of the previous release and are never answered, even if they fail', async () => {
  const { node, sent, receive } = await openDoublingNode();
  node.notify(peer, 'beat', { id: 'a', inc: 3 });
  receive(`[${fields},1,"tell","double","",{}]`);
  receive(`[${fields},1,"tell","trible","",{}]`);
  receive(`[${fields},2,"tell","double","",{}]`);
  await nextTurn();
  assert.equal(sent, [cases[0]!.bytes]);
});
test.run();
