// Streams to callers: a worker stream without its end marker, a slow reader, and a gateway killed in mid-stream.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  duration,
  type Address,
  type HttpClientResponse,
  type HttpHandler,
  type HttpResponseWriter,
} from '@thornsail/runtime';
import { fleet, type Fleet } from '@thornsail/simulation';

const headers = { 'content-type': 'application/json', 'x-thornsail-program': 'p1', 'x-thornsail-class': 'chat' };
const body = JSON.stringify({ messages: [{ role: 'user', content: 'go [last]' }], max_tokens: 40 });

/** Replaces each model worker by one that answers every request with a stream, which `send` writes and ends. */
const replaceModels = async (
  testFleet: Fleet,
  send: (response: HttpResponseWriter) => void | Promise<void>,
): Promise<void> => {
  for (const model of testFleet.models) await model.close();
  for (const worker of testFleet.layout.workers.filter((candidate) => candidate.kind === 'model')) {
    const { net } = testFleet.world.runtime(testFleet.hostOf(worker.at.split(':')[0]!));
    const handler: HttpHandler = (request, response) => {
      if (request.path !== '/report') {
        response.writeHead(200, { 'content-type': 'text/event-stream' });
        return send(response);
      }
      response.writeHead(200, {});
      response.end('{"CacheTotal": 6000}');
    };
    await net.serveHttp(worker.at, handler, 1 << 20);
  }
};

test('a worker stream that ends without its end marker reaches the caller as cut, never as complete', async () => {
  const testFleet = await fleet.open({ seed: 3, shape: 'lautoka' });
  await replaceModels(testFleet, (response) => {
    response.write('data: {"choices":[{"delta":{"content":"a "},"finish_reason":null}]}\n\n');
    response.end();
  });
  let text = '';
  let ended: 'clean' | 'cut' | null = null;
  const readStream = async (): Promise<void> => {
    const reply = await testFleet.callerRuntime.net.request({
      at: testFleet.process('gateway-edge1').options['http'] as Address,
      method: 'POST',
      path: '/v1/chat/completions',
      headers,
      body,
      headersTimeout: duration.s(3),
    });
    try {
      for await (const chunk of reply.body) text += chunk;
      ended = 'clean';
    } catch {
      ended = 'cut';
    }
  };
  void readStream();
  await testFleet.until('the stream to end', () => ended !== null, duration.s(20));
  assert.is(ended, 'cut');
  assert.not.match(text, /DONE/);
});

test('a reader that stops reading applies backpressure, is disconnected, and its turn is settled', async () => {
  const testFleet = await fleet.open({ seed: 4, shape: 'lautoka' });
  let chunkCount = 0;
  let isEnded = false;
  await replaceModels(testFleet, async (response) => {
    for (let i = 0; i < 400; i++) {
      chunkCount += 1;
      if (!response.write(`data: {"choices":[{"delta":{"content":"${'z'.repeat(2000)}"},"finish_reason":null}]}\n\n`))
        await response.drained();
    }
    response.write('data: {"choices":[],"usage":{"prompt_tokens":5,"completion_tokens":7}}\n\n');
    response.end('data: [DONE]\n\n');
    isEnded = true;
  });
  let reply: HttpClientResponse | undefined;
  void testFleet.callerRuntime.net
    .request({
      at: testFleet.process('gateway-edge1').options['http'] as Address,
      method: 'POST',
      path: '/v1/chat/completions',
      headers,
      body,
      headersTimeout: duration.s(3),
    })
    .then((result) => {
      reply = result;
    });
  await testFleet.until('the head of the stream', () => reply !== undefined, duration.s(5));
  await testFleet.world.run(testFleet.world.now() + duration.s(3));
  assert.ok(chunkCount < 200, `${chunkCount} chunks were read ahead of a reader that reads nothing`);
  await testFleet.until('the worker to finish', () => isEnded, duration.s(20));
  let budgetRecord: { spent: number; open: unknown } | undefined;
  void testFleet
    .process('gateway-edge2')
    .node!.registers.read('program/p1')
    .then((record) => {
      budgetRecord = record as typeof budgetRecord;
    });
  await testFleet.world.run(testFleet.world.now() + duration.s(2));
  assert.equal([budgetRecord!.spent, budgetRecord!.open], [12, null]);
  assert.is(testFleet.process('gateway-edge1').node!.counts()['slow_cut'], 1);
});
test('a worker stream that never ends is broken off at a multiple of the output that its request allows', async () => {
  const testFleet = await fleet.open({ seed: 5, shape: 'lautoka' });
  let sent = 0;
  await replaceModels(testFleet, async (response) => {
    while (!response.isClosed() && sent < 20_000) {
      sent += 1;
      if (!response.write('data: {"choices":[{"delta":{"content":"z"},"finish_reason":null}]}\n\n'))
        await response.drained();
    }
  });
  const reply = testFleet.http(
    testFleet.process('gateway-edge1').options['http'] as Address,
    'POST',
    '/v1/chat/completions',
    JSON.parse(body) as object,
    headers,
  );
  let isOver = false;
  const finish = (): void => void (isOver = true);
  void reply.then(finish, finish);
  await testFleet.until('the stream to end', () => isOver, duration.s(20));
  assert.ok(sent < 10_000, `${sent} events were taken`);
});
test('a gateway killed in mid-stream cuts its own streams and no others', async () => {
  const testFleet = await fleet.open({ seed: 6, shape: 'granite', perToken: duration.ms(40) });
  const ended = new Map<string, 'clean' | 'cut'>();
  for (const [i, name] of ['gateway-edge1', 'gateway-edge2', 'gateway-edge3', 'gateway-edge4'].entries()) {
    const readStream = async (): Promise<void> => {
      let text = '';
      try {
        const reply = await testFleet.callerRuntime.net.request({
          at: testFleet.process(name).options['http'] as Address,
          method: 'POST',
          path: '/v1/chat/completions',
          headers: {
            'content-type': 'application/json',
            'x-thornsail-program': `p${i}`,
            'x-thornsail-class': 'diagnose',
          },
          body,
          headersTimeout: duration.s(4),
        });
        for await (const chunk of reply.body) text += chunk;
        ended.set(name, text.includes('[DONE]') ? 'clean' : 'cut');
      } catch {
        ended.set(name, 'cut');
      }
    };
    void readStream();
  }
  await testFleet.world.run(testFleet.world.now() + duration.ms(300));
  testFleet.kill('gateway-edge2', 'power');
  await testFleet.until('the streams to end', () => ended.size === 4, duration.s(30));
  assert.equal(Object.fromEntries([...ended].sort()), {
    'gateway-edge1': 'clean',
    'gateway-edge2': 'cut',
    'gateway-edge3': 'clean',
    'gateway-edge4': 'clean',
  });
  // The program of the lost turn is served by another gateway; its turn stays charged.
  let status: number | undefined;
  const deadline = testFleet.world.now() + duration.s(10);
  while (status !== 200 && testFleet.world.now() < deadline) {
    let reply: { status: number } | undefined;
    void testFleet
      .http(
        testFleet.process('gateway-edge5').options['http'] as Address,
        'POST',
        '/v1/chat/completions',
        { messages: [{ role: 'user', content: 'more [last]' }], max_tokens: 8, stream: false },
        { 'x-thornsail-program': 'p1', 'x-thornsail-class': 'diagnose' },
      )
      .then(
        (result) => {
          reply = result;
        },
        () => {
          reply = { status: 0 };
        },
      );
    await testFleet.until('a result', () => reply !== undefined, duration.s(10));
    status = reply!.status;
  }
  assert.is(status, 200);
  assert.equal(testFleet.breaches(), []);
});
test.run();
