import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { parseLine, summarize, tableOf } from '../src/explain.js';

const lines = [
  '1.2 10.0.0.1 requests: class=chat outcome=served total=30 context=5 slot=5.5 first_event=19.5 at_context=true',
  'thornsail:requests class=chat program=p outcome=busy total=10 slot=10 workers=- at_context=false',
  'thornsail:data-plane configuration 1 is in use.',
  'thornsail:requests class=call program=- outcome=served total=4 slot=1 first_event=3 workers=w2 at_context=-',
];
test('request lines are summarized by class and stage, other lines are ignored', () => {
  const requests = lines.map(parseLine).filter((request) => request !== undefined);
  assert.is(requests.length, 3);
  const [call, chat] = summarize(requests);
  assert.is(call!.className, 'call');
  assert.is(chat!.requests, 2);
  assert.equal(
    [...chat!.outcomes],
    [
      ['served', 1],
      ['busy', 1],
    ],
  );
  assert.equal([chat!.continued, chat!.atContext], [2, 1]);
  assert.equal(chat!.times.get('slot'), [5.5, 10]);
  assert.equal(chat!.times.get('total'), [10, 30]);
  assert.match(tableOf(chat!), /^chat: 2 \(served 1, busy 1\); 1 of 2 at the worker with their context\n/);
  assert.match(tableOf(chat!), / {2}slot {15}2 {6}7\.8 {5}10\.0 {5}10\.0 {5}10\.0/);
});
test.run();
