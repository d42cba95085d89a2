/** `thornsail check` (§7.4): examines every node of the cluster from one of them and lists what needs attention. */
import { duration, type Microseconds } from '@thornsail/runtime';
import { apiRoot } from '@thornsail/admin-api';
import { decodeNodes } from './decode-reply.js';

/** One finding about a node, a group or a part of the cluster. */
export type Finding = { severity: 'bad' | 'note'; about: string; text: string };
type Reply = { status: number; body: Record<string, unknown> };
/** Sends a GET request to the admin API of a node; undefined if the node does not answer. */
export type Get = (address: string, path: string) => Promise<Reply | undefined>;
type NodeRow = {
  id: string;
  name: string;
  role: string;
  http: string;
  zone: string;
  standing: string;
  since: Microseconds;
};
type Group = { group: number; swept: number; draining: string[]; members: { id: string; at: string }[] };

const zonesOf = (ids: string[], nodes: NodeRow[]): string[] =>
  ids.map((id) => nodes.find((node) => node.id === id)?.zone ?? '?');
const duplicates = (zones: string[]): string[] => [...new Set(zones.filter((zone, i) => zones.indexOf(zone) !== i))];

/** Findings from the replies of one node about itself; `agreed` is the version of the state read before. */
const nodeFindings = (node: NodeRow, self: Reply | undefined, ready: Reply | undefined, agreed: number): Finding[] => {
  const bad = (text: string): Finding => ({ severity: 'bad', about: node.name, text });
  if (!self || !ready) return [bad(`does not answer at ${node.http}`)];
  const findings: Finding[] = [];
  const body = self.body;
  const counts = (body['counts'] ?? {}) as Record<string, number>;
  if (body['id'] !== node.id) return [bad('another node answers at its address')];
  if (ready.status !== 200 && node.standing !== 'leaving')
    findings.push({
      severity: node.role === 'store' ? 'note' : 'bad',
      about: node.name,
      text: `is not ready: ${((ready.body['why'] as string[] | undefined) ?? []).join(', ')}`,
    });
  if (body['stale'] === true) findings.push(bad('was suspended and has received no current state since'));
  if (Number(body['mark']) < agreed)
    findings.push(bad(`is behind: at mark ${String(body['mark'])}, while the agreed state was at ${agreed} before`));
  if ((counts['breaches'] ?? 0) > 0)
    findings.push(bad(`counted ${counts['breaches']} breaches of its invariants: keep its log and report it`));
  if ((counts['torn'] ?? 0) > 0) findings.push(bad('found damaged files in its data folder'));
  if ((counts['freezes'] ?? 0) > 0)
    findings.push({
      severity: 'note',
      about: node.name,
      text: `was suspended ${counts['freezes']} times since its start`,
    });
  if (node.standing === 'leaving') findings.push({ severity: 'note', about: node.name, text: 'is leaving' });
  return findings;
};
const storeGroupFindings = (group: Group, nodes: NodeRow[]): Finding[] => {
  const findings: Finding[] = [];
  const add = (severity: Finding['severity'], text: string): void =>
    void findings.push({ severity, about: 'stores', text });
  if (group.members.length === 0) {
    add('bad', 'no group has been formed: three stores are needed');
    return findings;
  }
  if (group.members.length < 3)
    add('bad', `the group has ${group.members.length} members: no further store may fail; start an empty one`);
  if (group.members.length > 3) add('note', 'the group is changing: a new member has joined and another is to leave');
  if (group.swept !== group.group)
    add('note', `records are being copied for group mark ${group.group}: do not lose a store now`);
  for (const member of group.members)
    if (nodes.find((node) => node.id === member.id)?.standing !== 'live')
      add('bad', `member ${nodes.find((node) => node.id === member.id)?.name ?? member.id} is not live`);
  for (const zone of duplicates(
    zonesOf(
      group.members.map((member) => member.id),
      nodes,
    ),
  ))
    add('note', `more than one member is in zone ${zone}`);
  for (const id of group.draining) add('note', `${nodes.find((node) => node.id === id)?.name ?? id} is draining`);
  return findings;
};

/** Examines the cluster; fails with a text if the given node can't give the agreed state. */
export const survey = {
  run: async (
    get: Get,
    address: string,
  ): Promise<{ ok: true; findings: Finding[]; nodes: number; mark: number } | { ok: false; text: string }> => {
    const [status, members, group, duties, workers] = await Promise.all(
      ['status', 'nodes', 'keepers', 'duties', 'workers'].map((what) => get(address, `${apiRoot}/${what}`)),
    );
    const failed = [status, members, group, duties, workers].find((reply) => reply?.status !== 200);
    if (!status || !members || !group || !duties || !workers || failed)
      return {
        ok: false,
        text: failed ? String(failed.body['message'] ?? failed.body['error']) : `${address} does not answer`,
      };
    const nodes = (decodeNodes(members.body['nodes'] as Record<string, unknown>[]) as NodeRow[]).filter(
      (node) => node.standing !== 'dead',
    );
    const mark = Number(members.body['mark']);
    const findings: Finding[] = [];
    const add = (severity: Finding['severity'], about: string, text: string): void =>
      void findings.push({ severity, about, text });
    const perNode = await Promise.all(
      nodes.map(async (node) => {
        const [self, ready] = await Promise.all([get(node.http, `${apiRoot}/node`), get(node.http, '/ready')]);
        return nodeFindings(node, self, ready, mark);
      }),
    );
    findings.push(...perNode.flat());
    findings.push(...storeGroupFindings(group.body as unknown as Group, nodes));
    const coordinators = nodes.filter((node) => node.role === 'coordinator');
    const groupSize = Number(status.body['towers']);
    if (groupSize < 3) add('bad', 'coordinators', `the group has ${groupSize} members`);
    if (coordinators.length < 3)
      add('bad', 'coordinators', `${coordinators.length} live: one more loss and no configuration can be agreed on`);
    for (const zone of duplicates(coordinators.map((node) => node.zone)))
      add('note', 'coordinators', `more than one is in zone ${zone}`);
    if (Number(status.body['config']) === 0) add('bad', 'configuration', 'none has been pushed');
    if (!(duties.body['duties'] as Record<string, unknown>)['sweep'])
      add('note', 'duties', 'no node holds the sweep lease');
    const listed = workers.body['workers'] as { leaving: boolean; kind: string }[];
    for (const kind of ['model', 'app'])
      if (!listed.some((worker) => worker.kind === kind && !worker.leaving))
        add('note', 'workers', `no ${kind} worker takes requests`);
    for (const gateway of nodes.filter((node) => node.role === 'gateway'))
      if (!nodes.some((node) => node.role === 'agent' && node.http.split(':')[0] === gateway.http.split(':')[0]))
        add('note', gateway.name, 'has no live agent on its machine');
    const order = { bad: 0, note: 1 };
    return {
      ok: true,
      findings: findings.sort((a, b) => order[a.severity] - order[b.severity] || (a.about < b.about ? -1 : 1)),
      nodes: nodes.length,
      mark,
    };
  },
};
/** Timeout of each request of the check. */
export const requestTimeout = duration.s(3);
