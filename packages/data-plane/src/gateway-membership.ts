/** What a data plane asks of its node's membership. */
import type { Membership } from '@thornsail/membership';

/** The part of the membership that a data plane uses. */
export type GatewayMembership = Pick<
  Membership,
  'id' | 'dissemination' | 'state' | 'stale' | 'refresh' | 'deadFor' | 'onState'
>;
