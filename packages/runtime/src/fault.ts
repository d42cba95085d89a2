/**
 * Errors without a catalogue that carry the step and the peer at which they occurred (§2.4). Packages that declare
 * their errors use `errorCatalogue` instead.
 */
import VError from 'verror';

/** The details of an error. `sent` is false only if nothing was sent and nothing can be sent later. */
export type FaultInfo = { step: string; peer?: string; sent?: boolean; code?: string };

const textOf = (error: unknown): string => (error instanceof Error ? error.message : String(error));
const infoOf = (error: unknown): Partial<FaultInfo> => (error instanceof Error ? VError.info(error) : {});

/** Creates and inspects errors. `info`, `text` and `notSent` accept any thrown value. */
export const fault = {
  make: (info: FaultInfo, text: string, cause?: unknown): Error =>
    new VError(
      { name: 'Fault', cause: cause instanceof Error ? cause : undefined, info },
      '%s',
      `${info.step}${info.peer ? ` at ${info.peer}` : ''}: ${text}`,
    ),
  /** Returns the details of an error; empty for any other value. */
  info: infoOf,
  /** Returns the message text of an error, or the value as text. */
  text: textOf,
  /** True only if nothing was sent and nothing can be sent later, so that a retry is safe (§5.4). */
  notSent: (error: unknown): boolean => infoOf(error).sent === false,
};
