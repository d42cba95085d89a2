/** Remote procedure calls between nodes: requests, notifications and the validation of their bodies (§3.1). */
export { rpc, type Rpc } from './endpoint.js';
export { rpcErrors } from './errors.js';
export type { Handler } from './handlers.js';
export { protocol } from './protocol.js';
export { validate, type Validator } from './validate.js';
