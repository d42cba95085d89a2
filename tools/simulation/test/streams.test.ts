import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration, type HttpClientResponse, type Address } from '@thornsail/runtime';
import { fleet } from '@thornsail/simulation';

const headers = { 'content-type': 'application/json', 'x-thornsail-program': 'p1', 'x-thornsail-class': 'chat' };
const body = JSON.stringify({ messages: [{ role: 'user', content: 'go [last]' }], max_tokens: 40 });

test('a worker that ends cleanly without its end marker gives a cut stream, never a complete-looking one', async () => {
  const f = await fleet.open({ seed: 3, shape: 'lautoka' });
  // A worker whose stream ends as if all were well, but with no end marker.
  for (const x of f.layout.workers.filter((y) => y.kind === 'model')) {
    const h = [...f.models].find((m) => m.at === x.at)!;
    await h.close();
  }
  for (const x of f.layout.workers.filter((y) => y.kind === 'model')) {
    const host = x.at.split(':')[0]!;
    const runtime = f.world.runtime(f.hostOf(host));
    await runtime.net.serveHttp(
      x.at,
      (ask, say) => {
        if (ask.path === '/report') {
          say.writeHead(200, {});
          say.end('{"CacheTotal": 6000}');
          return;
        }
        say.writeHead(200, { 'content-type': 'text/event-stream' });
        say.write('data: {"choices":[{"delta":{"content":"a "},"finish_reason":null}]}\n\n');
        say.end();
      },
      1 << 20,
    );
  }
  let text = '';
  let ended: 'clean' | 'cut' | null = null;
  const read = async (): Promise<void> => {
    const r = await f.callerRuntime.net.request({
      at: f.process('gateway-edge1').options['http'] as Address,
      method: 'POST',
      path: '/v1/chat/completions',
      headers,
      body,
      headersTimeout: duration.s(3),
    });
    try {
      for await (const p of r.body) text += p;
      ended = 'clean';
    } catch {
      ended = 'cut';
    }
  };
  void read();
  await f.until('the stream to end', () => ended !== null, duration.s(20));
  assert.is(ended, 'cut');
  assert.not.match(text, /DONE/);
});

test('a reader that stops reading holds the worker back, is let go of, and its turn is settled', async () => {
  const f = await fleet.open({ seed: 4, shape: 'lautoka' });
  for (const m of f.models) await m.close();
  let written = 0;
  let ended = false;
  for (const x of f.layout.workers.filter((y) => y.kind === 'model')) {
    const runtime = f.world.runtime(f.hostOf(x.at.split(':')[0]!));
    await runtime.net.serveHttp(
      x.at,
      async (ask, say) => {
        if (ask.path === '/report') {
          say.writeHead(200, {});
          say.end('{"CacheTotal": 6000}');
          return;
        }
        say.writeHead(200, { 'content-type': 'text/event-stream' });
        for (let i = 0; i < 400; i++) {
          written += 1;
          if (!say.write(`data: {"choices":[{"delta":{"content":"${'z'.repeat(2000)}"},"finish_reason":null}]}\n\n`))
            await say.drained();
        }
        say.write('data: {"choices":[],"usage":{"prompt_tokens":5,"completion_tokens":7}}\n\n');
        say.end('data: [DONE]\n\n');
        ended = true;
      },
      1 << 20,
    );
  }
  let r: HttpClientResponse | undefined;
  void f.callerRuntime.net
    .request({
      at: f.process('gateway-edge1').options['http'] as Address,
      method: 'POST',
      path: '/v1/chat/completions',
      headers,
      body,
      headersTimeout: duration.s(3),
    })
    .then((x) => {
      r = x;
    });
  await f.until('the head of the stream', () => r !== undefined, duration.s(5));
  await f.world.run(f.world.now() + duration.s(3));
  assert.ok(written < 200, `${written} pieces were read ahead of a reader that reads nothing`);
  await f.until('the worker to finish', () => ended, duration.s(20));
  let budgetRecord: { spent: number; open: unknown } | undefined;
  void f
    .process('gateway-edge2')
    .node!.registers.read('program/p1')
    .then((v) => {
      budgetRecord = v as typeof budgetRecord;
    });
  await f.world.run(f.world.now() + duration.s(2));
  assert.equal([budgetRecord!.spent, budgetRecord!.open], [12, null]);
  assert.is(f.process('gateway-edge1').node!.counts()['slow_cut'], 1);
});
test('an edge killed in the middle of streams costs its own and no others', async () => {
  const f = await fleet.open({ seed: 6, shape: 'granite', perToken: duration.ms(40) });
  const ended = new Map<string, 'clean' | 'cut'>();
  for (const [i, name] of ['gateway-edge1', 'gateway-edge2', 'gateway-edge3', 'gateway-edge4'].entries()) {
    const read = async (): Promise<void> => {
      let text = '';
      try {
        const r = await f.callerRuntime.net.request({
          at: f.process(name).options['http'] as Address,
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
        for await (const p of r.body) text += p;
        ended.set(name, text.includes('[DONE]') ? 'clean' : 'cut');
      } catch {
        ended.set(name, 'cut');
      }
    };
    void read();
  }
  await f.world.run(f.world.now() + duration.ms(300));
  f.kill('gateway-edge2', 'power');
  await f.until('the streams to end', () => ended.size === 4, duration.s(30));
  assert.equal(Object.fromEntries([...ended].sort()), {
    'gateway-edge1': 'clean',
    'gateway-edge2': 'cut',
    'gateway-edge3': 'clean',
    'gateway-edge4': 'clean',
  });
  // The program of the lost turn is served by another edge; its turn stays charged.
  let again: number | undefined;
  const end = f.world.now() + duration.s(10);
  while (again !== 200 && f.world.now() < end) {
    let r: { status: number } | undefined;
    void f
      .http(
        f.process('gateway-edge5').options['http'] as Address,
        'POST',
        '/v1/chat/completions',
        { messages: [{ role: 'user', content: 'more [last]' }], max_tokens: 8, stream: false },
        { 'x-thornsail-program': 'p1', 'x-thornsail-class': 'diagnose' },
      )
      .then(
        (x) => {
          r = x;
        },
        () => {
          r = { status: 0 };
        },
      );
    await f.until('a result', () => r !== undefined, duration.s(10));
    again = r!.status;
  }
  assert.is(again, 200);
  assert.equal(f.breaches(), []);
});
test.run();
