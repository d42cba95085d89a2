// The client's side of a simulated response: its body, chunk by chunk, until it ends, breaks or falls silent.
import { duration, fault, type Microseconds } from '@thornsail/runtime';
import { httpCallState, type HttpCall } from './http-call-state.js';
import { responseBuffer } from './response-buffer.js';

/** How long a body may be silent when the request says nothing of it. */
const usualSilence: Microseconds = duration.s(30);

const takeChunk = (call: HttpCall): Uint8Array => {
  const { network, client, server } = call;
  const chunk = call.chunks.shift()!;
  call.buffered -= chunk.length;
  if (call.buffered < responseBuffer.resumeBelow && call.onDrained.length) {
    const waiting = httpCallState.takeDrained(call);
    network.loop.schedule(network.delay(client, server), server, () => httpCallState.runAll(waiting));
  }
  return chunk;
};

/** Waits for a chunk or the end; true when none came within the time of silence. */
const isSilent = (call: HttpCall): Promise<boolean> =>
  new Promise((resolve) => {
    let isWoken = false;
    call.wakeReader = (): void => {
      isWoken = true;
      resolve(false);
    };
    call.network.loop.schedule(call.request.bodyTimeout ?? usualSilence, call.client, () => {
      if (!isWoken) resolve(true);
    });
  });

const bodyFailure = (call: HttpCall, why: string): Error =>
  fault.make({ step: 'http.body', peer: call.request.at, sent: true }, why);

/** The body of the response; one that is not read to its end gives the call up. */
export const readBody = async function* (call: HttpCall): AsyncIterable<Uint8Array> {
  try {
    for (;;) {
      if (call.chunks.length) {
        yield takeChunk(call);
        continue;
      }
      if (call.bodyEnd === 'complete') {
        call.phase = 'ended';
        return;
      }
      if (call.bodyEnd === 'broken') throw bodyFailure(call, 'broken off');
      if (await isSilent(call)) throw bodyFailure(call, 'silence');
    }
  } finally {
    if (call.phase !== 'ended') {
      call.phase = 'ended';
      httpCallState.leave(call);
    }
    call.client.connections.delete(call.clientEnded);
  }
};
