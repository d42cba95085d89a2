// watch: a duty is won by a round of ballots each time that it falls vacant (§3.6).
// A majority of voters grants it for a while under a mark; the holder stops by its own clock before the
// grant can run out, and whoever it orders refuses an older mark.
import { time, duration, type Runtime, type Address, type Microseconds } from '@thornsail/runtime';
import { validate, type Rpc } from '@thornsail/rpc';

type Grant = { by: string; mark: number; until: Microseconds };
type BallotResult = { ok: boolean; mark: number; by: string | null; left: Microseconds };
export type Duty = { holds: () => boolean; mark: () => number; vacancies: () => Microseconds[]; close: () => void };

export const watch = {
  voter: (o: { runtime: Runtime; rpc: Rpc; term?: Microseconds }): { grants: () => Record<string, Grant> } => {
    const { runtime, rpc } = o;
    const term = o.term ?? duration.s(3);
    const grants = new Map<string, Grant>();
    // A voter that has just started may have forgotten a grant: it abstains for one term.
    const abstain = runtime.clock.now() + term;
    rpc.on<{ duty: string; by: string; mark: number }>(
      'watch.ballot',
      validate.object({ duty: validate.string, by: validate.string, mark: validate.integer }),
      ({ duty, by, mark }): BallotResult => {
        const now = runtime.clock.now();
        const g = grants.get(duty);
        const held = g !== undefined && g.until > now;
        if (now < abstain) return { ok: false, mark: g?.mark ?? 0, by: null, left: abstain - now };
        if (held && g.by !== by) return { ok: false, mark: g.mark, by: g.by, left: g.until - now };
        if (g && (held ? mark < g.mark : mark <= g.mark))
          return { ok: false, mark: g.mark, by: held ? g.by : null, left: 0 };
        grants.set(duty, { by, mark, until: now + term });
        return { ok: true, mark, by, left: term };
      },
    );
    // One that comes late is about an earlier grant. A holder of the release before says no mark.
    rpc.on<{ duty: string; by: string; mark?: number }>(
      'watch.leave',
      validate.object({ duty: validate.string, by: validate.string, mark: validate.optional(validate.integer) }),
      ({ duty, by, mark: left }) => {
        const grant = grants.get(duty);
        if (grant?.by === by && (left ?? grant.mark) >= grant.mark) grant.until = runtime.clock.now();
      },
    );
    return { grants: () => Object.fromEntries(grants) };
  },
  duty: (o: {
    runtime: Runtime;
    rpc: Rpc;
    name: string;
    by: string;
    voters: () => Address[];
    term?: Microseconds;
    onWon?: (mark: number) => void;
  }): Duty => {
    const { runtime, rpc } = o;
    const { clock, rand } = runtime;
    const log = runtime.log('watch');
    const term = o.term ?? duration.s(3);
    let until = 0;
    let mark = 0;
    let seen = 0;
    let vacantSince = clock.now();
    let waitUntil = 0;
    const gaps: Microseconds[] = [];
    const round = async (): Promise<void> => {
      const begun = clock.now();
      const held = until > begun;
      if (!held && begun < waitUntil) return;
      const ask = held ? mark : Math.max(seen + 1, Math.floor(clock.wall() / 1000));
      const voters = o.voters();
      if (voters.length === 0) return;
      const got = await Promise.all(
        voters.map((p) =>
          rpc
            .request<BallotResult>(p, 'watch.ballot', { duty: o.name, by: o.by, mark: ask }, duration.ms(400))
            .catch(() => undefined),
        ),
      );
      for (const r of got) if (r) seen = Math.max(seen, r.mark);
      const yes = got.filter((r) => r?.ok).length;
      if (yes > voters.length / 2) {
        if (!held) {
          gaps.push(clock.now() - vacantSince);
          log(`won the duty ${o.name} with mark ${ask}.`);
        }
        mark = ask;
        until = begun + term - term / 5;
        if (!held) o.onWon?.(mark);
        return;
      }
      if (yes > 0 && !held)
        for (const [i, r] of got.entries())
          if (r?.ok) rpc.notify(voters[i]!, 'watch.leave', { duty: o.name, by: o.by, mark: ask });
      const other = got.find((r) => r && r.by !== null && r.by !== o.by);
      if (other) vacantSince = clock.now() + other.left;
      // Looked at again well before the grant can run out: its holder may leave earlier.
      waitUntil = clock.now() + Math.min(duration.ms(800), other?.left ?? 0) + rand.int(duration.ms(400));
    };
    const stop = time.every(clock, duration.ms(300), round);
    return {
      holds: () => until > clock.now(),
      mark: () => mark,
      vacancies: () => gaps,
      close: () => {
        stop();
        if (until > clock.now())
          for (const p of o.voters()) rpc.notify(p, 'watch.leave', { duty: o.name, by: o.by, mark });
      },
    };
  },
};
