/** The request to drain a node, as forwarded by another node (§3.1). */
import { fault } from '@thornsail/runtime';
import { validate, type Rpc } from '@thornsail/rpc';

/**
 * Handles drain requests. Throws a fault with code `other` if the request is meant for another process, which may have
 * had this address when the request was sent.
 * @param id identity of this process; a request of the previous release names none, and is accepted
 * @param drain starts the drain and never rejects; the reply does not wait for its end
 */
export const handleDrainRequests = (rpc: Pick<Rpc, 'on'>, id: string, drain: () => Promise<void>): void =>
  rpc.on<{ to?: string }>('node.drain', validate.object({ to: validate.optional(validate.string) }), ({ to }) => {
    if ((to ?? id) !== id) throw fault.make({ step: 'node.drain', code: 'other' }, `meant for ${to}, this is ${id}`);
    void drain();
    return { ok: true };
  });
