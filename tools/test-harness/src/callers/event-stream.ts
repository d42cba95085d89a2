// Reads a stream of events as a client does, and checks what it sees.
import type { HttpClientResponse } from '@thornsail/runtime';

/** What a stream brought; `done`: its end marker came. */
export type StreamResult = { done: boolean; content: string };
type StreamListener = { onFirst: () => void; onBreach: (text: string) => void };

const separator = '\n\n';
const takeEvent = (event: string, number: number, result: StreamResult, onBreach: (text: string) => void): void => {
  const id = Number(/^id: (\d+)$/m.exec(event)?.[1]);
  const data = /^data: (.*)$/m.exec(event)?.[1] ?? '';
  if (id !== number) onBreach(`event ${id} where ${number} was due`);
  if (result.done) onBreach('an event after its end');
  if (data === '[DONE]') {
    result.done = true;
    return;
  }
  const parsed = JSON.parse(data) as { choices?: { delta?: { content?: string } }[] };
  result.content += parsed.choices?.[0]?.delta?.content ?? '';
};

/** Reads the stream to its end; events have to be numbered from 1 without gaps, and nothing follows the end marker. */
export const readStream = async (
  response: HttpClientResponse,
  { onFirst, onBreach }: StreamListener,
): Promise<StreamResult> => {
  const result: StreamResult = { done: false, content: '' };
  let rest = '';
  let events = 0;
  for await (const chunk of response.body) {
    if (events === 0) onFirst();
    rest += chunk;
    for (let i = rest.indexOf(separator); i >= 0; i = rest.indexOf(separator)) {
      events += 1;
      takeEvent(rest.slice(0, i), events, result, onBreach);
      rest = rest.slice(i + separator.length);
    }
  }
  return result;
};
