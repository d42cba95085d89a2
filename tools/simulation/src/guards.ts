// Guards (§9.5): each line that keeps a rule is taken out of a copy of the built code, and the rule's own
// scenario or test must then fail. A test that cannot fail would show here.
import { spawn } from 'node:child_process';
import { cpSync, mkdirSync, mkdtempSync, readFileSync, readdirSync, rmSync, symlinkSync, writeFileSync } from 'node:fs';
import { availableParallelism, tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { fileOfWorkspace, workspaceFolders, workspacesOf } from '@thornsail/test-harness';

export type Guard = {
  name: string;
  rule: string;
  file: string;
  find: string;
  put: string;
  also?: [file: string, find: string, put: string][];
  /** `program`, with its arguments, tells of each run in a line of JSON; paths from the repository's root. */
  by:
    | { scenario: string; shape?: 'lautoka' | 'granite'; from?: number; to?: number }
    | { test: string }
    | { program: string; args: string[] };
};
const g = (
  name: string,
  rule: string,
  file: string,
  find: string,
  put: string,
  by: Guard['by'],
  also: Guard['also'] = [],
): Guard => ({ name, rule, file, find, put, by, also });

export const guards: Guard[] = [
  g(
    'spent is checked',
    '1 budget',
    'token-budget/src/index.js',
    'if (tokenBudget.held(p, p.budget))',
    'if (false)',
    { scenario: 'budget' },
    [['token-budget/src/index.js', 'if (tokenBudget.over(p, p.budget))', 'if (false)']],
  ),
  g(
    'a turn is charged before it is sent',
    '1 budget',
    'token-budget/src/index.js',
    'spent: p.spent + t.reserve',
    'spent: p.spent',
    { scenario: 'budget', to: 4 },
  ),
  g(
    'a lost turn stays charged',
    '1 budget',
    'token-budget/src/index.js',
    'p.lost += all.length - p.opens.length;',
    'p.spent -= sum(all) - sum(p.opens); p.lost += all.length - p.opens.length;',
    { test: 'token-budget/test/token-budget.test.js' },
  ),
  g(
    'a hold ends before the silence limit',
    '2 hold',
    'admission-scheduler/src/index.js',
    'Math.min(s.options.resumeTimeout, s.options.holdLimit, e.timeLeft - e.expected, e.silence)',
    's.options.resumeTimeout',
    { scenario: 'hold' },
  ),
  g(
    'a hold leaves room for a slow first token',
    '2 hold',
    'data-plane/src/relay.js',
    'adm.sawFirst(p.cls, clock.now() - x.sentAt, x.forced);',
    '',
    { scenario: 'hold', from: 2, to: 2 },
    [['data-plane/src/admission.js', 'forcedFirsts.get(cls)?.likely() ?? expected(cls)', '0']],
  ),
  g(
    'a drain waits for running turns',
    '3 uncut',
    'data-plane/src/index.js',
    'while ((inFlight.size || answering) && clock.now() < end && !closed)',
    'while (false)',
    { scenario: 'uncut' },
  ),
  g(
    'a program is paused only between turns',
    '3 uncut',
    'admission-scheduler/src/index.js',
    "p.phase === 'acting' && p.turn === null",
    'true',
    { test: 'admission-scheduler/test/admission-scheduler.test.js' },
  ),
  g(
    'a key is claimed once',
    '4 once',
    'data-plane/src/turn-records.js',
    'if (was && was.turn !== turn)',
    'if (false)',
    {
      scenario: 'once',
    },
  ),
  g(
    'what may have been sent is not repeated',
    '4 once',
    'data-plane/src/job.js',
    'mayRepeat && !p.once && p.key === null && left(r) > 0 && x.mayRetry()',
    'mayRepeat',
    { scenario: 'once' },
  ),
  g(
    'another request under a used key is refused',
    '4 once',
    'data-plane/src/edge.js',
    'once.sum !== undefined && once.sum !== p.sum',
    'false',
    { test: 'simulation/test/keep.test.js' },
  ),
  g(
    'a refused key stays quiet',
    '5 not run',
    'data-plane/src/turn-records.js',
    'if (quiet > 0) await time.sleep(runtime.clock, quiet);',
    '',
    { scenario: 'notrun', to: 6 },
  ),
  g(
    'a kept turn stands there once',
    '6 kept',
    'data-plane/src/turn-records.js',
    'if (was.marks.includes(mark)) return',
    'if (false) return',
    { test: 'simulation/test/keep.test.js' },
    [
      ['data-plane/src/edge.js', 'if (d) return replay(x, p, say, d);', ''],
      ['data-plane/src/turn-records.js', 'if (was && was.turn !== turn)', 'if (false)'],
      ['data-plane/src/turn-records.js', 'if (was.messages.length !== base)', 'if (false)'],
    ],
  ),
  g(
    'a turn told to be of unknown outcome does not come afterwards',
    '6 kept',
    'data-plane/src/turn-records.js',
    'if (was.fenced?.includes(mark))',
    'if (false)',
    { test: 'simulation/test/keep.test.js' },
  ),
  g(
    'what was promised is not cut',
    '6 kept',
    'data-plane/src/turn-records.js',
    'Math.max(promised, w.max + duration.s(secs))',
    'w.max + duration.s(secs)',
    { test: 'simulation/test/keep.test.js' },
  ),
  g(
    'a read needs a majority',
    '6 kept',
    'register-store/src/members.js',
    'majority = (n) => Math.floor(n / 2) + 1',
    'majority = (n) => 1',
    { test: 'simulation/test/registers.test.js' },
  ),
  g(
    "the stores' earliest wall decides",
    '6 kept',
    'register-store/src/proposer.js',
    'min: Math.min(...walls)',
    'min: Math.max(...walls)',
    { scenario: 'kept', to: 6 },
    [['register-store/src/registers.js', 'min: Math.min(...walls)', 'min: Math.max(...walls)']],
  ),
  g(
    'one that is gone is removed first',
    '12 recovery',
    'consensus/src/repair.js',
    'removeGone(group) ?? removeOverdue(group)',
    'removeOverdue(group)',
    { test: 'consensus/test/repair-model.test.js' },
  ),
  g(
    'no change of a group before the last one is complete',
    '12 recovery',
    'consensus/src/repair.js',
    'group.settled ? (',
    'true ? (',
    { test: 'consensus/test/repair-model.test.js' },
  ),
  g(
    'a silent member is removed only where the others can complete it',
    '12 recovery',
    'consensus/src/repair.js',
    'if (group.members.filter(answers).length < majorityOf(left)) return undefined;',
    '',
    { test: 'consensus/test/repair-model.test.js' },
  ),
  g(
    'an empty newcomer never decides alone',
    '12 recovery',
    'consensus/src/repair.js',
    'if (present < majorityOf(group.members.length + 1)) return undefined;',
    '',
    { test: 'consensus/test/repair-model.test.js' },
  ),
  g(
    'one that leaves stays until a spare is there',
    '12 recovery',
    'consensus/src/repair.js',
    'if (group.members.length < group.size && !isEven(group)) return undefined;',
    '',
    { test: 'consensus/test/repair-model.test.js' },
  ),
  g(
    'a new identity at an address shows that the former is gone',
    '12 recovery',
    'consensus/src/presence.js',
    "if (isGone(ordered, member)) return 'gone';",
    '',
    { test: 'consensus/test/presence.test.js' },
  ),
  g(
    'the first member sweeps without a lease',
    '12 recovery',
    'thornsail/src/sweep-duty.js',
    'firstMember(ordered) === id || ',
    '',
    { test: 'simulation/test/repair.test.js' },
  ),
  g(
    'a lost member holds up no sweep',
    '12 recovery',
    'register-store/src/sweep.js',
    'o.all ? majority(o.group.members.length) : undefined',
    'undefined',
    { test: 'simulation/test/sweep.test.js' },
  ),
  g(
    'a new group is swept before the next change',
    '6 kept',
    'register-store/src/sweep.js',
    'if (!isSound(found))',
    'if (false)',
    { test: 'simulation/test/registers.test.js' },
  ),
  g(
    'an extension outlives changes that know nothing of it',
    '6 kept',
    'register-store/src/store.js',
    'Math.max(cur.extended ?? 0, m.extended ?? 0)',
    '0',
    { test: 'register-store/test/registers.test.js' },
  ),
  g(
    'an extension is on a majority before anybody is told of it',
    '6 kept',
    'register-store/src/read.js',
    '(hangsOnExtension(a) && extended < need)',
    'false',
    { test: 'register-store/test/registers.test.js' },
  ),
  g(
    'an extended copy is not dropped',
    '6 kept',
    'register-store/src/replica-table.js',
    'Math.max(c.touched, c.held?.until ?? 0, c.extended ?? 0)',
    'Math.max(c.touched, c.held?.until ?? 0)',
    { test: 'register-store/test/registers.test.js' },
  ),
  g(
    'the ballots of a dropped copy are not used again',
    '6 kept',
    'register-store/src/store.js',
    'slot?.value.promised[0] ?? 0',
    '0',
    { test: 'register-store/test/registers.test.js' },
  ),
  g(
    'an old group mark is refused',
    '6 kept',
    'register-store/src/store.js',
    'if (group.mark > markOf(m))',
    'if (false)',
    {
      test: 'simulation/test/registers.test.js',
    },
  ),
  g(
    'a leaving worker is not picked',
    '7 leaving',
    'load-balancer/src/index.js',
    '!w.leaving && !not?.has(w.id)',
    '!not?.has(w.id)',
    { test: 'load-balancer/test/load-balancer.test.js' },
  ),
  g(
    'a leaving worker is neither picked nor sent to',
    '7 leaving',
    'load-balancer/src/index.js',
    '!w.leaving && !not?.has(w.id)',
    '!not?.has(w.id)',
    { scenario: 'leaving' },
    [
      ['data-plane/src/chat.js', 'if (!now || now.leaving)', 'if (!now)'],
      ['data-plane/src/job.js', 'if (!now || now.leaving)', 'if (!now)'],
    ],
  ),
  g(
    'a woken edge refreshes before it sends',
    '7 leaving',
    'data-plane/src/index.js',
    'if (!membership.stale())',
    'if (true)',
    { test: 'simulation/test/freeze.test.js' },
  ),
  g(
    'acknowledged means the gateways use it',
    '8 configuration',
    'consensus/src/core.js',
    'if (!result.ok || !o.uses || ',
    'if (true || ',
    { test: 'simulation/test/config.test.js' },
  ),
  g(
    'a gateway that is cut off takes nothing new',
    '8 configuration',
    'data-plane/src/index.js',
    "if (!inTouch() && (ran === 'unknown' || !(await membership.refresh()) || !inTouch()))",
    'if (false)',
    { test: 'simulation/test/config.test.js' },
  ),
  g(
    'a cut-off core acknowledges nothing',
    '8 configuration',
    'consensus/src/core.js',
    'lately.length === 0 || (lately.length - slow.length) * 2 > lately.length',
    'true',
    { test: 'simulation/test/config.test.js' },
  ),
  g(
    'a collision is refused',
    '8 configuration',
    'consensus/src/configuration.js',
    'if (push.base === present)',
    'if (true)',
    {
      test: 'simulation/test/api.test.js',
    },
  ),
  g(
    'an older mark never replaces a newer',
    '8 configuration',
    'dissemination/src/index.js',
    'if ((cur && cur.mark >= n.mark) || !o.admits(n.name))',
    'if (!o.admits(n.name) || cur?.mark === n.mark)',
    { test: 'simulation/test/parts.test.js' },
  ),
  g(
    'a stale view is refused',
    '8 configuration',
    'consensus/src/follower.js',
    'message.to !== state.id || snapshot.term < state.term',
    'message.to !== state.id',
    { test: 'consensus/test/model.test.js' },
  ),
  g(
    'acknowledged means a majority has it',
    '9 durable',
    'consensus/src/quorum.js',
    'const majority = (size) => Math.floor(size / 2) + 1',
    'const majority = (size) => 1',
    { test: 'simulation/test/views.test.js' },
  ),
  g(
    'synced before the reply',
    '9 durable',
    'register-store/src/store.js',
    'await records.write(m.key, next);',
    'void records.write(m.key, next);',
    { test: 'simulation/test/registers.test.js' },
  ),
  g(
    'a batch is acknowledged after its sync',
    '9 durable',
    'durable-files/src/batches.js',
    'await disk.fill(name, () => format.seal([...(batch = take()).values()].map((w) => w.text)))',
    'const now = format.seal([...(batch = take()).values()].map((w) => w.text)); void disk.fill(name, () => now)',
    { test: 'durable-files/test/batches.test.js' },
  ),
  g(
    'what a killed process left is synced before it is used',
    '9 durable',
    'durable-files/src/batches.js',
    "await disk.settle([format.file('b', last)]);",
    ';',
    { test: 'durable-files/test/power-loss.test.js' },
  ),
  g(
    'names that a killed process left are synced before they are used',
    '9 durable',
    'durable-files/src/index.js',
    'await folder.settle([]);',
    '',
    { test: 'durable-files/test/power-loss.test.js' },
  ),
  g(
    'a batch is written under a name that lasts',
    '9 durable',
    'durable-files/src/batches.js',
    'await reserved.upTo(next);',
    '',
    { test: 'durable-files/test/power-loss.test.js' },
  ),
  g(
    'reserved names are synced with their folder',
    '9 durable',
    'runtime/src/data-folder.js',
    "await step('write', makeEmpty(path.join(folder, name)));\n            await step('sync', syncFolder());",
    "await step('write', makeEmpty(path.join(folder, name)));",
    { test: 'durable-files/test/power-loss.test.js' },
  ),
  g(
    'a document is acknowledged after the sync of its folder',
    '9 durable',
    'runtime/src/data-folder.js',
    "underWay.delete(aside);\n            }\n            await step('sync', syncFolder());",
    'underWay.delete(aside);\n            }',
    { test: 'durable-files/test/power-loss.test.js' },
  ),
  g(
    'a removed document is acknowledged after the sync of its folder',
    '9 durable',
    'durable-files/src/index.js',
    'work));\n                await disk.settle([]);',
    'work));',
    { test: 'durable-files/test/power-loss.test.js' },
  ),
  g(
    'the mark of a damaged folder goes last',
    '9 durable',
    'durable-files/src/index.js',
    'await disk.settle([]);\n                await disk.drop(file(wiping, 1));',
    'await disk.drop(file(wiping, 1));',
    { test: 'durable-files/test/power-loss.test.js' },
  ),
  g(
    'reserved names far up show that what came before is gone',
    '9 durable',
    'durable-files/src/batches.js',
    'list[0] > upTo + limits.reservedFiles',
    'false',
    { test: 'durable-files/test/power-loss.test.js' },
  ),
  g(
    'a damaged folder is marked before it is emptied',
    '9 durable',
    'durable-files/src/index.js',
    'await write(wiping, 1, {});',
    '',
    { test: 'durable-files/test/batches.test.js' },
  ),
  g(
    'a leader whose disk hangs hands over',
    '9 durable',
    'consensus/src/leader.js',
    "resign(step, 'its disk does not answer');",
    '',
    { test: 'simulation/test/disk-trouble.test.js' },
  ),
  g(
    'a damaged batch is not passed over',
    '9 durable',
    'durable-files/src/batches.js',
    'if (!sound.has(n))',
    'if (false)',
    {
      test: 'durable-files/test/batches.test.js',
    },
  ),
  g(
    'a removal is kept as long as an older record is there',
    '9 durable',
    'durable-files/src/batches.js',
    'isGone(x) && x.older <= (older.get(key) ?? 0)',
    'isGone(x)',
    { test: 'durable-files/test/batches.test.js' },
  ),
  g('what was merged does not come back', '9 durable', 'durable-files/src/batches.js', '.filter((n) => n > upTo)', '', {
    test: 'durable-files/test/batches.test.js',
  }),
  g('a failed disk is not written again', '9 durable', 'durable-files/src/index.js', 'if (failed) throw failed;', '', {
    test: 'runtime/test/disk.test.js',
  }),
  g(
    'a torn file is recognised',
    '9 durable',
    'durable-files/src/index.js',
    'if (text !== undefined)',
    'if (raw !== undefined)',
    { test: 'simulation/test/parts.test.js' },
  ),
  g('a cut stream is broken off', '10 streams', 'data-plane/src/chat.js', 'r.say.cut();', 'r.say.end();', {
    scenario: 'streams',
  }),
  g(
    'a stream without its end marker is cut',
    '10 streams',
    'data-plane/src/relay.js',
    "throw fault.make({ step: 'relay', sibling: x.worker }, 'the stream ended without its end marker');",
    "st.go('end'); say.end('id: 999\\ndata: [DONE]\\n\\n');" +
      " adm.end(turn, { tokens: null, final: false, worker: null }); return 'done';",
    { test: 'simulation/test/streams.test.js' },
  ),
  g(
    'free slots are dealt out over the edges',
    '11 urgent',
    'load-balancer/src/index.js',
    'return recent < Math.max(part, config?.limits.leastPart ?? 0);',
    'return true;',
    { test: 'load-balancer/test/load-balancer.test.js' },
  ),
  g(
    'the reserve is not lent',
    '11 urgent',
    'load-balancer/src/index.js',
    'free -= Math.max(0, Math.ceil(c.reserve * s.slots) - (s.byClass.get(d) ?? 0));',
    ';',
    { test: 'load-balancer/test/load-balancer.test.js' },
  ),
  g(
    'borrowed shares go back first',
    '11 urgent',
    'load-balancer/src/index.js',
    'if (!o.force && mustGiveWay(cls, own))',
    'if (false)',
    { test: 'load-balancer/test/load-balancer.test.js' },
  ),
  g(
    'urgent classes have a reserve, priority and their share back',
    '11 urgent',
    'load-balancer/src/index.js',
    'if (!o.force && mustGiveWay(cls, own))',
    'if (false)',
    { scenario: 'urgent' },
    [
      [
        'load-balancer/src/index.js',
        'free -= Math.max(0, Math.ceil(c.reserve * s.slots) - (s.byClass.get(d) ?? 0));',
        ';',
      ],
      ['load-balancer/src/index.js', 'if (own > 0)', 'if (false)'],
      [
        'data-plane/src/admission.js',
        'Number(config?.classes[b]?.urgent ?? false) - Number(config?.classes[a]?.urgent ?? false)',
        '0',
      ],
    ],
  ),
  g(
    'a newcomer whose head was lost is brought up',
    '12 recovery',
    'consensus/src/election.js',
    'if (reply?.unformed)',
    'if (false)',
    { test: 'simulation/test/views.test.js' },
  ),
  g(
    'a silent head is replaced',
    '12 recovery',
    'consensus/src/replica.js',
    'electionTimeout: duration.ms(600)',
    'electionTimeout: duration.s(60)',
    {
      scenario: 'closing',
    },
  ),
  g(
    'a term is promised once',
    'consensus',
    'consensus/src/follower.js',
    'message.to !== state.id || message.term <= state.term || !state.accepted',
    'message.to !== state.id || !state.accepted',
    { test: 'consensus/test/model.test.js' },
  ),
  g(
    'a version is synced before it is acknowledged',
    'consensus',
    'consensus/src/follower.js',
    "writeSnapshot(step, snapshot, { kind: 'acknowledge-append', call });",
    "(writeSnapshot(step, snapshot, { kind: 'adopt-term' }), step.effects.push({ type: 'reply', call, " +
      "reply: { kind: 'append', ok: true, term: snapshot.term, index: snapshot.index } }));",
    { test: 'consensus/test/model.test.js' },
  ),
  g(
    'a vote is synced before it is given',
    'consensus',
    'consensus/src/follower.js',
    "writeTerm(step, message.term, { kind: 'grant-vote', call, term: message.term });",
    "(writeTerm(step, message.term, { kind: 'adopt-term' }), " +
      "grantVote(step, { kind: 'grant-vote', call, term: message.term }));",
    { test: 'consensus/test/model.test.js' },
  ),
  g(
    'a version of an older term is refused',
    'consensus',
    'consensus/src/follower.js',
    'message.to !== state.id || snapshot.term < state.term',
    'message.to !== state.id',
    { test: 'consensus/test/model.test.js' },
    [['consensus/src/actions.js', 'invariant.hold(snapshot.term >= term', 'invariant.hold(true']],
  ),
  g(
    'an election needs the quorum of the newest members too',
    'consensus',
    'consensus/src/election.js',
    ' && hasQuorum(election.newest.members, election.granted)',
    '',
    { test: 'consensus/test/model.test.js' },
  ),
  g(
    'a version changes one member at most',
    'consensus',
    'consensus/src/leader.js',
    'membersChanged(base.members, changed.members) <= 1',
    'true',
    { test: 'consensus/test/model.test.js' },
  ),
  g(
    'a term has a commit before its first change',
    'consensus',
    'consensus/src/leader.js',
    'state.writing || state.replication || state.queue.length === 0',
    'state.writing || state.queue.length === 0',
    { test: 'consensus/test/model.test.js' },
    [
      [
        'consensus/src/leader.js',
        'if (committed?.term !== state.term || committed.index !== accepted.index)\n        return;',
        '',
      ],
    ],
  ),
  g(
    'a read is confirmed by a round that begins after its question',
    'consensus',
    'consensus/src/leader.js',
    'sendHeartbeats(step, [{ read, snapshot: committed }]);',
    "step.effects.push({ type: 'read-outcome', read, outcome: { ok: true, snapshot: committed } });",
    { test: 'consensus/test/model.test.js' },
  ),
  g(
    'a lost disk is another member',
    'consensus',
    'consensus/src/follower.js',
    'message.to !== state.id || snapshot.term',
    'snapshot.term',
    { test: 'consensus/test/model.test.js' },
    [
      [
        'consensus/src/follower.js',
        'message.to !== state.id || message.term <= state.term',
        'message.term <= state.term',
      ],
    ],
  ),
  g(
    'a member that was removed stands aside',
    'consensus',
    'consensus/src/election.js',
    'state.removed = !isMember;',
    '',
    { test: 'consensus/test/model.test.js' },
  ),
  g(
    'a leader takes the newest version of its voters',
    'consensus',
    'consensus/src/election.js',
    'if (isNewer(reply.accepted, election.newest))',
    'if (false)',
    { test: 'consensus/test/model.test.js' },
  ),
  g(
    'a group is founded by all founders together',
    'consensus',
    'consensus/src/founding.js',
    'discovery.found.length === founders.length',
    'discovery.found.length * 2 > founders.length',
    { test: 'consensus/test/model.test.js' },
  ),
  g(
    'a founder that is a member already founds nothing',
    'consensus',
    'consensus/src/founding.js',
    '!discovery.found.some((member) => member.formed)',
    'true',
    { test: 'consensus/test/model.test.js' },
  ),
  g(
    'members that a candidate did not know are asked too',
    'consensus',
    'consensus/src/election.js',
    'if (!known.has(member.id))',
    'if (false)',
    { test: 'consensus/test/model.test.js' },
  ),
  g(
    'a change takes effect once',
    'registers',
    'register-store/src/registers.js',
    'held?.ops.find((op) => tried.has(op))',
    'undefined',
    { test: 'simulation/test/registers.test.js' },
  ),
  g('one grant at a time', 'duties', 'leases/src/index.js', 'if (held && g.by !== by)', 'if (false)', {
    test: 'simulation/test/parts.test.js',
  }),
  g("a dead node's news is not taken again", 'news', 'dissemination/src/index.js', '|| !o.admits(n.name)', '', {
    test: 'simulation/test/parts.test.js',
  }),
  g(
    "a row's load is passed on to the other rows",
    'urgent',
    'data-plane/src/load-exchange.js',
    'passOn(message);\n            options.onReceived();',
    'options.onReceived();',
    { test: 'simulation/test/load.test.js' },
  ),
  g(
    'news of load is gathered among many relays',
    'urgent',
    'membership/src/index.js',
    "gathers: (name) => name.startsWith('load/')",
    'gathers: () => false',
    { test: 'simulation/test/load.test.js' },
  ),
  g('a reset ends no answer', 'answers', 'runtime/src/connector.js', 'resetIsAnError(socket);', '', {
    test: 'runtime/test/answers.test.js',
  }),
  g(
    'nothing follows a body that has not left',
    'answers',
    'runtime/src/connection.js',
    'if (socket && socket.writableLength > 0)',
    'if (false)',
    { test: 'runtime/test/answers.test.js' },
  ),
  g(
    'whoever asks late is told that the client left',
    'answers',
    'runtime/src/http-server.js',
    'if (gone()) return fn();',
    '',
    { test: 'runtime/test/clients.test.js' },
  ),
  g(
    'a request sent ahead is told that its client left',
    'answers',
    'runtime/src/http-server.js',
    'const forget = onSocketClose(socket, once);',
    'const forget = () => undefined;',
    { test: 'runtime/test/clients.test.js' },
  ),
  g(
    'an answer without a length is cut by a reset',
    'answers',
    'runtime/src/http-server.js',
    'if (res.headersSent && !framed && !res.chunkedEncoding)',
    'if (false)',
    { test: 'runtime/test/clients.test.js' },
  ),
  g(
    'a server closes behind the answers it still writes',
    'answers',
    'runtime/src/http-server.js',
    'await answers.flushed();',
    '',
    { test: 'runtime/test/closing.test.js' },
  ),
  g(
    'a call receives what was written before its server ended',
    'answers',
    'simulation/src/world.js',
    'h.inc === hInc && !powerLost',
    'same() && !powerLost',
    { test: 'simulation/test/link.test.js' },
  ),
  g(
    'a connection is not kept for a worker that left the list',
    'answers',
    'data-plane/src/forward/connections.js',
    'if (pool.kept && connection.open()',
    'if (connection.open()',
    { test: 'data-plane/test/connections.test.js' },
  ),
  g(
    'connections in use count until their answers',
    'answers',
    'data-plane/src/forward/connections.js',
    'if (pool.used === 0)',
    'if (true)',
    { test: 'data-plane/test/connections.test.js' },
  ),
  g(
    'an answer between nodes names the process that asked',
    'answers',
    'rpc/src/index.js',
    '`${self}.${++n}`',
    '`${++n}`',
    { test: 'rpc/test/identity.test.js' },
  ),
  g(
    'no answer that names no request over a kept connection',
    'answers',
    'data-plane/src/edge.js',
    'fresh: true',
    'fresh: false',
    { test: 'data-plane/test/sends.test.js' },
  ),
  g(
    'a late leave ends no later grant',
    'late messages',
    'leases/src/index.js',
    '(left ?? grant.mark) >= grant.mark',
    'true',
    { test: 'leases/test/late.test.js' },
  ),
  g(
    'an order to drain names its process',
    'late messages',
    'thornsail/src/drain.js',
    'if ((to ?? id) !== id)',
    'if (false)',
    { test: 'thornsail/test/drain.test.js' },
  ),
];

const root = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../../..');
export type Verdict = { guard: string; rule: string; noticed: boolean; how: string };

const runNode = (args: string[], cwd: string, onLine: (l: string) => boolean): Promise<number | null> =>
  new Promise((done) => {
    const child = spawn(process.execPath, args, {
      cwd,
      stdio: ['ignore', 'pipe', 'ignore'],
      env: { ...process.env, NO_COLOR: '1', FORCE_COLOR: '0' },
    });
    let rest = '';
    child.stdout.on('data', (d: Buffer) => {
      rest += d.toString();
      for (let i = rest.indexOf('\n'); i >= 0; i = rest.indexOf('\n')) {
        const l = rest.slice(0, i);
        rest = rest.slice(i + 1);
        if (onLine(l)) child.kill('SIGKILL');
      }
    });
    // One that hangs has not passed either.
    const late = setTimeout(() => child.kill('SIGKILL'), 150_000);
    child.on('close', (code) => {
      clearTimeout(late);
      done(code);
    });
  });

/** A text wherever it stands, however it is laid out over lines. */
const anyLayout = (find: string): RegExp => {
  const parts = [...find.replace(/\s+/g, '')].map((ch) => ch.replace(/[.*+?^${}()|[\]\\/]/g, '\\$&'));
  return new RegExp(parts.map((p) => (/^\\[)\]}]$/.test(p) ? `(?:,\\s*)?${p}` : p)).join('\\s*'), 'g');
};
/** A copy of the built packages in which one text is replaced; `missing`: the file that has no such text. */
const copy = (gd: Guard): { dir: string; missing?: string } => {
  const dir = mkdtempSync(path.join(tmpdir(), 'thornsail-guard-'));
  for (const d of [...workspaceFolders, 'platform']) cpSync(path.join(root, d), path.join(dir, d), { recursive: true });
  writeFileSync(path.join(dir, 'package.json'), '{"type":"module"}');
  cpSync(path.join(root, 'examples'), path.join(dir, 'examples'), { recursive: true });
  mkdirSync(path.join(dir, 'node_modules', '@thornsail'), { recursive: true });
  for (const e of readdirSync(path.join(root, 'node_modules')))
    if (e !== '@thornsail' && !e.startsWith('.'))
      symlinkSync(path.join(root, 'node_modules', e), path.join(dir, 'node_modules', e));
  for (const p of workspacesOf(dir))
    symlinkSync(path.join(dir, p), path.join(dir, 'node_modules', '@thornsail', path.basename(p)));
  for (const [file, find, put] of [[gd.file, gd.find, gd.put] as const, ...(gd.also ?? [])]) {
    const f = fileOfWorkspace(dir, file);
    const text = readFileSync(f, 'utf8');
    const line = anyLayout(find);
    if (!line.test(text)) {
      rmSync(dir, { recursive: true, force: true });
      return { dir, missing: file };
    }
    writeFileSync(
      f,
      text.replace(line, () => put),
    );
  }
  return { dir };
};

const runOf = (by: Exclude<Guard['by'], { test: string }>): { program: string; args: string[]; name: string } => {
  if ('program' in by) return { ...by, name: by.args.join(' ') };
  const { scenario, shape = 'granite', from = 1, to = 3 } = by;
  const job = `${scenario}:${shape}:${from}:${to}`;
  return {
    program: 'tools/simulation/src/sweep-cli.js',
    args: ['--child', job],
    name: `${scenario} ${shape} (${from}-${to})`,
  };
};
export const guardRun = {
  one: async (gd: Guard): Promise<Verdict> => {
    const v = (noticed: boolean, how: string): Verdict => ({ guard: gd.name, rule: gd.rule, noticed, how });
    const { dir, missing } = copy(gd);
    // Told as a miss, so that one guard which is out of date hides no other.
    if (missing) return v(false, `its line is not in ${missing}`);
    try {
      if ('test' in gd.by) {
        const code = await runNode([fileOfWorkspace(dir, gd.by.test)], dir, () => false);
        return v(code !== 0, gd.by.test);
      }
      const { program, args, name } = runOf(gd.by);
      let how = `${name}: no breach`;
      let noticed = false;
      await runNode([path.join(dir, program), ...args], dir, (l) => {
        const r = JSON.parse(l) as { seed: number; breaches: string[] };
        if (r.breaches.length === 0) return false;
        noticed = true;
        how = `${name} seed ${r.seed}: ${r.breaches[0]!.slice(0, 110)}`;
        return true;
      });
      return v(noticed, how);
    } finally {
      rmSync(dir, { recursive: true, force: true });
    }
  },
  all: async (list: Guard[], say: (v: Verdict) => void): Promise<Verdict[]> => {
    const left = [...list];
    const out: Verdict[] = [];
    const work = async (): Promise<void> => {
      for (let x = left.shift(); x; x = left.shift()) {
        const v = await guardRun.one(x);
        out.push(v);
        say(v);
      }
    };
    await Promise.all(Array.from({ length: Math.max(1, Math.min(6, availableParallelism() - 1)) }, work));
    return out;
  },
};
