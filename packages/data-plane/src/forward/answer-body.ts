/**
 * The body of a worker's response that is not a stream, which is held as a whole. Memory for a large one is taken from
 * the gateway's budget before it is read; until then its worker is held up by flow control.
 */
import { openByteCollector, type HttpResponseWriter, type Reservation } from '@thornsail/runtime';

/** Larger bodies take memory from the budget; the smaller ones are bounded by the requests in progress. */
const smallBodyBytes = 64 << 10;

/** A body in the course of being received. */
export type AnswerBody = {
  /** Adds the next bytes; false: the body is too large, or comes in too many pieces. */
  push: (bytes: Uint8Array) => boolean;
  /** The whole body. */
  bytes: () => Buffer;
  /** Gives its memory back. */
  release: () => void;
};

/** Opens the body of a response. */
export const answerBody = {
  open: (options: {
    /** The value of Content-Length; undefined without one. */
    declaredLength: number | undefined;
    maxLength: number;
    client: HttpResponseWriter;
    /** Holds the worker up. */
    pause: () => void;
    resume: () => void;
  }): AnswerBody => {
    const { declaredLength, maxLength, client } = options;
    const received = openByteCollector({ declared: declaredLength, max: maxLength });
    let reservation: Reservation | undefined;
    const reserve = (size: number): void => {
      if (!client.reserve) return;
      let paused = false;
      let reserved = false;
      reservation = client.reserve(size, () => {
        reserved = true;
        if (paused) options.resume();
      });
      if (reserved) return;
      paused = true;
      options.pause();
    };
    if (declaredLength !== undefined && declaredLength > smallBodyBytes && declaredLength <= maxLength)
      reserve(declaredLength);
    return {
      push: (bytes) => {
        if (Math.max(received.length() + bytes.length, declaredLength ?? 0) > maxLength) return false;
        received.push(bytes);
        if (received.isFragmented()) return false;
        if (declaredLength === undefined && !reservation && received.length() > smallBodyBytes) reserve(maxLength);
        return true;
      },
      bytes: () => {
        reservation?.shrinkTo(received.length());
        return received.bytes();
      },
      release: () => reservation?.release(),
    };
  },
};
