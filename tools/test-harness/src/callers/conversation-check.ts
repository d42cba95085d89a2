// What a stored conversation has to look like, given what its caller sent and received.

/** One message of a conversation. */
export type Message = { role: string; content: string };

/** A stored conversation holds each message once and in order, and every reply that was received. */
export const keptProblems = (
  sent: Message[],
  replies: Map<string, string>,
  got: Message[],
  strict: boolean,
): string[] => {
  const problems: string[] = [];
  const users = got.filter(({ role }) => role === 'user').map(({ content }) => content);
  const order = sent.map(({ content }) => content).filter((content) => users.includes(content));
  const once = users.filter((content, i) => users.indexOf(content) === i);
  if (order.join('|') !== once.join('|')) problems.push('its messages are out of order');
  if (strict && once.length !== users.length) problems.push('a message stands in it twice');
  got.forEach(({ role }, i) => {
    if (role !== (i % 2 === 0 ? 'user' : 'assistant')) problems.push('message and reply do not alternate');
  });
  for (const [user, reply] of replies)
    if (!got.some(({ content }, i) => content === user && got[i + 1]?.content === reply))
      problems.push('a kept result is missing');
  return problems;
};
