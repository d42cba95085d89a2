/** The message handlers of one endpoint, by method name (§3.1). */
import type { Address } from '@thornsail/runtime';
import { rpcErrors } from './errors.js';
import type { Validator } from './validate.js';

/** Handles a message. The returned value, or the value of a returned promise, is the body of the response. */
export type Handler<Body = unknown> = (body: Body, from: Address) => unknown;
/** The handlers of an endpoint. Adding a handler for the same method again replaces the earlier one. */
export type Handlers = {
  add: <Body>(method: string, isValid: Validator, handler: Handler<Body>) => void;
  /** Returns the handler of a method. The handler throws `malformed` for a body that fails validation. */
  find: (method: string) => Handler | undefined;
};

/** Creates an empty handler registry. */
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
