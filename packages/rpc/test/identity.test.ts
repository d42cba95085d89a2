// An answer belongs to the request whose identity it carries, whatever has become of connections and processes (§3.1).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { real, seeded, time, duration, type Net, type Address } from '@thornsail/runtime';
import { rpc, rpcErrors, validate, type Rpc } from '@thornsail/rpc';

type Sent = { from: Address; to: Address; text: string };
/** Frames are delivered when the test says so, in any order, also twice, also to a process that came later. */
const postbox = (): {
  open: (at: Address) => Promise<Rpc>;
  waiting: Sent[];
  deliver: (sent: Sent) => void;
  breaks: (at: Address, to: Address) => void;
} => {
  const waiting: Sent[] = [];
  const nodes = new Map<Address, { take: (from: Address, text: string) => boolean; down: (to: Address) => void }>();
  const frames: Net['openFrameTransport'] = (at, take, down) => {
    nodes.set(at, { take, down: down ?? (() => undefined) });
    const send = (to: Address, text: string): void => void waiting.push({ from: at, to, text });
    return Promise.resolve({ at, send, close: () => Promise.resolve() });
  };
  const base = real.runtime('/nonexistent');
  const open = (at: Address): Promise<Rpc> =>
    rpc.open({ ...base, net: { ...base.net, openFrameTransport: frames } }, at);
  return {
    open,
    waiting,
    deliver: ({ from, to, text }) => void nodes.get(to)?.take(from, text),
    breaks: (at, to) => nodes.get(at)?.down(to),
  };
};
const [clientAt, serverAt, otherAt] = ['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1'];
const settled = (): Promise<void> => time.sleep(real.runtime('/nonexistent').clock, duration.ms(5));
const codeOf = (work: Promise<unknown>): Promise<unknown> => work.catch(rpcErrors.codeOf);
const echoing = async (open: (at: Address) => Promise<Rpc>, at: Address, name: string): Promise<Rpc> => {
  const server = await open(at);
  server.on<string>('echo', validate.string, (text) => `${name}: ${text}`);
  return server;
};

test('the answer to a request that was given up is not taken for the answer to the next one', async () => {
  const box = postbox();
  await echoing(box.open, serverAt, 'server');
  const client = await box.open(clientAt);
  const first = codeOf(client.request(serverAt, 'echo', 'first', duration.ms(10)));
  box.deliver(box.waiting.shift()!);
  await settled();
  assert.is(await first, 'timeout');
  const second = client.request<string>(serverAt, 'echo', 'second', duration.s(1));
  const [late, ask] = box.waiting.splice(0);
  box.deliver(late!);
  box.deliver(ask!);
  await settled();
  box.deliver(box.waiting.shift()!);
  assert.is(await second, 'server: second');
});
test('nor after the connection broke, though the server had it and answers over another one', async () => {
  const box = postbox();
  await echoing(box.open, serverAt, 'server');
  const client = await box.open(clientAt);
  const first = codeOf(client.request(serverAt, 'echo', 'first', duration.s(1)));
  box.deliver(box.waiting.shift()!);
  await settled();
  box.breaks(clientAt, serverAt);
  assert.is(await first, 'connection-lost');
  const second = client.request<string>(serverAt, 'echo', 'second', duration.s(1));
  const [late, ask] = box.waiting.splice(0);
  box.deliver(late!);
  box.deliver(late!);
  box.deliver(ask!);
  await settled();
  box.deliver(box.waiting.shift()!);
  assert.is(await second, 'server: second');
});
test('a process that takes over an address does not take the answers to its predecessor', async () => {
  const box = postbox();
  await echoing(box.open, serverAt, 'server');
  const former = await box.open(clientAt);
  void codeOf(former.request(serverAt, 'echo', 'of the former', duration.ms(10)));
  box.deliver(box.waiting.shift()!);
  await settled();
  await former.close();
  const later = await box.open(clientAt);
  const mine = later.request<string>(serverAt, 'echo', 'mine', duration.s(1));
  const [late, ask] = box.waiting.splice(0);
  box.deliver(late!);
  box.deliver(ask!);
  await settled();
  box.deliver(box.waiting.shift()!);
  assert.is(await mine, 'server: mine');
});
test('one request to several: each answer is the one of its node, also where the identity is the same', async () => {
  const box = postbox();
  await echoing(box.open, serverAt, 'server');
  await echoing(box.open, otherAt, 'other');
  const client = await box.open(clientAt);
  const all = client.requestAll<string>([serverAt, otherAt], 'echo', 'both', duration.s(1));
  for (const sent of box.waiting.splice(0).reverse()) box.deliver(sent);
  await settled();
  for (const sent of box.waiting.splice(0)) box.deliver(sent);
  assert.equal(await Promise.all(all), ['server: both', 'other: both']);
});
test('mixes by seed: frames late, twice, lost, out of order, over processes that come and go', async () => {
  let answered = 0;
  for (let seed = 1; seed <= 40; seed++) {
    const random = seeded(seed);
    const box = postbox();
    await echoing(box.open, serverAt, 'server');
    await echoing(box.open, otherAt, 'other');
    const wrong: string[] = [];
    const asked: Promise<void>[] = [];
    for (let life = 0; life < 4; life++) {
      const client = await box.open(clientAt);
      for (let i = 0; i < 12; i++) {
        const [to, name] = random.int(2) ? [serverAt, 'server'] : [otherAt, 'other'];
        const text = `${seed}.${life}.${i}`;
        const note = (got: string): void => {
          answered += 1;
          if (got !== `${name}: ${text}`) wrong.push(`${got} for ${text}`);
        };
        asked.push(client.request<string>(to, 'echo', text, duration.ms(40)).then(note, () => undefined));
        await Promise.resolve();
        for (let n = random.int(4); n > 0 && box.waiting.length; n--) {
          const at = random.int(box.waiting.length);
          const sent = box.waiting[at]!;
          if (random.int(3)) box.waiting.splice(at, 1);
          if (random.int(6)) box.deliver(sent);
          await Promise.resolve();
        }
        if (random.int(8) === 0) box.breaks(clientAt, to);
      }
      // Some of the requests that wait now get their answers while their asker is still there.
      for (const sent of box.waiting.splice(0, random.int(box.waiting.length + 1))) box.deliver(sent);
      await settled();
      for (const sent of box.waiting.splice(0, random.int(box.waiting.length + 1))) box.deliver(sent);
      if (random.int(2)) await client.close();
    }
    for (const sent of box.waiting.splice(0)) box.deliver(sent);
    await Promise.all(asked);
    assert.equal(wrong, [], `seed ${seed}`);
  }
  assert.ok(answered > 400, `${answered} answers of ${40 * 48}`);
});
test.run();
