/** Requests of anti-entropy to the members of a group; a lost member does not delay them (§6.5). */
import { duration, type Clock } from '@thornsail/runtime';
import type { Rpc } from '@thornsail/rpc';
import { requestTimeout } from './drop-expired.js';
import type { Group, Member } from './types.js';
import { encodeGroup, messages } from './wire.js';

/** The reply of one member. */
export type MemberReply<T> = { member: Member; reply: T };

/** How long to wait for further members once as many as needed have answered. */
const extraReplyTimeout = duration.ms(100);

/** Collects the replies, all before their time-out or, with `needed`, until `extraReplyTimeout` after that many. */
const collect = <T>(
  clock: Clock,
  pending: Promise<MemberReply<T> | undefined>[],
  needed: number | undefined,
): Promise<MemberReply<T>[]> =>
  new Promise((resolve) => {
    const replies: MemberReply<T>[] = [];
    let inFlight = pending.length;
    let isWaiting = false;
    const finish = (): void => resolve([...replies]);
    const check = (): void => {
      if (inFlight === 0) return finish();
      if (needed === undefined || replies.length < needed || isWaiting) return;
      isWaiting = true;
      clock.schedule(extraReplyTimeout, finish);
    };
    check();
    for (const request of pending)
      void request.then((reply) => {
        inFlight -= 1;
        if (reply) replies.push(reply);
        check();
      });
  });

/** Sends a request to members and returns the successful replies, without refusals and failures. Never rejects. */
export const requestMembers = <T extends { ok: boolean }>(
  { clock, rpc, group }: { clock: Clock; rpc: Rpc; group: Group },
  members: Member[],
  message: string,
  body: object,
  needed: number | undefined,
): Promise<MemberReply<Extract<T, { ok: true }>>[]> => {
  type Success = MemberReply<Extract<T, { ok: true }>>;
  const pending = members.map((member) =>
    rpc.request<T>(member.at, message, { to: member.id, group: encodeGroup(group), ...body }, requestTimeout).then(
      (reply): Success | undefined => (reply.ok ? { member, reply: reply as Extract<T, { ok: true }> } : undefined),
      () => undefined,
    ),
  );
  return collect(clock, pending, needed);
};

/**
 * Notifies a member that it has every earlier opening, because all members have equal replicas or were repaired (§6.5).
 */
export const notifyFilled = ({ rpc, group }: { rpc: Rpc; group: Group }, member: Member): Promise<unknown> =>
  rpc
    .request(member.at, messages.filled, { to: member.id, group: encodeGroup(group) }, requestTimeout)
    .catch(() => undefined);
