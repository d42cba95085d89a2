/** HTTP calls whose body is read as text: between nodes, and to workers for chat turns and jobs (§5.4). */
import { Agent, Client, request, type Dispatcher } from 'undici';
import { connector } from './connector.js';
import { flatHeaders } from './headers.js';
import { fault, us, type HttpCall, type HttpResult } from './index.js';

const neverSent = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT']);
const agent = new Agent({
  keepAliveTimeout: 2_000,
  keepAliveMaxTimeout: 2_000,
  connect: connector.open({ timeout: 800 }),
  bodyTimeout: 0,
  headersTimeout: 0,
  pipelining: 1,
  connections: 256,
});

export const call = async (c: HttpCall): Promise<HttpResult> => {
  const own = c.fresh
    ? new Client(`http://${c.at}`, {
        connect: connector.open({ timeout: 800 }),
        bodyTimeout: 0,
        headersTimeout: 0,
        pipelining: 1,
      })
    : undefined;
  const drop = (): void => void own?.destroy().catch(() => undefined);
  const ac = new AbortController();
  const late = setTimeout(() => ac.abort(), Math.max(1, c.timeLeft / 1000));
  let res: Dispatcher.ResponseData;
  try {
    res = await request(`http://${c.at}${c.path}`, {
      method: c.method as Dispatcher.HttpMethod,
      headers: c.headers,
      body: c.body,
      signal: ac.signal,
      dispatcher: own ?? agent,
    });
  } catch (e) {
    drop();
    const code = (e as NodeJS.ErrnoException).code ?? (e as Error).name;
    throw fault.make({ step: 'http.call', sibling: c.at, sent: !neverSent.has(code), code }, fault.text(e), e);
  } finally {
    clearTimeout(late);
  }
  const silence = c.silence ?? us.s(30);
  const cut = (): void => {
    res.body.on('error', () => undefined);
    res.body.destroy();
    drop();
  };
  const body = async function* (): AsyncIterable<string> {
    const dec = new TextDecoder();
    let quiet: NodeJS.Timeout | undefined;
    const arm = (): void => {
      clearTimeout(quiet);
      quiet = setTimeout(() => res.body.destroy(new Error('silence')), silence / 1000);
    };
    try {
      arm();
      for await (const d of res.body) {
        clearTimeout(quiet);
        yield dec.decode(d as Uint8Array, { stream: true });
        arm();
      }
      const rest = dec.decode();
      if (rest) yield rest;
    } catch (e) {
      throw fault.make({ step: 'http.body', sibling: c.at, sent: true }, fault.text(e), e);
    } finally {
      clearTimeout(quiet);
      drop();
    }
  };
  return { status: res.statusCode, headers: flatHeaders(res.headers), body: body(), cut };
};
