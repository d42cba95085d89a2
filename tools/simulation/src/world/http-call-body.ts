// The client's side of a simulated response: yields the body chunk by chunk until it ends, breaks off or times out.
import { duration, fault, type Microseconds } from '@thornsail/runtime';
import { httpCallState, type HttpCall } from './http-call-state.js';
import { responseBuffer } from './response-buffer.js';

/** Time without data after which a body fails, unless the request sets `bodyTimeout`. */
const defaultBodyTimeout: Microseconds = duration.s(30);

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

/** Waits for a chunk or the end of the body; true if neither came within the body timeout. */
const hasTimedOut = (call: HttpCall): Promise<boolean> =>
  new Promise((resolve) => {
    let isWoken = false;
    call.wakeReader = (): void => {
      isWoken = true;
      resolve(false);
    };
    call.network.loop.schedule(call.request.bodyTimeout ?? defaultBodyTimeout, call.client, () => {
      if (!isWoken) resolve(true);
    });
  });

const bodyFailure = (call: HttpCall, message: string): Error =>
  fault.make({ step: 'http.body', peer: call.request.at, sent: true }, message);

/** The body of the response; a reader that stops before the end cancels the call. */
export const readBody = async function* (call: HttpCall): AsyncIterable<Uint8Array> {
  try {
    for (;;) {
      if (call.chunks.length) {
        yield takeChunk(call);
        continue;
      }
      if (call.bodyOutcome === 'complete') {
        call.phase = 'ended';
        return;
      }
      if (call.bodyOutcome === 'broken') throw bodyFailure(call, 'connection broken off');
      if (await hasTimedOut(call)) throw bodyFailure(call, 'silence');
    }
  } finally {
    if (call.phase !== 'ended') {
      call.phase = 'ended';
      httpCallState.cancel(call);
    }
    call.client.connections.delete(call.clientEnded);
  }
};
