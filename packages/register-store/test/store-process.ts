/**
 * A process with one store on a real folder, for tests of its memory:
 *
 *     node store-process.js FOLDER write|read COUNT BYTES
 *
 * It writes registers with values of that size, or reads them back, through the handlers of the store. Its last line
 * has the number of its registers and the bytes of their values as JSON.
 */
import { durableStore } from '@thornsail/durable-files';
import { duration, real, time } from '@thornsail/runtime';
import { store, type Group } from '@thornsail/register-store';
import type { Rpc } from '@thornsail/rpc';
import { registerErrors } from '../src/errors.js';
import { messages } from '../src/wire.js';

type Handler = (body: unknown) => Promise<{ ok: boolean }>;
type ReadView = { held: { value: { input: string } } };

const [folder = '', mode = '', count = '', bytes = ''] = process.argv.slice(2);
const at = '127.0.0.1:1';
/** Requests in progress at once. */
const concurrency = 32;
const maxKeysPerRead = 8;
const bytesPerRead = 1 << 20;
const retryDelay = duration.ms(5);

const openHandlers = (): { rpc: Rpc; call: (message: string, body: object) => Promise<unknown> } => {
  const handlers = new Map<string, Handler>();
  const rpc = {
    address: at,
    on: (name: string, _isBody: unknown, handle: Handler) => void handlers.set(name, handle),
  } as unknown as Rpc;
  const call = async (message: string, body: object): Promise<unknown> => {
    const reply = await handlers.get(message)!(body);
    if (!reply.ok) throw new Error(`${message}: ${JSON.stringify(reply)}`);
    return reply;
  };
  return { rpc, call };
};

const runtime = real.runtime(folder);
const { rpc, call } = openHandlers();
const opened = await store.open({ runtime, rpc, durable: await durableStore.open(runtime.disk), freshId: 's' });
const group: Group = { version: 1, members: [{ id: 's', at }] };
await opened.adoptGroup(group);

const keysPerRead = Math.max(1, Math.min(maxKeysPerRead, Math.floor(bytesPerRead / Number(bytes))));
const keyOf = (n: number): string => `turn/${n}`;
const inputOf = (n: number): string => `${n} `.padEnd(Number(bytes), 'x');
const expiresAt = runtime.clock.wallTime() + duration.s(3600);
const isOutOfMemory = (error: unknown): boolean => registerErrors.codeOf(error) === 'no-memory';
/** Writes a value; as a proposer does, it tries again if too much is being written. */
const write = async (n: number): Promise<void> => {
  const held = { value: { chain: [], input: inputOf(n), output: '' }, until: expiresAt, ops: ['a.1'] };
  const body = { group: 1, key: keyOf(n), ballot: [1, 'a'], held, next: null, lean: true };
  for (;;) {
    const failure = await call(messages.accept, body).then(
      () => undefined,
      (error: unknown) => error,
    );
    if (failure === undefined) return;
    if (!isOutOfMemory(failure)) throw failure as Error;
    await time.sleep(runtime.clock, retryDelay);
  }
};
const read = async (n: number): Promise<void> => {
  if (n % keysPerRead > 0) return;
  const numbers = Array.from({ length: Math.min(keysPerRead, Number(count) - n) }, (_, i) => n + i);
  const reply = (await call(messages.read, { group: 1, keys: numbers.map(keyOf) })) as { copies: ReadView[] };
  for (const [i, { held }] of reply.copies.entries())
    if (held.value.input !== inputOf(numbers[i]!)) throw new Error(`${keyOf(numbers[i]!)}: another value`);
};

let next = 0;
const runWorker = async (): Promise<void> => {
  while (next < Number(count)) await (mode === 'write' ? write(next++) : read(next++));
};
await Promise.all(Array.from({ length: concurrency }, runWorker));
// Lets compaction that is in progress show what it needs.
await time.sleep(runtime.clock, duration.ms(200));
process.stdout.write(`${JSON.stringify({ valueBytes: opened.counts().value_bytes, size: opened.size() })}\n`);
