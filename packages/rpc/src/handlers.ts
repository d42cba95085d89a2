/** The handlers of one endpoint, by the name of their message (§3.1). */
import type { Address } from '@thornsail/runtime';
import { rpcErrors } from './errors.js';
import type { Validator } from './validate.js';

/** Handles a message; what it returns, also by a promise, is the body of the response. */
export type Handler<Body = unknown> = (body: Body, from: Address) => unknown;
/** The handlers of an endpoint. A later handler of the same message replaces the earlier one. */
export type Handlers = {
  add: <Body>(method: string, isValid: Validator, handler: Handler<Body>) => void;
  /** The handler of a message: it throws `malformed` for a body that does not pass the validator. */
  find: (method: string) => Handler | undefined;
};

/** No handlers yet. */
export const openHandlers = (): Handlers => {
  const handlers = new Map<string, Handler>();
  return {
    add: (method, isValid, handler) =>
      void handlers.set(method, (body, from) => {
        if (isValid(body)) return (handler as Handler)(body, from);
        throw rpcErrors.create('malformed', { step: method, peer: from });
      }),
    find: (method) => handlers.get(method),
  };
};
