import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Clock } from '@thornsail/runtime';
import { requestMetrics } from '../src/request-metrics.js';
import { requestTimeline, type TimelineSummary } from '../src/request-timeline.js';

/** A fake clock that starts at 0; `advance` moves it forward. */
const fakeClock = (): { clock: Clock; advance: (time: number) => void } => {
  let now = 0;
  const clock = { now: () => now, wallTime: () => now, schedule: () => () => undefined };
  return {
    clock,
    advance: (time) => {
      now += time;
    },
  };
};

test('the stages of a request add up to its total time, also if a stage is entered twice', () => {
  const { clock, advance } = fakeClock();
  const summaries: TimelineSummary[] = [];
  const observe = (summary: TimelineSummary): void => void summaries.push(summary);
  const timeline = requestTimeline.open({ clock, className: 'chat', program: 'p', arrivedAt: 0, observe });
  timeline.enter('context');
  advance(3000);
  timeline.enter('slot');
  advance(1000);
  timeline.enter('first_event');
  timeline.sentTo('w1', false);
  advance(5000);
  timeline.enter('slot');
  advance(2000);
  timeline.enter('first_event');
  timeline.sentTo('w2', true);
  advance(4000);
  timeline.setOutcome('served');
  timeline.close();
  timeline.close();
  assert.is(summaries.length, 1);
  const { byStage, total, workers, reachedContext, outcome } = summaries[0]!;
  assert.equal(
    [...byStage],
    [
      ['context', 3000],
      ['slot', 3000],
      ['first_event', 9000],
    ],
  );
  assert.is(total, 15_000);
  assert.equal(workers, ['w1', 'w2']);
  assert.is(reachedContext, true);
  assert.is(outcome, 'served');
});
test('metrics contain the time by class and stage, and the outcomes of requests and of exchanges', async () => {
  const { clock, advance } = fakeClock();
  const lines: string[] = [];
  const metrics = requestMetrics.open((text) => void lines.push(typeof text === 'string' ? text : text()));
  const { observe } = metrics;
  const timeline = requestTimeline.open({ clock, className: 'chat', program: 'p/1', arrivedAt: 0, observe });
  timeline.enter('charge');
  advance(12_340);
  timeline.setOutcome('busy');
  timeline.close();
  metrics.workerOutcome('w1', 'failed');
  const text = await metrics.text();
  assert.match(text, 'thornsail_request_stage_seconds_sum{class="chat",stage="charge"} 0.01234');
  assert.match(text, 'thornsail_request_outcomes_total{class="chat",outcome="busy"} 1');
  assert.match(text, 'thornsail_worker_outcomes_total{worker="w1",outcome="failed"} 1');
  metrics.workerOutcome('w2', 'answered');
  metrics.retainWorkers(new Set(['w2']));
  const later = await metrics.text();
  assert.not.match(later, 'worker="w1"', 'the metrics of a removed worker are removed');
  assert.match(later, 'thornsail_worker_outcomes_total{worker="w2",outcome="answered"} 1');
  assert.equal(lines, [
    'class=chat program=p/1 outcome=busy total=12.3 charge=12.3 workers=- at_context=- prompt=0 output=0',
  ]);
});
test.run();
