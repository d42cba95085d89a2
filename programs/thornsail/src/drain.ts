/** The order to drain a node, as another node hands it on (§3.1). */
import { fault } from '@thornsail/runtime';
import { validate, type Rpc } from '@thornsail/rpc';

/**
 * Takes the order only if it is meant for this process: the address may have been another one's when it was sent.
 * @param id this process's identity; a node of the release before names none, and is obeyed
 * @param drain begins the drain; it is not waited for
 */
export const obeyDrain = (rpc: Pick<Rpc, 'on'>, id: string, drain: () => Promise<void>): void =>
  rpc.on<{ to?: string }>('node.drain', validate.object({ to: validate.optional(validate.string) }), ({ to }) => {
    if ((to ?? id) !== id) throw fault.make({ step: 'node.drain', code: 'other' }, `meant for ${to}, this is ${id}`);
    void drain();
    return { ok: true };
  });
