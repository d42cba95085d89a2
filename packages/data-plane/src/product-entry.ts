/** Entry point of the product API (§5.1): checks whether the gateway may serve, plans the request and dispatches it. */
import { duration, type HttpHandler, type HttpRequest, type HttpResponseWriter } from '@thornsail/runtime';
import { chat } from './chat.js';
import type { ClusterView } from './cluster-view.js';
import { errors } from './errors.js';
import type { Gateway } from './gateway.js';
import { job } from './job.js';
import type { Lifecycle } from './lifecycle.js';
import type { Execution } from './phases.js';
import { plan as plans, type Plan } from './plan.js';

const recallTimeout = duration.ms(1500);

/** Answers with a stored conversation. */
const serveConversation = async (
  { conversations, responses }: Gateway,
  id: string,
  response: HttpResponseWriter,
): Promise<void> => {
  try {
    const stored = await conversations.read(id, recallTimeout);
    if (stored) return responses.json(response, 200, { conversation: id, messages: stored.messages });
    const error = 'no_such_conversation';
    const body = { error, message: 'nothing is kept under this name', ran: 'no' };
    responses.json(response, errors.status('chat', error), body);
  } catch {
    responses.reject(response, 'no_keepers', 'no majority of stores was reached', 'no', responses.backoff());
  }
};

const rejectPlan = (
  { count, responses }: Gateway,
  plan: Plan & { kind: 'reject' },
  response: HttpResponseWriter,
  ran: Execution,
): void => {
  count('bad_requests');
  const body = { error: plan.error, field: plan.field, message: plan.text, ran };
  responses.json(response, plan.status, body, { 'x-thornsail-ran': ran });
};

const open = (gateway: Gateway, view: ClusterView, lifecycle: Lifecycle): HttpHandler => {
  const { membership, responses, inFlight } = gateway;
  const { inContact } = view;
  return async (request: HttpRequest, response: HttpResponseWriter): Promise<void> => {
    gateway.count('requests');
    // A duplicate of a request with a key may have run elsewhere: "no" is not certain before its claim is read (§5.4).
    const ran = request.headers['idempotency-key'] === undefined ? 'no' : 'unknown';
    const config = view.config();
    if (!config) return responses.reject(response, 'not_ready', 'no configuration yet', ran, 1);
    if (lifecycle.phase() === 'draining' && request.method === 'POST')
      return responses.reject(response, 'leaving', 'this node is leaving', ran, 1);
    if (!inContact() && (ran === 'unknown' || !(await membership.refresh()) || !inContact()))
      return responses.reject(response, 'stale', 'this node is cut off from most others', ran, 1);
    if (inFlight.size >= view.config()!.scheduler.maxTurns) {
      const text = 'this node holds as many turns as it may';
      return responses.reject(response, 'full', text, ran, responses.backoff());
    }
    const plan = plans.make(request, view.config()!);
    switch (plan.kind) {
      case 'reject':
        return rejectPlan(gateway, plan, response, ran);
      case 'recall':
        return serveConversation(gateway, plan.conversation, response);
      case 'job':
        return job(gateway, plan, response);
      case 'chat':
        return chat(gateway, plan, response);
    }
  };
};

/** Opens the entry point of the product API. */
export const productEntry = { open };
