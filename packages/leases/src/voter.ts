/** The voter of leases (§3.6): it grants each lease to one holder at a time, under tokens that only grow. */
import { duration, type Microseconds, type Runtime } from '@thornsail/runtime';
import type { Rpc } from '@thornsail/rpc';
import {
  decodeGrantRequest,
  decodeRelease,
  encodeGrantReply,
  isGrantRequest,
  isRelease,
  messageNames,
  type GrantReply,
  type GrantRequest,
  type ReleaseMessage,
} from './wire.js';

/** For how long a grant lasts, unless another time is given. */
export const defaultTerm: Microseconds = duration.s(3);

/** The newest grant of one lease. It may have ended. */
export type Grant = { holder: string; fencingToken: number; expiresAt: Microseconds };
/** A voter. It answers as long as its endpoint is open. */
export type LeaseVoter = {
  /** The newest grant of each lease, by its name. */
  grants: () => Record<string, Grant>;
};
/** What a voter works with. */
export type LeaseVoterOptions = {
  runtime: Runtime;
  rpc: Rpc;
  /** For how long a grant lasts; the holders must use the same time. */
  term?: Microseconds;
};

/** Opens voters. */
export const leaseVoter = {
  /** Votes from one term after now: a voter that was started again may have forgotten a grant. */
  open: ({ runtime, rpc, term = defaultTerm }: LeaseVoterOptions): LeaseVoter => {
    const { clock } = runtime;
    const grants = new Map<string, Grant>();
    const abstainsUntil = clock.now() + term;

    const vote = ({ lease, holder, fencingToken }: GrantRequest): GrantReply => {
      const now = clock.now();
      const grant = grants.get(lease);
      const isHeld = grant !== undefined && grant.expiresAt > now;
      const rejected = { granted: false, fencingToken: grant?.fencingToken ?? 0 };
      if (now < abstainsUntil) return { ...rejected, holder: null, remaining: abstainsUntil - now };
      if (isHeld && grant.holder !== holder)
        return { ...rejected, holder: grant.holder, remaining: grant.expiresAt - now };
      // The holder keeps its token when it extends its grant. Any other grant needs a new one.
      const isStale = grant && (isHeld ? fencingToken < grant.fencingToken : fencingToken <= grant.fencingToken);
      if (isStale) return { ...rejected, holder: isHeld ? grant.holder : null, remaining: 0 };
      grants.set(lease, { holder, fencingToken, expiresAt: now + term });
      return { granted: true, fencingToken, holder, remaining: term };
    };
    /** A release that arrives late is about an earlier grant, and does not end the one of now. */
    const release = ({ lease, holder, fencingToken }: ReleaseMessage): void => {
      const grant = grants.get(lease);
      if (grant?.holder === holder && (fencingToken ?? grant.fencingToken) >= grant.fencingToken)
        grant.expiresAt = clock.now();
    };

    rpc.on(messageNames.grant, isGrantRequest, (body) => encodeGrantReply(vote(decodeGrantRequest(body))));
    rpc.on(messageNames.release, isRelease, (body) => release(decodeRelease(body)));
    return { grants: () => Object.fromEntries(grants) };
  },
};
