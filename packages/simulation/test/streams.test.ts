import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { us, type HttpResult, type Place } from '@thornsail/runtime';
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
    const lens = f.w.lens(f.hostOf(host));
    await lens.net.serve(
      x.at,
      (ask, say) => {
        if (ask.path === '/report') {
          say.head(200, {});
          say.end('{"CacheTotal": 6000}');
          return;
        }
        say.head(200, { 'content-type': 'text/event-stream' });
        say.write('data: {"choices":[{"delta":{"content":"a "},"finish_reason":null}]}\n\n');
        say.end();
      },
      1 << 20,
    );
  }
  let text = '';
  let ended: 'clean' | 'cut' | null = null;
  const read = async (): Promise<void> => {
    const r = await f.callerLens.net.call({
      at: f.proc('front-edge1').options['http'] as Place,
      method: 'POST',
      path: '/v1/chat/completions',
      headers,
      body,
      timeLeft: us.s(3),
    });
    try {
      for await (const p of r.body) text += p;
      ended = 'clean';
    } catch {
      ended = 'cut';
    }
  };
  void read();
  await f.until('the stream to end', () => ended !== null, us.s(20));
  assert.is(ended, 'cut');
  assert.not.match(text, /DONE/);
});

test('a reader that stops reading holds the worker back, is let go of, and its turn is settled', async () => {
  const f = await fleet.open({ seed: 4, shape: 'lautoka' });
  for (const m of f.models) await m.close();
  let written = 0;
  let ended = false;
  for (const x of f.layout.workers.filter((y) => y.kind === 'model')) {
    const lens = f.w.lens(f.hostOf(x.at.split(':')[0]!));
    await lens.net.serve(
      x.at,
      async (ask, say) => {
        if (ask.path === '/report') {
          say.head(200, {});
          say.end('{"CacheTotal": 6000}');
          return;
        }
        say.head(200, { 'content-type': 'text/event-stream' });
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
  let r: HttpResult | undefined;
  void f.callerLens.net
    .call({
      at: f.proc('front-edge1').options['http'] as Place,
      method: 'POST',
      path: '/v1/chat/completions',
      headers,
      body,
      timeLeft: us.s(3),
    })
    .then((x) => {
      r = x;
    });
  await f.until('the head of the stream', () => r !== undefined, us.s(5));
  await f.w.run(f.w.now() + us.s(3));
  assert.ok(written < 200, `${written} pieces were read ahead of a reader that reads nothing`);
  await f.until('the worker to finish', () => ended, us.s(20));
  let purse: { spent: number; open: unknown } | undefined;
  void f
    .proc('front-edge2')
    .node!.registers.read('program/p1')
    .then((v) => {
      purse = v as typeof purse;
    });
  await f.w.run(f.w.now() + us.s(2));
  assert.equal([purse!.spent, purse!.open], [12, null]);
  assert.is(f.proc('front-edge1').node!.counts()['slow_cut'], 1);
});
test('an edge killed in the middle of streams costs its own and no others', async () => {
  const f = await fleet.open({ seed: 6, shape: 'granite', perToken: us.ms(40) });
  const ended = new Map<string, 'clean' | 'cut'>();
  for (const [i, name] of ['front-edge1', 'front-edge2', 'front-edge3', 'front-edge4'].entries()) {
    const read = async (): Promise<void> => {
      let text = '';
      try {
        const r = await f.callerLens.net.call({
          at: f.proc(name).options['http'] as Place,
          method: 'POST',
          path: '/v1/chat/completions',
          headers: {
            'content-type': 'application/json',
            'x-thornsail-program': `p${i}`,
            'x-thornsail-class': 'diagnose',
          },
          body,
          timeLeft: us.s(4),
        });
        for await (const p of r.body) text += p;
        ended.set(name, text.includes('[DONE]') ? 'clean' : 'cut');
      } catch {
        ended.set(name, 'cut');
      }
    };
    void read();
  }
  await f.w.run(f.w.now() + us.ms(300));
  f.kill('front-edge2', 'power');
  await f.until('the streams to end', () => ended.size === 4, us.s(30));
  assert.equal(Object.fromEntries([...ended].sort()), {
    'front-edge1': 'clean',
    'front-edge2': 'cut',
    'front-edge3': 'clean',
    'front-edge4': 'clean',
  });
  // The program of the lost turn is served by another edge; its turn stays charged.
  let again: number | undefined;
  const end = f.w.now() + us.s(10);
  while (again !== 200 && f.w.now() < end) {
    let r: { status: number } | undefined;
    void f
      .http(
        f.proc('front-edge5').options['http'] as Place,
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
    await f.until('a result', () => r !== undefined, us.s(10));
    again = r!.status;
  }
  assert.is(again, 200);
  assert.equal(f.breaches(), []);
});
test.run();
