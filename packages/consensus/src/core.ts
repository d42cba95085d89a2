/**
 * A coordinator (§3.3): a member of the consensus group over the agreed state, with the operations that it serves and
 * the tasks that it runs while it is the leader.
 */
import type { DurableStore } from '@thornsail/durable-files';
import type { Rpc } from '@thornsail/rpc';
import { duration, type Address, type Microseconds, type Runtime } from '@thornsail/runtime';
import type { UsedVersion } from './confirmation.js';
import { coreCodec, coreRequestName, type EncodedRequest } from './core-messages.js';
import { consensus, type Consensus } from './driver.js';
import { groupMaintenance } from './group-maintenance.js';
import { leaderTasks } from './leader-tasks.js';
import { serveRequest, type OperationOptions } from './operations.js';
import { agreedState, type AgreedState } from './agreed-state.js';
import { suspicionTracker } from './suspicions.js';
import { stateCodec } from './state-codec.js';
import type { Snapshot } from './types.js';

/** A running coordinator. */
export type Core = { consensus: Consensus<AgreedState>; close: () => void };
/** The sizes of the groups, and the delays after which the leader acts on a failure, in microseconds. */
export type CoreSettings = {
  /** How long a suspicion counts after it was received. */
  suspectFor: Microseconds;
  /** How long a member must be silent before a spare replaces it. */
  replaceAfter: Microseconds;
  /** The intended number of members of the store group. */
  stores: number;
  /** The intended number of coordinators. */
  coordinators: number;
  /** A drain that would leave fewer live stores than this is refused. */
  leastStores: number;
};
/** Dependencies, callbacks and settings of a coordinator. */
export type CoreOptions = {
  runtime: Runtime;
  rpc: Rpc;
  durable: DurableStore;
  /** The addresses of the first coordinators; empty if the group exists already. */
  founders: Address[];
  /** Those that were the first coordinators if no group was ever formed; none if that can't be told (§3.3). */
  possibleFounders?: Address[];
  onCommit: (version: Snapshot<AgreedState>) => void;
  /** Data of the leader's own, outside the agreed state, that it adds to the result of a read. */
  news?: () => unknown;
  /** The configuration version in use at a gateway. If absent, a push is acknowledged as soon as it is committed. */
  usedVersion?: UsedVersion;
  /** Called periodically while this leader's lease is valid, with a number that grows with each call. */
  onLeadershipConfirmed?: (version: number) => void;
  settings?: Partial<CoreSettings>;
};

const defaultSettings: CoreSettings = {
  suspectFor: duration.ms(1500),
  replaceAfter: duration.s(3),
  stores: 3,
  coordinators: 3,
  leastStores: 0,
};

const listen = (rpc: Rpc, founders: Address[], operations: OperationOptions): void =>
  rpc.on<EncodedRequest>(coreRequestName, coreCodec.isEncodedRequest, async (encoded) => {
    const request = coreCodec.decodeRequest(encoded);
    return coreCodec.encodeResult(request.type, await serveRequest(operations, request, founders));
  });

/** Opens a coordinator from the state on its disk; it serves requests as soon as it is open. */
export const core = {
  open: async (options: CoreOptions): Promise<Core> => {
    const { runtime, rpc, durable, founders, possibleFounders, onCommit } = options;
    const { onLeadershipConfirmed, usedVersion, news } = options;
    const { clock } = runtime;
    const settings = { ...defaultSettings, ...options.settings };
    const log = runtime.log('coordinator');
    let onLeaderCommit = (): void => undefined;
    const group = await consensus.open<AgreedState>({
      runtime,
      rpc,
      durable,
      founders,
      ...(possibleFounders ? { possibleFounders } : {}),
      initial: agreedState.initial(),
      codec: stateCodec,
      onCommit: (version) => {
        onCommit(version);
        onLeaderCommit();
      },
    });
    const suspicions = suspicionTracker.open({ clock, suspectFor: settings.suspectFor });
    const { replaceAfter, leastStores } = settings;
    const maintenance = groupMaintenance.open({ clock, consensus: group, sizes: settings, replaceAfter, log });
    listen(rpc, founders, { clock, consensus: group, suspicions, maintenance, leastStores, usedVersion, news });
    const leader = leaderTasks.open({ clock, consensus: group, suspicions, maintenance, onLeadershipConfirmed, log });
    onLeaderCommit = leader.onCommit;
    return {
      consensus: group,
      close: () => {
        leader.close();
        group.close();
      },
    };
  },
};
