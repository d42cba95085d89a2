/** The voter side of leases (§3.6): grants each lease to one holder at a time, with increasing fencing tokens. */
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

/** The default duration of a grant. */
export const defaultTerm: Microseconds = duration.s(3);

/** The newest grant of one lease. It may have expired. */
export type Grant = { holder: string; fencingToken: number; expiresAt: Microseconds };
/** A running voter. It answers requests until its RPC endpoint is closed. */
export type LeaseVoter = {
  /** The newest grant of each lease, by the name of the lease. */
  grants: () => Record<string, Grant>;
};
/** The dependencies and settings of a voter. */
export type LeaseVoterOptions = {
  runtime: Runtime;
  rpc: Rpc;
  /** The duration of a grant, 3 s by default; the holders must use the same duration. */
  term?: Microseconds;
};

/** Factory of voters. */
export const leaseVoter = {
  /** Opens a voter. It abstains for its first term: a restarted voter may have lost a grant that is still valid. */
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
      // An extension by the current holder keeps its token. Any other grant needs a higher token.
      const isStale = grant && (isHeld ? fencingToken < grant.fencingToken : fencingToken <= grant.fencingToken);
      if (isStale) return { ...rejected, holder: isHeld ? grant.holder : null, remaining: 0 };
      grants.set(lease, { holder, fencingToken, expiresAt: now + term });
      return { granted: true, fencingToken, holder, remaining: term };
    };
    /** Ends a grant before its expiry. A delayed release of an earlier grant does not end the current one. */
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
