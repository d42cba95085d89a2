import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { seeded, duration } from '@thornsail/runtime';
import { admissionScheduler, type Effect, type Options, type State } from '@thornsail/admission-scheduler';

const open = (o: Partial<Options> = {}, workers = [{ id: 'a', capacity: 1000, eligible: true }]): State => {
  const s = admissionScheduler.open({ ...admissionScheduler.defaults(), ...o }, 0);
  admissionScheduler.step(s, { kind: 'workers', list: workers }, 0);
  return s;
};
const arrive = (
  s: State,
  turn: string,
  program: string,
  tokens: number,
  now: number,
  timeLeft = duration.s(3),
): Effect[] =>
  admissionScheduler.step(
    s,
    { kind: 'arrive', turn, program, tokens, timeLeft, expected: duration.ms(300), silence: duration.s(2) },
    now,
  ).effects;
const end = (s: State, turn: string, tokens: number, now: number, final = false): Effect[] =>
  admissionScheduler.step(s, { kind: 'end', turn, tokens, final, worker: null }, now).effects;
const tick = (s: State, now: number): Effect[] => admissionScheduler.step(s, { kind: 'tick' }, now).effects;

test("defaults are the design page's", () => {
  const d = admissionScheduler.defaults();
  assert.equal(
    [
      d.pauseThreshold,
      d.pauseTarget,
      d.resumeHysteresis,
      d.resumeTimeout,
      d.retention,
      d.interval,
      d.actingTokenWeight,
      d.actingHalfLife,
      d.headroom,
      d.maxTurns,
      d.maxPrograms,
    ],
    [0.95, 0.8, 0.1, duration.s(1800), duration.s(1800), duration.s(5), 1, duration.s(1), 100, 10_000, 10_000],
  );
});

test('a program begins in its own zone, unless that is fuller by more than the preference allows', () => {
  const workers = [
    { id: 'far', capacity: 1000, eligible: true, near: false },
    { id: 'near', capacity: 1000, eligible: true, near: true },
  ];
  const placed = (localPreference: number): (string | null)[] => {
    const s = open({ localPreference }, workers);
    return ['p1', 'p2', 'p3'].map((p, i) => {
      arrive(s, `t${i}`, p, 100, i);
      return s.programs.get(p)!.worker;
    });
  };
  assert.equal(placed(0), ['far', 'near', 'far']);
  assert.equal(placed(0.15), ['near', 'near', 'far']);
});
test('a program that has ended by what its caller said takes no room from the next look at the workers on', () => {
  const s = open();
  const e = {
    kind: 'arrive',
    turn: 't1',
    program: 'p1',
    tokens: 900,
    timeLeft: duration.s(3),
    expected: duration.ms(300),
  } as const;
  admissionScheduler.step(s, { ...e, silence: duration.s(2), remaining: duration.s(1) }, 0);
  end(s, 't1', 900, duration.ms(300));
  const look = (now: number): Effect[] =>
    admissionScheduler.step(s, { kind: 'workers', list: [{ id: 'a', capacity: 1000, eligible: true }] }, now).effects;
  assert.equal(look(duration.ms(900)), []);
  assert.equal(look(duration.ms(1100)), [{ kind: 'ended', program: 'p1', why: 'idle' }]);
  assert.equal(admissionScheduler.totals(s).tokens, {});
});

test('pauses the smallest ACTING first, down to the target, and holds their next turns', () => {
  const s = open();
  for (const [id, n] of [
    ['p1', 300],
    ['p2', 400],
    ['p3', 260],
  ] as const) {
    arrive(s, `t-${id}`, id, n, 0);
    end(s, `t-${id}`, n, 1);
  }
  const e = tick(s, duration.s(5));
  // 960 of 1000: 160 over the target, and the smallest, 260, covers it.
  assert.equal(e, [{ kind: 'paused', program: 'p3', worker: 'a' }]);
  assert.is(arrive(s, 'n3', 'p3', 260, duration.s(5) + 1)[0]!.kind, 'hold');
  assert.is(arrive(s, 'n1', 'p1', 300, duration.s(5) + 1)[0]!.kind, 'release');
});

test('marks the smallest REASONING when none is ACTING, and pauses it only at its boundary', () => {
  const s = open();
  arrive(s, 't1', 'p1', 500, 0);
  arrive(s, 't2', 'p2', 460, 0);
  assert.equal(tick(s, duration.s(5)), [{ kind: 'marked', program: 'p2', worker: 'a' }]);
  assert.is(s.programs.get('p2')!.standing, 'active');
  assert.equal(end(s, 't2', 470, duration.s(6))[0], { kind: 'paused', program: 'p2', worker: 'a' });
});

test('resumes smallest first and best fit, only below the hysteresis line, never what the same pass paused', () => {
  const s = open({ resumeOnRoom: false }, [
    { id: 'a', capacity: 1000, eligible: true },
    { id: 'b', capacity: 2000, eligible: true },
  ]);
  for (const [id, n] of [
    ['x', 300],
    ['y', 200],
    ['z', 700],
  ] as const) {
    arrive(s, `t-${id}`, id, n, 0);
    end(s, `t-${id}`, n, 1);
    const p = s.programs.get(id)!;
    p.standing = 'paused';
  }
  arrive(s, 'tb', 'big', 50, 2);
  s.programs.get('big')!.worker = 'b';
  const e = tick(s, duration.s(5));
  // Room: a 950, b 1750. y and x fit tighter in a; z then fits only in b.
  assert.equal(
    e.filter((x) => x.kind === 'resumed'),
    [
      { kind: 'resumed', program: 'y', worker: 'a' },
      { kind: 'resumed', program: 'x', worker: 'a' },
      { kind: 'resumed', program: 'z', worker: 'b' },
    ],
  );
  const full = open({}, [{ id: 'a', capacity: 1000, eligible: true }]);
  for (const [id, n] of [
    ['x', 500],
    ['y', 480],
  ] as const) {
    arrive(full, `t-${id}`, id, n, 0);
    end(full, `t-${id}`, n, 1);
  }
  const paused = tick(full, duration.s(5));
  assert.equal(
    paused.map((x) => x.kind),
    ['paused'],
  );
  assert.equal(
    tick(full, duration.s(10)).map((x) => x.kind),
    [],
    '500 of 1000 leaves 350 of room: 480 does not fit',
  );
});

test('among edges the smallest paused program has the room; the others take a share of it', () => {
  const resumed = (smallest: number): string[] => {
    const s = open({ resumeOnRoom: false }, [{ id: 'a', capacity: 2000, eligible: true }]);
    for (const [id, n] of [
      ['x', 200],
      ['y', 500],
    ] as const) {
      arrive(s, `t-${id}`, id, n, 0);
      end(s, `t-${id}`, n, 1);
      s.programs.get(id)!.standing = 'paused';
    }
    // 900 of the threshold's 1900 are the siblings', three of whom hold paused programs: room 1000, a share 250.
    admissionScheduler.step(
      s,
      { kind: 'siblings', siblings: { tokens: new Map([['a', 900]]), sharers: 3, smallest } },
      2,
    );
    return tick(s, duration.s(5)).flatMap((e) => (e.kind === 'resumed' ? [e.program] : []));
  };
  assert.equal(resumed(100), [], 'a sibling has a smaller one, and 300 does not fit a share of 250');
  assert.equal(resumed(300), ['x'], 'the smallest of all may use the room, the next one only a share');
  assert.equal(resumed(1000), ['x', 'y']);
});

test('forces a held turn through before two seconds, never rejects it for want of room', () => {
  const s = open({ resumeOnRoom: false });
  arrive(s, 't1', 'p1', 500, 0);
  end(s, 't1', 500, 1);
  arrive(s, 't2', 'p2', 480, 0);
  end(s, 't2', 480, 1);
  tick(s, duration.s(5));
  arrive(s, 'n2', 'p2', 480, duration.s(5));
  assert.is(admissionScheduler.dueAt(s), duration.s(5) + duration.ms(1500));
  assert.equal(admissionScheduler.step(s, { kind: 'due' }, duration.s(6)).effects, []);
  const e = admissionScheduler.step(s, { kind: 'due' }, duration.s(5) + duration.ms(1500)).effects;
  assert.is(e[0]!.kind, 'release');
  assert.is((e[0] as { why: string }).why, 'forced');
  // Slow first tokens: the hold ends earlier by what they take.
  end(s, 'n2', 480, duration.s(7) - 20);
  s.programs.get('p2')!.standing = 'paused';
  const slow = admissionScheduler.step(
    s,
    {
      kind: 'arrive',
      turn: 'n3',
      program: 'p2',
      tokens: 480,
      timeLeft: duration.s(9),
      expected: duration.ms(300),
      silence: duration.ms(700),
    },
    duration.s(7) - 10,
  ).effects[0] as { forceAt: number };
  assert.is(slow.forceAt, duration.s(7) - 10 + duration.ms(700));
  arrive(s, 'x1', 'p1', 500, duration.s(7));
  // Too little time left to hold at all: through at once.
  const p3 = s.programs.get('p1')!;
  assert.is(p3.turn, 'x1');
});

test('a turn whose program has another one at a worker is given up at its limit, not run beside it', () => {
  const s = open();
  arrive(s, 't1', 'p1', 100, 0);
  assert.is((arrive(s, 't2', 'p1', 100, 10)[0] as { why: string }).why, 'busy');
  assert.equal(admissionScheduler.step(s, { kind: 'due' }, duration.ms(1500) + 10).effects, [
    { kind: 'reject', turn: 't2', why: 'busy' },
  ]);
});

test('the caps evict the longest idle program, then reject', () => {
  const s = open({ maxPrograms: 2, maxTurns: 3 });
  arrive(s, 't1', 'p1', 10, 0);
  end(s, 't1', 10, 1);
  arrive(s, 't2', 'p2', 10, 2);
  assert.equal(
    arrive(s, 't3', 'p3', 10, 3).map((e) => e.kind),
    ['ended', 'release'],
  );
  assert.equal(arrive(s, 't4', 'p4', 10, 4), [{ kind: 'reject', turn: 't4', why: 'programs' }]);
  arrive(s, 't5', 'p3', 10, 5);
  assert.equal(arrive(s, 't6', 'p3', 10, 6), [{ kind: 'reject', turn: 't6', why: 'turns' }]);
});

test('idle programs expire after their retention, final ones at once', () => {
  const s = open();
  arrive(s, 't1', 'p1', 10, 0);
  end(s, 't1', 10, 1);
  arrive(s, 't2', 'p2', 10, 0);
  assert.equal(
    end(s, 't2', 10, 1, true).map((e) => e.kind),
    ['ended'],
  );
  assert.equal(tick(s, duration.s(1799)), []);
  assert.equal(tick(s, duration.s(1801)), [{ kind: 'ended', program: 'p1', why: 'idle' }]);
});

test('random load: every arrival is answered once, holds end in time, and the state stays sound', () => {
  for (let seed = 1; seed <= 40; seed++) {
    const r = seeded(seed);
    const workers = [
      { id: 'a', capacity: 3000, eligible: true },
      { id: 'b', capacity: 2000, eligible: true },
    ];
    const s = open({ maxPrograms: 40, maxTurns: 60, resumeOnRoom: seed % 2 === 0 }, workers);
    const open_ = new Map<string, number>();
    const running: string[] = [];
    let now = 0;
    let n = 0;
    const see = (effects: Effect[]): void => {
      for (const e of effects) {
        if (e.kind === 'release') {
          assert.ok(open_.has(e.turn), 'released a turn twice');
          assert.ok(now - open_.get(e.turn)! <= duration.ms(1500) + duration.ms(50), 'held too long');
          open_.delete(e.turn);
          running.push(e.turn);
        }
        if (e.kind === 'reject') {
          assert.ok(open_.delete(e.turn), 'rejected a turn twice');
        }
      }
      admissionScheduler.check(s);
    };
    for (let i = 0; i < 1500; i++) {
      now += r.int(duration.ms(50));
      const k = r.next();
      if (k < 0.4) {
        const turn = `t${n++}`;
        open_.set(turn, now);
        see(arrive(s, turn, `p${r.int(60)}`, 20 + r.int(400), now));
      } else if (k < 0.75 && running.length) {
        const t = running.splice(r.int(running.length), 1)[0]!;
        see(end(s, t, 50 + r.int(500), now, r.next() < 0.2));
      } else if (k < 0.8 && open_.size) {
        const t = [...open_.keys()][r.int(open_.size)]!;
        open_.delete(t);
        see(admissionScheduler.step(s, { kind: 'gone', turn: t }, now).effects);
      } else if (k < 0.85) see(tick(s, now));
      else if (k < 0.9)
        see(
          admissionScheduler.step(
            s,
            {
              kind: 'siblings',
              siblings: { tokens: new Map([['a', r.int(2500)]]), sharers: r.int(3), smallest: r.int(500) },
            },
            now,
          ).effects,
        );
      else if (k < 0.93)
        see(
          admissionScheduler.step(
            s,
            { kind: 'workers', list: workers.map((w) => ({ ...w, eligible: r.next() < 0.8 })) },
            now,
          ).effects,
        );
      see(admissionScheduler.step(s, { kind: 'due' }, now).effects);
    }
    assert.ok(s.counts.held > 0 && s.counts.forced + s.counts.resumed > 0, `seed ${seed} held nothing`);
  }
});

test.run();
