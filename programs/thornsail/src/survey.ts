// `thornsail check` (§7.4): looks at every node of the fleet from one of them, and says what an operator should know.
import { duration, type Microseconds } from '@thornsail/runtime';
import { root } from '@thornsail/admin-api';
import { decodeNodes } from './decode-reply.js';

export type Finding = { severity: 'bad' | 'note'; about: string; text: string };
type Reply = { status: number; body: Record<string, unknown> };
export type Get = (at: string, path: string) => Promise<Reply | undefined>;
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
  ids.map((id) => nodes.find((n) => n.id === id)?.zone ?? '?');
const doubled = (zones: string[]): string[] => [...new Set(zones.filter((z, i) => zones.indexOf(z) !== i))];

/** What one node says of itself. */
const ofNode = (n: NodeRow, self: Reply | undefined, ready: Reply | undefined, agreed: number): Finding[] => {
  const bad = (text: string): Finding => ({ severity: 'bad', about: n.name, text });
  if (!self || !ready) return [bad(`does not answer at ${n.http}`)];
  const out: Finding[] = [];
  const b = self.body;
  const counts = (b['counts'] ?? {}) as Record<string, number>;
  if (b['id'] !== n.id) return [bad('another node answers at its address')];
  if (ready.status !== 200 && n.standing !== 'leaving')
    out.push({
      severity: n.role === 'store' ? 'note' : 'bad',
      about: n.name,
      text: `is not ready: ${((ready.body['why'] as string[] | undefined) ?? []).join(', ')}`,
    });
  if (b['stale'] === true) out.push(bad('has woken from a freeze and has no fresh news'));
  if (Number(b['mark']) < agreed)
    out.push(bad(`is at mark ${String(b['mark'])}, the fleet was at ${agreed} before it was asked`));
  if ((counts['breaches'] ?? 0) > 0)
    out.push(bad(`counted ${counts['breaches']} breaches of its invariants: keep its log and report it`));
  if ((counts['torn'] ?? 0) > 0) out.push(bad('found damaged files in its data folder'));
  if ((counts['freezes'] ?? 0) > 0)
    out.push({ severity: 'note', about: n.name, text: `slept ${counts['freezes']} times since its start` });
  if (n.standing === 'leaving') out.push({ severity: 'note', about: n.name, text: 'is leaving' });
  return out;
};
const ofStores = (k: Group, nodes: NodeRow[]): Finding[] => {
  const out: Finding[] = [];
  const say = (severity: Finding['severity'], text: string): void => void out.push({ severity, about: 'stores', text });
  if (k.members.length === 0) {
    say('bad', 'no group has been formed: three stores are needed');
    return out;
  }
  if (k.members.length < 3)
    say('bad', `the group has ${k.members.length} members: no further store may fail; start an empty one`);
  if (k.members.length > 3) say('note', 'the group is changing: a newcomer has joined, another is to leave');
  if (k.swept !== k.group) say('note', `records are being copied for group mark ${k.group}: do not lose a store now`);
  for (const m of k.members)
    if (nodes.find((n) => n.id === m.id)?.standing !== 'live')
      say('bad', `member ${nodes.find((n) => n.id === m.id)?.name ?? m.id} is not live`);
  for (const z of doubled(
    zonesOf(
      k.members.map((m) => m.id),
      nodes,
    ),
  ))
    say('note', `more than one member is in zone ${z}`);
  for (const d of k.draining) say('note', `${nodes.find((n) => n.id === d)?.name ?? d} is draining`);
  return out;
};

export const survey = {
  run: async (
    get: Get,
    at: string,
  ): Promise<{ ok: true; findings: Finding[]; nodes: number; mark: number } | { ok: false; text: string }> => {
    const [status, roster, group, duties, workers] = await Promise.all(
      ['status', 'nodes', 'keepers', 'duties', 'workers'].map((w) => get(at, `${root}/${w}`)),
    );
    const first = [status, roster, group, duties, workers].find((r) => r?.status !== 200);
    if (!status || !roster || !group || !duties || !workers || first)
      return {
        ok: false,
        text: first ? String(first.body['message'] ?? first.body['error']) : `${at} does not answer`,
      };
    const nodes = (decodeNodes(roster.body['nodes'] as Record<string, unknown>[]) as NodeRow[]).filter(
      (n) => n.standing !== 'dead',
    );
    const mark = Number(roster.body['mark']);
    const findings: Finding[] = [];
    const say = (severity: Finding['severity'], about: string, text: string): void =>
      void findings.push({ severity, about, text });
    const each = await Promise.all(
      nodes.map(async (n) => {
        const [self, ready] = await Promise.all([get(n.http, `${root}/node`), get(n.http, '/ready')]);
        return ofNode(n, self, ready, mark);
      }),
    );
    findings.push(...each.flat());
    findings.push(...ofStores(group.body as unknown as Group, nodes));
    const coordinators = nodes.filter((n) => n.role === 'coordinator');
    const members = Number(status.body['towers']);
    if (members < 3) say('bad', 'coordinators', `the group has ${members} members`);
    if (coordinators.length < 3)
      say('bad', 'coordinators', `${coordinators.length} live: one more loss and no configuration can be agreed on`);
    for (const z of doubled(coordinators.map((n) => n.zone)))
      say('note', 'coordinators', `more than one is in zone ${z}`);
    if (Number(status.body['config']) === 0) say('bad', 'configuration', 'none has been pushed');
    if (!(duties.body['duties'] as Record<string, unknown>)['sweep']) say('note', 'duties', 'nobody holds the sweep');
    const list = workers.body['workers'] as { leaving: boolean; kind: string }[];
    for (const kind of ['model', 'app'])
      if (!list.some((w) => w.kind === kind && !w.leaving)) say('note', 'workers', `no ${kind} worker takes requests`);
    for (const n of nodes.filter((x) => x.role === 'gateway'))
      if (!nodes.some((p) => p.role === 'agent' && p.http.split(':')[0] === n.http.split(':')[0]))
        say('note', n.name, 'has no live agent on its machine');
    const order = { bad: 0, note: 1 };
    return {
      ok: true,
      findings: findings.sort((a, b) => order[a.severity] - order[b.severity] || (a.about < b.about ? -1 : 1)),
      nodes: nodes.length,
      mark,
    };
  },
};
export const patience = duration.s(3);
