/**
 * The signals that a daemon handles. Importing this module takes them: a program imports it before everything else,
 * since a signal that arrives while the other modules load would end the process. A signal without a handler waits for
 * one.
 */

/** Terminate in order (SIGTERM, SIGINT), and reload the settings (SIGHUP). */
export type DaemonSignal = 'SIGHUP' | 'SIGTERM' | 'SIGINT';

/** SIGHUP is last: Node.js itself catches the others from its start, so a process that catches SIGHUP takes all. */
const daemonSignals: readonly DaemonSignal[] = ['SIGTERM', 'SIGINT', 'SIGHUP'];
const handlers = new Map<DaemonSignal, () => void>();
const waiting = new Set<DaemonSignal>();

const receive = (signal: NodeJS.Signals): void => {
  const handler = handlers.get(signal as DaemonSignal);
  if (handler) handler();
  else waiting.add(signal as DaemonSignal);
};
for (const signal of daemonSignals) process.on(signal, receive);

/** The signals of this process. */
export const signals = {
  /** Sets the handler of a signal in place of the earlier one; it is called at once if the signal has come already. */
  on: (signal: DaemonSignal, handler: () => void): void => {
    handlers.set(signal, handler);
    if (waiting.delete(signal)) handler();
  },
  /**
   * Resolves once the signals that have come so far were passed to their handlers: the event loop has to turn for that,
   * which it doesn't while modules load.
   */
  delivered: (): Promise<void> =>
    new Promise((resolve) => {
      setImmediate(resolve);
    }),
  /** Gives all signals back to their default action, which is taken at once for one that has come already. */
  release: (): void => {
    for (const signal of daemonSignals) process.off(signal, receive);
    for (const signal of waiting) process.kill(process.pid, signal);
  },
};
