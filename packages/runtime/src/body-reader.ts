/** Reads the body of a request into memory that is taken from a budget before the body is read. */
import type http from 'node:http';
import { openByteCollector } from './byte-collector.js';
import type { MemoryBudget, Reservation } from './memory-budget.js';

/** A request that holds memory is aborted if nothing of its body arrives for this long. */
const idleTimeoutMs = 5_000;
/** A body that is this many times larger than its limit closes the connection; smaller ones are read and discarded. */
const discardFactor = 4;
/** Bodies up to this size take no memory from the budget. */
export const smallBodyBytes = 64 << 10;

/** A body; `bytes` is empty if it was larger than the limit. */
export type ReceivedBody = { bytes: Buffer; tooLarge: boolean };
/** What a body is read with: the largest size, and the memory to take. */
export type BodyLimits = { limit: number; budget: MemoryBudget };

const declaredSize = (request: http.IncomingMessage): number | undefined => {
  const text = request.headers['content-length'];
  return text === undefined ? undefined : Number(text);
};

/**
 * Reads a body and calls `onBody` once it is complete. Returns a function that gives its memory back, which the caller
 * calls when the body is no longer needed; that of a request that breaks off is given back by itself.
 */
export const readBody = (
  request: http.IncomingMessage,
  { limit, budget }: BodyLimits,
  onBody: (body: ReceivedBody) => void,
): (() => void) => {
  const declared = declaredSize(request);
  const received = openByteCollector({ declared, max: limit });
  let size = 0;
  let tooLarge = declared !== undefined && declared > limit;
  let memory: Reservation | undefined;
  let idleTimer: NodeJS.Timeout | undefined;
  const release = (): void => {
    clearTimeout(idleTimer);
    memory?.release();
  };
  const restartIdleTimer = (): void => {
    clearTimeout(idleTimer);
    idleTimer = setTimeout(() => request.destroy(), idleTimeoutMs);
  };
  /** Reads on once the memory for the whole body, or for the largest one if its size is unknown, is taken. */
  const takeMemory = (): void => {
    request.pause();
    memory = budget.take(declared ?? limit, () => {
      restartIdleTimer();
      request.resume();
    });
  };
  const discard = (): void => {
    tooLarge = true;
    received.clear();
    clearTimeout(idleTimer);
    memory?.shrinkTo(0);
  };
  const onData = (chunk: Buffer): void => {
    size += chunk.length;
    if (size > limit * discardFactor) return void request.destroy();
    if (tooLarge || size > limit) return discard();
    received.push(chunk);
    if (received.isFragmented()) return void request.destroy();
    if (memory) restartIdleTimer();
    else if (size > smallBodyBytes) takeMemory();
  };
  request.on('data', onData);
  request.on('end', () => {
    clearTimeout(idleTimer);
    memory?.shrinkTo(size);
    const bytes = received.bytes();
    onBody({ bytes, tooLarge });
  });
  request.on('close', () => {
    if (!request.complete) release();
  });
  if (!tooLarge && (declared ?? 0) > smallBodyBytes) takeMemory();
  return release;
};
