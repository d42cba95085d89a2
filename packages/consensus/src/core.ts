/**
 * A coordinator's part of the core (§3.3): the consensus group over the agreed state, the operations that it serves,
 * and the tasks of its leader.
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
import { rulings } from './rulings.js';
import { stateCodec } from './state-codec.js';
import type { Snapshot } from './types.js';

/** A coordinator as it runs. */
export type Core = { consensus: Consensus<AgreedState>; close: () => void };
/** The sizes of the groups, and how soon the leader acts on a failure, in microseconds. */
export type CoreSettings = {
  /** For how long a suspicion counts. */
  suspectFor: Microseconds;
  /** How long a member is missed before a spare takes its place. */
  replaceAfter: Microseconds;
  stores: number;
  coordinators: number;
  /** A drain never leaves fewer stores than this. */
  leastStores: number;
};
/** What a coordinator needs of its process. */
export type CoreOptions = {
  runtime: Runtime;
  rpc: Rpc;
  durable: DurableStore;
  /** The addresses of the first coordinators; none where the group exists already. */
  founders: Address[];
  onCommit: (version: Snapshot<AgreedState>) => void;
  /** What the leader adds to a read of its own knowledge. */
  news?: () => unknown;
  usedVersion?: UsedVersion;
  /** Told now and then, with a growing number, while a majority confirms this leader. */
  onLead?: (version: number) => void;
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

/** Opens a coordinator on its disk; it serves from then on. */
export const core = {
  open: async (options: CoreOptions): Promise<Core> => {
    const { runtime, rpc, durable, founders, onCommit, onLead, usedVersion, news } = options;
    const { clock } = runtime;
    const settings = { ...defaultSettings, ...options.settings };
    const log = runtime.log('coordinator');
    let onAgreed = (): void => undefined;
    const group = await consensus.open<AgreedState>({
      runtime,
      rpc,
      durable,
      founders,
      initial: agreedState.initial(),
      codec: stateCodec,
      onCommit: (version) => {
        onCommit(version);
        onAgreed();
      },
    });
    const failures = rulings.open({ clock, suspectFor: settings.suspectFor });
    const { replaceAfter, leastStores } = settings;
    const maintenance = groupMaintenance.open({ clock, consensus: group, sizes: settings, replaceAfter, log });
    listen(rpc, founders, { clock, consensus: group, failures, maintenance, leastStores, usedVersion, news });
    const leader = leaderTasks.open({ clock, consensus: group, failures, maintenance, onLead, log });
    onAgreed = leader.onCommit;
    return {
      consensus: group,
      close: () => {
        leader.close();
        group.close();
      },
    };
  },
};
