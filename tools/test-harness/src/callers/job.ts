// Callers that submit a job: attempts until it has run, its time is up, or its outcome is unknown.
import {
  duration,
  fault,
  readText,
  time,
  type Address,
  type HttpClientResponse,
  type Microseconds,
} from '@thornsail/runtime';
import { patience, type Account, type Rejection } from './account.js';

/** A job; `once`: it may run once at most, under its key. */
export type Job = { urgent: boolean; once: boolean; key: string };

const attempts = 6;
/** With less time left a caller does not try again. */
const leastTimeLeft: Microseconds = duration.ms(50);
const usualRetry: Microseconds = duration.ms(200);
const retryAfterFailure: Microseconds = duration.ms(50);

type Attempt = Job & { at: Address; left: Microseconds };
const send = ({ options }: Account, { at, urgent, once, key, left }: Attempt): Promise<HttpClientResponse> =>
  options.runtime.net.request({
    at,
    method: 'POST',
    path: '/v1/jobs',
    headersTimeout: Math.min(left, patience),
    headers: {
      'content-type': 'application/json',
      'x-thornsail-class': urgent ? options.classes.urgent : options.classes.ping,
      'x-thornsail-time-left-ms': String(Math.max(1, duration.toMs(left))),
      ...(once ? { 'x-thornsail-once': 'true', 'idempotency-key': key } : {}),
    },
    body: JSON.stringify({ key }),
  });

/** What came of an attempt: done, or the time to wait before the next. */
const attemptJob = async (account: Account, attempt: Attempt): Promise<Microseconds | 'done'> => {
  const { summary } = account;
  const { clock } = account.options.runtime;
  const { at, once, key } = attempt;
  const storyKey = once ? key : null;
  const begun = clock.now();
  if (once) account.storyOf(key).sent.push(begun);
  try {
    const response = await send(account, attempt);
    const text = await readText(response.body);
    const waited = account.gotFirst({ at, begun, what: `job ${response.status}`, program: key });
    if (response.status === 200) {
      account.answered(storyKey, 'yes');
      summary.results += 1;
      summary.lastOk = clock.now();
      if ((JSON.parse(text) as { said?: { key?: string } }).said?.key !== key)
        summary.breaches.push(`job ${key}: another request's result`);
      return 'done';
    }
    const body = JSON.parse(text) as Rejection;
    const retry = account.rejected(response, body, waited);
    account.answered(storyKey, body.ran ?? 'unknown');
    return body.error === 'outcome_unknown' && once ? 'done' : (retry ?? usualRetry);
  } catch (error) {
    account.unanswered(storyKey, !fault.notSent(error));
    summary.failed += 1;
    return retryAfterFailure;
  }
};

/** Submits a job. */
export const submitJob = async (account: Account, job: Job): Promise<void> => {
  const { options, summary } = account;
  const { clock } = options.runtime;
  summary.jobs += 1;
  const begun = clock.now();
  for (let i = 0; i < attempts; i++) {
    const left = duration.ms(options.pushTimeLeft) - (clock.now() - begun);
    if (left <= leastTimeLeft) break;
    const resultsBefore = summary.results;
    const wait = await attemptJob(account, { ...job, at: account.gateway(), left });
    if (wait === 'done') {
      if (job.urgent && summary.results > resultsBefore) summary.urgentWaits.push(clock.now() - begun);
      return;
    }
    await time.sleep(clock, wait);
  }
  summary.gaveUp += 1;
};
