/** Requests of anti-entropy to the members of a group: a member that was lost holds up nothing (§6.5). */
import { duration, type Clock } from '@thornsail/runtime';
import type { Rpc } from '@thornsail/rpc';
import { requestTimeout } from './drop-expired.js';
import type { Group, Member } from './types.js';
import { encodeGroup, messages } from './wire.js';

/** What one member answered. */
export type MemberReply<T> = { member: Member; reply: T };

/** What further members are waited for, once as many as needed have answered. */
const lateTimeout = duration.ms(100);

/** All that come before their time-out or, with `needed`, those that come until a little after so many are there. */
const collect = <T>(
  clock: Clock,
  asked: Promise<MemberReply<T> | undefined>[],
  needed: number | undefined,
): Promise<MemberReply<T>[]> =>
  new Promise((resolve) => {
    const replies: MemberReply<T>[] = [];
    let open = asked.length;
    let isWaiting = false;
    const finish = (): void => resolve([...replies]);
    const check = (): void => {
      if (open === 0) return finish();
      if (needed === undefined || replies.length < needed || isWaiting) return;
      isWaiting = true;
      clock.schedule(lateTimeout, finish);
    };
    check();
    for (const one of asked)
      void one.then((reply) => {
        open -= 1;
        if (reply) replies.push(reply);
        check();
      });
  });

/** The accepting replies of these members; refusals and failures are left out. Never fails. */
export const requestMembers = <T extends { ok: boolean }>(
  { clock, rpc, group }: { clock: Clock; rpc: Rpc; group: Group },
  members: Member[],
  message: string,
  body: object,
  needed: number | undefined,
): Promise<MemberReply<Extract<T, { ok: true }>>[]> => {
  type Accepted = MemberReply<Extract<T, { ok: true }>>;
  const asked = members.map((member) =>
    rpc.request<T>(member.at, message, { to: member.id, group: encodeGroup(group), ...body }, requestTimeout).then(
      (reply): Accepted | undefined => (reply.ok ? { member, reply: reply as Extract<T, { ok: true }> } : undefined),
      () => undefined,
    ),
  );
  return collect(clock, asked, needed);
};

/** All members hold the same now, or it is settled: whatever was opened before is known to this one (§6.5). */
export const tellFilled = ({ rpc, group }: { rpc: Rpc; group: Group }, member: Member): Promise<unknown> =>
  rpc
    .request(member.at, messages.filled, { to: member.id, group: encodeGroup(group) }, requestTimeout)
    .catch(() => undefined);
