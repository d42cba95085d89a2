/**
 * Relays a worker's stream to its caller (§5.6): numbers the events, counts tokens, and either ends the stream with its
 * end marker or breaks the connection.
 */
import { workerProtocol, type StreamEvent } from '@thornsail/load-balancer';
import { fault, type HttpClientResponse, type Microseconds } from '@thornsail/runtime';
import type { ChatTurn } from './chat-turn.js';
import { internalErrors } from './errors.js';
import { budgetAccountOf } from './records/budget-accounts.js';
import { idempotencyKeyOf } from './records/idempotency-keys.js';
import { waitUntilRead } from './requests/attempt.js';
import { settleCharge } from './requests/charge.js';
import { closeTimeout } from './requests/deadline.js';
import { completion } from './responses.js';

/** `complete`: settled, stored and ended; `empty`: lost before anything was relayed; `cut`: lost after that. */
export type RelayOutcome = 'complete' | 'empty' | 'cut';

/** Events that a stream may have for each token of its largest output, since an event may hold part of a token. */
const eventsPerToken = 8;
/** Events without output, beyond these. */
const spareEvents = 1024;

type ToolCall = { id?: string; type: string; function: { name: string; arguments: string } };
type ToolCallDelta = { index?: number; id?: string; function?: { name?: string; arguments?: string } };
/** Progress of a stream. Output tokens are the worker's own count, or the number of events until it reports one. */
type Progress = {
  /** Events that were written to the client. */
  written: number;
  headSent: boolean;
  /** Events that the worker sent. */
  events: number;
  /** Events with output. */
  outputEvents: number;
  promptTokens: number;
  /** Null until the worker reports it. */
  outputTokens: number | null;
  content: string;
  finishReason: string | null;
  toolCalls: Map<number, ToolCall>;
};

const outputTokens = (progress: Progress): number => progress.outputTokens ?? progress.outputEvents;

/** Tool calls arrive in parts: concatenates their names and arguments by index. */
const mergeToolCalls = (into: Map<number, ToolCall>, data: string): void => {
  const event = JSON.parse(data) as { choices?: { delta?: { tool_calls?: ToolCallDelta[] } }[] };
  for (const delta of event.choices?.[0]?.delta?.tool_calls ?? []) {
    const index = delta.index ?? 0;
    const call = into.get(index) ?? { type: 'function', function: { name: '', arguments: '' } };
    if (delta.id !== undefined) call.id = delta.id;
    call.function.name += delta.function?.name ?? '';
    call.function.arguments += delta.function?.arguments ?? '';
    into.set(index, call);
  }
};

/** Writes one event. Waits for a slow client, so that backpressure reaches the worker and nothing is buffered here. */
const writeEvent = async (turn: ChatTurn, progress: Progress, workerId: string, data: string): Promise<void> => {
  const { gateway, plan, response } = turn;
  if (!plan.stream || response.isClosed()) return;
  if (!progress.headSent) {
    progress.headSent = true;
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-cache',
      'x-thornsail-worker': workerId,
    });
  }
  progress.written += 1;
  if (response.write(`id: ${progress.written}\ndata: ${data.replaceAll('\n', '\ndata: ')}\n\n`)) return;
  // A client that has stopped reading is disconnected; the turn continues at the worker and is settled (§5.6).
  await waitUntilRead(gateway, response);
};

/** Settles and stores a turn before its end is sent. Rejects if the conversation could not be appended to. */
const closeRecords = async (turn: ChatTurn, progress: Progress, workerId: string): Promise<void> => {
  const { gateway, plan, context } = turn;
  const { content, finishReason, promptTokens: prompt, toolCalls } = progress;
  const output = outputTokens(progress);
  const promptCharged = progress.outputTokens === null ? Math.max(context.reserve - plan.maxTokens, prompt) : prompt;
  const usage = { actual: promptCharged + output, tokens: prompt + output, worker: workerId };
  // Runs concurrently with the append: the client receives nothing meanwhile.
  const settled = settleCharge(gateway, budgetAccountOf(plan), turn.chargeId, usage);
  const reply = { role: 'assistant', content, ...(toolCalls.size ? { tool_calls: [...toolCalls.values()] } : {}) };
  if (plan.conversation !== null)
    await gateway.conversations.append(plan, turn.id, context.base, [...plan.messages, reply], closeTimeout);
  if (turn.claimed)
    await gateway.keys.recordResult(idempotencyKeyOf(plan), turn.id, {
      status: 200,
      type: 'chat',
      body: content,
      finish: finishReason,
      prompt,
      completion: output,
    });
  await settled;
  const final = finishReason !== null && finishReason !== 'tool_calls';
  gateway.admission.endTurn(turn.chargeId, { tokens: prompt + output, final, worker: workerId });
};

const endResponse = (turn: ChatTurn, progress: Progress, workerId: string): void => {
  const { gateway, plan, response } = turn;
  if (plan.stream) {
    progress.written += 1;
    response.end(`id: ${progress.written}\ndata: [DONE]\n\n`);
    return;
  }
  const { content, finishReason, promptTokens, toolCalls } = progress;
  const calls = [...toolCalls.values()];
  const body = completion.complete(content, finishReason, calls, promptTokens, outputTokens(progress));
  gateway.responses.json(response, 200, body, { 'x-thornsail-worker': workerId });
};

/** The worker has sent its end marker. */
const complete = async (
  turn: ChatTurn,
  progress: Progress,
  workerId: string,
  stream: HttpClientResponse,
): Promise<RelayOutcome> => {
  const { gateway, plan, phases, response } = turn;
  if (phases.current() === 'sent') phases.transition('relay');
  turn.timeline.enter('record');
  turn.timeline.setTokens({ prompt: progress.promptTokens, output: outputTokens(progress) });
  try {
    await closeRecords(turn, progress, workerId);
  } catch (error) {
    gateway.log(`a turn was not appended to its conversation, so its stream is cut: ${fault.text(error)}.`);
    return 'cut';
  }
  phases.transition('end');
  turn.timeline.setOutcome('served');
  gateway.count('results');
  stream.abort();
  if (response.isClosed()) return 'complete';
  if (plan.stream && !progress.headSent) await writeEvent(turn, progress, workerId, '{}');
  endResponse(turn, progress, workerId);
  return 'complete';
};

/** Updates the progress with one event. */
const updateProgress = (turn: ChatTurn, progress: Progress, event: StreamEvent & { type: 'delta' | 'usage' }): void => {
  progress.events += 1;
  progress.content += event.text;
  if (event.finish !== null) progress.finishReason = event.finish;
  if (event.type === 'usage') {
    progress.promptTokens = event.prompt;
    progress.outputTokens = event.completion;
  } else if (event.text !== '' || event.toolCall) progress.outputEvents += 1;
  if (event.toolCall) mergeToolCalls(progress.toolCalls, event.data);
  turn.gateway.admission.contextGrew(turn.plan.program, progress.promptTokens + outputTokens(progress));
};

/** Whether the worker has sent more than the turn's largest output. */
const isExcessive = ({ plan }: ChatTurn, { events }: Progress): boolean =>
  events > eventsPerToken * plan.maxTokens + spareEvents;

/** Relays the response to a request sent at `sentAt` (clock time) until it ends or is lost. Never rejects. */
export const relay = async (
  turn: ChatTurn,
  workerId: string,
  stream: HttpClientResponse,
  sentAt: Microseconds,
): Promise<RelayOutcome> => {
  const { gateway, plan, phases } = turn;
  const parse = workerProtocol.chat.reader();
  const progress: Progress = {
    written: 0,
    headSent: false,
    events: 0,
    outputEvents: 0,
    promptTokens: turn.context.promptEstimate,
    outputTokens: null,
    content: '',
    finishReason: null,
    toolCalls: new Map(),
  };
  try {
    for await (const text of stream.body) {
      for (const event of parse(text)) {
        if (event.type === 'error')
          throw internalErrors.create('worker-fault', { step: 'relay', peer: workerId, message: event.text });
        if (event.type === 'done') {
          gateway.exchangeEnded(workerId, 'answered');
          return await complete(turn, progress, workerId, stream);
        }
        if (phases.current() === 'sent') {
          phases.transition('relay');
          turn.timeline.enter('stream');
          gateway.admission.observeFirstToken(plan.className, gateway.runtime.clock.now() - sentAt, turn.forced);
        }
        updateProgress(turn, progress, event);
        if (isExcessive(turn, progress))
          throw internalErrors.create('worker-excess', { step: 'relay', peer: workerId });
        await writeEvent(turn, progress, workerId, event.data);
      }
    }
    throw internalErrors.create('stream-incomplete', { step: 'relay', peer: workerId });
  } catch (error) {
    gateway.log(`the stream of a turn was lost: ${fault.text(error)}.`);
    gateway.exchangeEnded(workerId, phases.current() === 'sent' ? 'lost' : 'cut');
    stream.abort();
    const { headSent, written, outputEvents } = progress;
    const nothingRelayed = !headSent && !plan.stream && written === 0 && outputEvents === 0;
    return phases.current() === 'sent' || nothingRelayed ? 'empty' : 'cut';
  }
};
