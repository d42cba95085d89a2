// Relaying a worker's stream to its caller (§5.6): counted, numbered, ended or visibly cut.
import { formats } from '@thornsail/load-balancer';
import {
  fault,
  time,
  duration,
  type HttpClientResponse,
  type HttpResponseWriter,
  type Microseconds,
} from '@thornsail/runtime';
import { accountOf, keyOf, type Chat } from './turn-records.js';
import type { Edge } from './edge.js';
import { completion as completionOf } from './say.js';
import type { Stages } from './stage.js';

/** How long each of the records may take to close before the stream's end marker. */
const closeLimit = duration.ms(900);
/** A reader that has read nothing for so long is let go of. */
const slowReader = duration.s(5);

const mergeTools = (
  into: Map<number, { id?: string; type: string; function: { name: string; arguments: string } }>,
  data: string,
): void => {
  const j = JSON.parse(data) as {
    choices?: {
      delta?: { tool_calls?: { index?: number; id?: string; function?: { name?: string; arguments?: string } }[] };
    }[];
  };
  for (const t of j.choices?.[0]?.delta?.tool_calls ?? []) {
    const cur = into.get(t.index ?? 0) ?? { type: 'function', function: { name: '', arguments: '' } };
    if (t.id !== undefined) cur.id = t.id;
    cur.function.name += t.function?.name ?? '';
    cur.function.arguments += t.function?.arguments ?? '';
    into.set(t.index ?? 0, cur);
  }
};

/** Relays a worker's stream. 'done': settled, kept, ended; 'empty': nothing was relayed; 'cut': broken off within. */
export const relay = async (
  e: Edge,
  p: Chat,
  say: HttpResponseWriter,
  st: Stages,
  res: HttpClientResponse,
  turn: string,
  x: {
    sentAt: Microseconds;
    /** How long the kept conversation was that the worker was given. */
    base: number;
    guess: number;
    reserve: number;
    worker: string;
    claimed: boolean;
    first: string;
    forced: boolean;
  },
): Promise<'done' | 'empty' | 'cut'> => {
  const { adm, turnRecords } = e;
  const { clock } = e.runtime;
  const log = e.runtime.log('data-plane');
  const split = formats.chat.reader();
  let n = 0;
  let count = 0;
  let prompt = x.guess;
  let completion: number | null = null;
  let content = '';
  let finish: string | null = null;
  const tools = new Map<number, { id?: string; type: string; function: { name: string; arguments: string } }>();
  let headSaid = false;
  const tell = async (data: string): Promise<void> => {
    if (!p.stream || say.gone()) return;
    if (!headSaid) {
      headSaid = true;
      say.head(200, {
        'content-type': 'text/event-stream',
        'cache-control': 'no-cache',
        'x-thornsail-worker': x.worker,
      });
    }
    n += 1;
    // A slow reader holds the worker's stream back; nothing piles up here.
    if (say.write(`id: ${n}\ndata: ${data.replaceAll('\n', '\ndata: ')}\n\n`)) return;
    // One that has stopped reading is let go of; the turn at the worker runs on and is settled (§5.6).
    const stuck = await Promise.race([say.drained().then(() => false), time.sleep(clock, slowReader).then(() => true)]);
    if (stuck && !say.gone()) {
      e.bump('slow_cut');
      say.cut();
    }
  };
  const finishOff = async (): Promise<void> => {
    const actual = completion === null ? Math.max(x.reserve - p.maxTokens, prompt) + count : prompt + completion;
    const tokens = prompt + (completion ?? count);
    // Beside one another: the client hears nothing meanwhile.
    const settled = turnRecords
      .settle(accountOf(p), turn, { actual, tokens, worker: x.worker }, closeLimit)
      .catch((err) => log(`a turn was not settled and stays charged: ${fault.text(err)}.`));
    const reply = { role: 'assistant', content, ...(tools.size ? { tool_calls: [...tools.values()] } : {}) };
    if (p.conversation !== null) await turnRecords.append(p, x.first, x.base, [...p.messages, reply], closeLimit);
    if (x.claimed)
      await turnRecords.record(keyOf(p), x.first, {
        status: 200,
        type: 'chat',
        body: content,
        finish,
        prompt,
        completion: completion ?? count,
      });
    await settled;
    adm.endTurn(turn, { tokens, final: finish !== null && finish !== 'tool_calls', worker: x.worker });
  };
  try {
    for await (const text of res.body) {
      for (const piece of split(text)) {
        if (piece.type === 'error') throw fault.make({ step: 'relay', sibling: x.worker }, piece.text);
        if (piece.type === 'done') {
          if (st.now() === 'sent') st.go('relay');
          try {
            await finishOff();
          } catch (e) {
            log(`a conversation was not kept, so its stream is cut: ${fault.text(e)}.`);
            return 'cut';
          }
          st.go('end');
          e.bump('results');
          res.cut();
          if (say.gone()) return 'done';
          if (p.stream) {
            if (!headSaid) await tell('{}');
            n += 1;
            say.end(`id: ${n}\ndata: [DONE]\n\n`);
          } else
            e.say.json(
              say,
              200,
              completionOf.whole(content, finish, [...tools.values()], prompt, completion ?? count),
              { 'x-thornsail-worker': x.worker },
            );
          return 'done';
        }
        if (st.now() === 'sent') {
          st.go('relay');
          adm.observeFirstToken(p.cls, clock.now() - x.sentAt, x.forced);
        }
        content += piece.text;
        if (piece.finish !== null) finish = piece.finish;
        if (piece.type === 'usage') {
          prompt = piece.prompt;
          completion = piece.completion;
        } else if (piece.text !== '' || piece.toolCall) count += 1;
        if (piece.toolCall) mergeTools(tools, piece.data);
        adm.contextGrew(p.program, prompt + (completion ?? count));
        await tell(piece.data);
      }
    }
    throw fault.make({ step: 'relay', sibling: x.worker }, 'the stream ended without its end marker');
  } catch (err) {
    log(`a turn was lost: ${fault.text(err)}.`);
    res.cut();
    return st.now() === 'sent' || (!headSaid && p.stream === false && n === 0 && count === 0) ? 'empty' : 'cut';
  }
};
