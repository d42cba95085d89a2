import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration, seeded } from '@thornsail/runtime';
import { admissionScheduler, type SchedulerEffect } from '@thornsail/admission-scheduler';
import { arrive, end, openScheduler, step, tick } from './builders.js';

const runRandomLoad = (seed: number): void => {
  const random = seeded(seed);
  const workers = [
    { id: 'a', capacity: 3000, eligible: true },
    { id: 'b', capacity: 2000, eligible: true },
  ];
  const state = openScheduler({ maxPrograms: 40, maxTurns: 60, resumeOnRoom: seed % 2 === 0 }, workers);
  const unanswered = new Map<string, number>();
  const running: string[] = [];
  let now = 0;
  let turns = 0;
  const checkEffects = (effects: SchedulerEffect[]): void => {
    for (const effect of effects) {
      if (effect.type === 'turn-released') {
        assert.ok(unanswered.has(effect.turn), 'turn released twice or after its rejection');
        assert.ok(
          now - unanswered.get(effect.turn)! <= duration.ms(1500) + duration.ms(50),
          'turn held beyond its limit',
        );
        unanswered.delete(effect.turn);
        running.push(effect.turn);
      }
      if (effect.type === 'turn-rejected')
        assert.ok(unanswered.delete(effect.turn), 'turn rejected twice or after its release');
    }
    admissionScheduler.checkInvariants(state);
  };
  const arriveAny = (): void => {
    const turn = `t${turns++}`;
    unanswered.set(turn, now);
    checkEffects(arrive(state, turn, `p${random.int(60)}`, 20 + random.int(400), now));
  };
  const endAny = (): void => {
    const turn = running.splice(random.int(running.length), 1)[0]!;
    checkEffects(end(state, turn, 50 + random.int(500), now, random.next() < 0.2));
  };
  const abandonAny = (): void => {
    const turn = [...unanswered.keys()][random.int(unanswered.size)]!;
    unanswered.delete(turn);
    checkEffects(step(state, { type: 'turn-abandoned', turn }, now));
  };
  const changePeers = (): void => {
    const tokensByWorker = new Map([['a', random.int(2500)]]);
    const peers = { tokensByWorker, gatewaysWithPaused: random.int(3), smallestPausedTokens: random.int(500) };
    checkEffects(step(state, { type: 'peers-changed', peers }, now));
  };
  const changeWorkers = (): void => {
    const changed = workers.map((worker) => ({ ...worker, eligible: random.next() < 0.8 }));
    checkEffects(step(state, { type: 'workers-changed', workers: changed }, now));
  };
  for (let i = 0; i < 1500; i++) {
    now += random.int(duration.ms(50));
    const draw = random.next();
    if (draw < 0.4) arriveAny();
    else if (draw < 0.75 && running.length) endAny();
    else if (draw < 0.8 && unanswered.size) abandonAny();
    else if (draw < 0.85) checkEffects(tick(state, now));
    else if (draw < 0.9) changePeers();
    else if (draw < 0.93) changeWorkers();
    checkEffects(step(state, { type: 'forced-release-due' }, now));
  }
  const { held, forced, resumed } = state.counts;
  assert.ok(held > 0 && forced + resumed > 0, `seed ${seed}: no turn was held and then released`);
};

test('under random load every arrival is answered once, within the hold limit, and the invariants hold', () => {
  for (let seed = 1; seed <= 40; seed++) runRandomLoad(seed);
});

test.run();
