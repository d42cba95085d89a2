/**
 * The life of a daemon's process: it says when it starts, and why it ends, so that an end without such a line was
 * caused from outside (a signal that can't be handled, or the memory limit).
 */
import { fault, invariant, processUsage } from '@thornsail/runtime';

const bytesPerMegabyte = 1 << 20;

/** The process of a daemon. */
export type DaemonProcess = {
  /** Says that the process starts in a role. */
  announce: (role: string) => void;
  /** Ends the process with an exit status; the reason is written first. */
  end: (status: number, reason: string) => never;
  /** Ends the process after an orderly shutdown: with status 1 if an invariant was violated. */
  endInOrder: (reason: string) => never;
  /** Ends the process, with the error's stack, at an exception or a rejected promise that nothing handles. */
  endAtUnhandledErrors: () => void;
};

const describe = (error: unknown): string => (error instanceof Error ? (error.stack ?? error.message) : String(error));
const megabytes = (bytes: number): string => `${Math.round(bytes / bytesPerMegabyte)} MB`;

/** Opens the process of a daemon; `write` writes one line to its standard error. */
export const daemonProcess = {
  open: (write: (line: string) => void): DaemonProcess => {
    const end = (status: number, reason: string): never => {
      const usage = processUsage();
      const memory = `${megabytes(usage.process_resident_bytes)}, peak ${megabytes(usage.process_resident_peak_bytes)}`;
      write(`ends with status ${status} after ${process.uptime().toFixed(1)} s (memory ${memory}): ${reason}`);
      return process.exit(status);
    };
    return {
      announce: (role) => write(`${role} starts: process ${process.pid}, Node.js ${process.version}`),
      end,
      endInOrder: (reason) => {
        const breaches = invariant.breaches();
        return breaches.length ? end(1, `${reason}; violated: ${breaches.join('; ')}`) : end(0, reason);
      },
      endAtUnhandledErrors: () => {
        process.on('uncaughtException', (error) => end(1, `unhandled exception: ${describe(error)}`));
        process.on('unhandledRejection', (error) =>
          end(1, `unhandled promise rejection: ${fault.text(error)}: ${describe(error)}`),
        );
      },
    };
  },
};
