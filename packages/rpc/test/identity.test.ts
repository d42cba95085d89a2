// A response settles only the request whose id it carries, across lost connections and restarted processes (§3.1).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { real, seeded, time, duration, type Net, type Address } from '@thornsail/runtime';
import { rpc, rpcErrors, validate, type Rpc } from '@thornsail/rpc';

type FrameInFlight = { from: Address; to: Address; text: string };
/** A network on which the test delivers each frame: in any order, repeatedly, or to a later process at the address. */
const createManualNetwork = (): {
  open: (address: Address) => Promise<Rpc>;
  inFlight: FrameInFlight[];
  deliver: (frame: FrameInFlight) => void;
  breakConnection: (from: Address, to: Address) => void;
} => {
  const inFlight: FrameInFlight[] = [];
  const nodes = new Map<
    Address,
    { receive: (from: Address, text: string) => boolean; connectionLost: (to: Address) => void }
  >();
  const openTransport: Net['openFrameTransport'] = (address, receive, connectionLost) => {
    nodes.set(address, { receive, connectionLost: connectionLost ?? (() => undefined) });
    const send = (to: Address, text: string): void => void inFlight.push({ from: address, to, text });
    return Promise.resolve({ at: address, send, close: () => Promise.resolve() });
  };
  const base = real.runtime('/nonexistent');
  const open = (address: Address): Promise<Rpc> =>
    rpc.open({ ...base, net: { ...base.net, openFrameTransport: openTransport } }, address);
  return {
    open,
    inFlight,
    deliver: ({ from, to, text }) => void nodes.get(to)?.receive(from, text),
    breakConnection: (from, to) => nodes.get(from)?.connectionLost(to),
  };
};
const [clientAddress, serverAddress, otherAddress] = ['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1'];
const waitForHandlers = (): Promise<void> => time.sleep(real.runtime('/nonexistent').clock, duration.ms(5));
const codeOf = (request: Promise<unknown>): Promise<unknown> => request.catch(rpcErrors.codeOf);
const openEchoServer = async (
  open: (address: Address) => Promise<Rpc>,
  address: Address,
  name: string,
): Promise<Rpc> => {
  const server = await open(address);
  server.on<string>('echo', validate.string, (text) => `${name}: ${text}`);
  return server;
};

test('a late response to a timed-out request does not settle the next request', async () => {
  const network = createManualNetwork();
  await openEchoServer(network.open, serverAddress, 'server');
  const client = await network.open(clientAddress);
  const first = codeOf(client.request(serverAddress, 'echo', 'first', duration.ms(10)));
  network.deliver(network.inFlight.shift()!);
  await waitForHandlers();
  assert.is(await first, 'timeout');
  const second = client.request<string>(serverAddress, 'echo', 'second', duration.s(1));
  const [lateResponse, secondRequest] = network.inFlight.splice(0);
  network.deliver(lateResponse!);
  network.deliver(secondRequest!);
  await waitForHandlers();
  network.deliver(network.inFlight.shift()!);
  assert.is(await second, 'server: second');
});
test('a response to a request that failed with connection-lost does not settle the next request', async () => {
  const network = createManualNetwork();
  await openEchoServer(network.open, serverAddress, 'server');
  const client = await network.open(clientAddress);
  const first = codeOf(client.request(serverAddress, 'echo', 'first', duration.s(1)));
  network.deliver(network.inFlight.shift()!);
  await waitForHandlers();
  network.breakConnection(clientAddress, serverAddress);
  assert.is(await first, 'connection-lost');
  const second = client.request<string>(serverAddress, 'echo', 'second', duration.s(1));
  const [lateResponse, secondRequest] = network.inFlight.splice(0);
  network.deliver(lateResponse!);
  network.deliver(lateResponse!);
  network.deliver(secondRequest!);
  await waitForHandlers();
  network.deliver(network.inFlight.shift()!);
  assert.is(await second, 'server: second');
});
test('a process that takes over an address ignores responses to its predecessor', async () => {
  const network = createManualNetwork();
  await openEchoServer(network.open, serverAddress, 'server');
  const predecessor = await network.open(clientAddress);
  void codeOf(predecessor.request(serverAddress, 'echo', 'from the predecessor', duration.ms(10)));
  network.deliver(network.inFlight.shift()!);
  await waitForHandlers();
  await predecessor.close();
  const successor = await network.open(clientAddress);
  const response = successor.request<string>(serverAddress, 'echo', 'from the successor', duration.s(1));
  const [lateResponse, secondRequest] = network.inFlight.splice(0);
  network.deliver(lateResponse!);
  network.deliver(secondRequest!);
  await waitForHandlers();
  network.deliver(network.inFlight.shift()!);
  assert.is(await response, 'server: from the successor');
});
test('a request to several peers, with one id for all: each response settles the promise of its peer', async () => {
  const network = createManualNetwork();
  await openEchoServer(network.open, serverAddress, 'server');
  await openEchoServer(network.open, otherAddress, 'other');
  const client = await network.open(clientAddress);
  const responses = client.requestAll<string>([serverAddress, otherAddress], 'echo', 'both', duration.s(1));
  for (const frame of network.inFlight.splice(0).reverse()) network.deliver(frame);
  await waitForHandlers();
  for (const frame of network.inFlight.splice(0)) network.deliver(frame);
  assert.equal(await Promise.all(responses), ['server: both', 'other: both']);
});
test('seeded mixes of late, duplicate, lost and reordered frames across process restarts', async () => {
  let answered = 0;
  for (let seed = 1; seed <= 40; seed++) {
    const random = seeded(seed);
    const network = createManualNetwork();
    await openEchoServer(network.open, serverAddress, 'server');
    await openEchoServer(network.open, otherAddress, 'other');
    const mismatches: string[] = [];
    const requests: Promise<void>[] = [];
    for (let processIndex = 0; processIndex < 4; processIndex++) {
      const client = await network.open(clientAddress);
      for (let i = 0; i < 12; i++) {
        const [to, name] = random.int(2) ? [serverAddress, 'server'] : [otherAddress, 'other'];
        const text = `${seed}.${processIndex}.${i}`;
        const checkResponse = (response: string): void => {
          answered += 1;
          if (response !== `${name}: ${text}`) mismatches.push(`${response} for ${text}`);
        };
        requests.push(client.request<string>(to, 'echo', text, duration.ms(40)).then(checkResponse, () => undefined));
        await Promise.resolve();
        for (let n = random.int(4); n > 0 && network.inFlight.length; n--) {
          const index = random.int(network.inFlight.length);
          const frame = network.inFlight[index]!;
          if (random.int(3)) network.inFlight.splice(index, 1);
          if (random.int(6)) network.deliver(frame);
          await Promise.resolve();
        }
        if (random.int(8) === 0) network.breakConnection(clientAddress, to);
      }
      // Delivers some of the frames in flight while the requesting process still runs.
      for (const frame of network.inFlight.splice(0, random.int(network.inFlight.length + 1))) network.deliver(frame);
      await waitForHandlers();
      for (const frame of network.inFlight.splice(0, random.int(network.inFlight.length + 1))) network.deliver(frame);
      if (random.int(2)) await client.close();
    }
    for (const frame of network.inFlight.splice(0)) network.deliver(frame);
    await Promise.all(requests);
    assert.equal(mismatches, [], `seed ${seed}`);
  }
  assert.ok(answered > 400, `${answered} responses to ${40 * 48} requests`);
});
test.run();
