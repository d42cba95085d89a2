/**
 * Sends the body of a response piece by piece, so that a client that reads no more can be told by the time of its last
 * progress.
 */
import type http from 'node:http';

/** Pieces of this size are handed to the connection; smaller bodies are sent at once. */
const pieceBytes = 64 << 10;

type Progress = { bytesLeft: number; lastProgressAt: number };
const inProgress = new WeakMap<http.ServerResponse, Progress>();

const sendPieces = (response: http.ServerResponse, body: Uint8Array): void => {
  const progress: Progress = { bytesLeft: body.length, lastProgressAt: performance.now() };
  inProgress.set(response, progress);
  const sendNext = (): void => {
    progress.lastProgressAt = performance.now();
    while (progress.bytesLeft > 0) {
      if (response.destroyed) return;
      const start = body.length - progress.bytesLeft;
      const piece = body.subarray(start, start + pieceBytes);
      progress.bytesLeft -= piece.length;
      if (!response.write(piece)) return void response.once('drain', sendNext);
    }
    response.end();
  };
  sendNext();
};

/** Ends a response with this body. */
export const endResponse = (response: http.ServerResponse, body?: string | Uint8Array): void => {
  if (typeof body === 'object' && body.length > pieceBytes) sendPieces(response, body);
  else response.end(body);
};
/** Whether the whole body of a response was given to `endResponse`. */
export const isEnding = (response: http.ServerResponse): boolean => response.writableEnded || inProgress.has(response);
/** Bytes of a response that its connection has not taken yet. */
export const unsentBytesOf = (response: http.ServerResponse): number =>
  (inProgress.get(response)?.bytesLeft ?? 0) + response.writableLength;
/** Whether nothing of a body that is sent piece by piece was taken for this many milliseconds. */
export const isStalled = (response: http.ServerResponse, milliseconds: number): boolean => {
  const progress = inProgress.get(response);
  return progress !== undefined && performance.now() - progress.lastProgressAt >= milliseconds;
};
