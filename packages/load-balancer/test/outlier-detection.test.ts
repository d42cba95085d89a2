import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration, type Microseconds } from '@thornsail/runtime';
import { outlierDetection, type OutlierDetector } from '../src/outlier-detection.js';

const workers = ['a', 'b', 'c', 'd', 'e', 'f'];
type Fixture = { detector: OutlierDetector; advance: (span: Microseconds) => void };
const openDetector = (ids: string[] = workers): Fixture => {
  let now = 0;
  const detector = outlierDetection.open(() => now);
  detector.setServices(new Map([['model', ids]]));
  return {
    detector,
    advance: (span) => {
      now += span;
    },
  };
};
const fail = (detector: OutlierDetector, worker: string, times: number): void => {
  for (let i = 0; i < times; i++) detector.record(worker, false);
};

test('a worker that fails a third of its requests is ejected, workers that fail one in a hundred are not', () => {
  const { detector } = openDetector();
  for (let i = 0; i < 100; i++) for (const worker of workers) detector.record(worker, i !== 50);
  assert.equal(workers.filter(detector.isEjected), []);
  for (let i = 0; i < 90; i++) detector.record('b', i % 3 !== 0);
  assert.equal(workers.filter(detector.isEjected), ['b']);
});
test('failures too rare for a single gateway to act on eject a worker once the gateways exchange reports', () => {
  const gateways = Array.from({ length: 5 }, () => openDetector().detector);
  for (const gateway of gateways) {
    gateway.record('b', true);
    gateway.record('b', false);
    assert.not.ok(gateway.isEjected('b'));
  }
  const reports = gateways.map((gateway) => gateway.report());
  for (const [i, gateway] of gateways.entries()) {
    gateway.setPeerReports(reports.filter((_, j) => j !== i));
    assert.ok(gateway.isEjected('b'));
  }
});
test('a gateway reports only workers that have failed a request of any gateway', () => {
  const { detector } = openDetector();
  detector.record('a', true);
  detector.record('b', true);
  assert.equal(detector.report(), {});
  detector.setPeerReports([{ b: [0, 1] }]);
  assert.equal(detector.report(), { b: [1, 0] });
});
test('no worker is ejected if all fail alike, and at most a third of a service is ejected at once', () => {
  const alike = openDetector().detector;
  for (let i = 0; i < 20; i++) for (const worker of workers) alike.record(worker, i % 2 === 0);
  assert.equal(workers.filter(alike.isEjected), []);
  const partlyFailing = openDetector().detector;
  for (const worker of ['a', 'b', 'c']) fail(partlyFailing, worker, 10);
  assert.is(workers.filter(partlyFailing.isEjected).length, 2);
  const singleWorker = openDetector(['a']).detector;
  fail(singleWorker, 'a', 10);
  assert.not.ok(singleWorker.isEjected('a'));
});
test('an ejection expires, a slow start follows, and the next ejection lasts twice as long', () => {
  const { detector, advance } = openDetector();
  fail(detector, 'a', 3);
  advance(duration.s(0.9));
  assert.ok(detector.isEjected('a'));
  advance(duration.s(0.2));
  assert.not.ok(detector.isEjected('a'));
  assert.ok(detector.usableShare('a') < 0.1);
  advance(duration.s(1));
  assert.ok(detector.usableShare('a') > 0.4 && detector.usableShare('a') < 0.6);
  advance(duration.s(1));
  assert.is(detector.usableShare('a'), 1);
  fail(detector, 'a', 3);
  advance(duration.s(1.9));
  assert.ok(detector.isEjected('a'));
  advance(duration.s(0.2));
  assert.not.ok(detector.isEjected('a'));
});
test('one failure during the slow start ejects a worker again, one failure afterwards does not', () => {
  const { detector, advance } = openDetector();
  fail(detector, 'a', 9);
  advance(duration.s(1.1));
  detector.record('a', false);
  assert.ok(detector.isEjected('a'));
  advance(duration.s(2.1 + 2));
  detector.record('a', false);
  assert.not.ok(detector.isEjected('a'));
});
test('only failures that peers report during the slow start eject a worker again, not those reported before', () => {
  const { detector, advance } = openDetector();
  detector.setPeerReports([{ a: [0, 4] }]);
  assert.ok(detector.isEjected('a'));
  advance(duration.s(1.1));
  detector.setPeerReports([{ a: [0, 4] }]);
  assert.not.ok(detector.isEjected('a'));
  detector.setPeerReports([{ a: [0, 5] }]);
  assert.ok(detector.isEjected('a'));
});
test('the state of removed workers is discarded', () => {
  const { detector } = openDetector();
  fail(detector, 'a', 3);
  detector.setServices(new Map([['model', ['b', 'c']]]));
  assert.not.ok(detector.isEjected('a'));
});
test.run();
