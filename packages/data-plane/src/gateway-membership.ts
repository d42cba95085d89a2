/** The membership, as a data plane depends on it. */
import type { Membership } from '@thornsail/membership';

/** The part of the membership that a data plane uses. */
export type GatewayMembership = Pick<
  Membership,
  'id' | 'dissemination' | 'state' | 'stale' | 'refresh' | 'deadFor' | 'onState'
>;
