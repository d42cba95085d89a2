/**
 * Errors with the step and the peer at which they arose (§2.4), without a catalogue. Packages that declare their errors
 * use `errorCatalogue` instead.
 */
import VError from 'verror';

/** The particulars of an error. `sent` is false only if nothing was sent and nothing can be. */
export type FaultInfo = { step: string; sibling?: string; sent?: boolean; code?: string };

const textOf = (error: unknown): string => (error instanceof Error ? error.message : String(error));
const infoOf = (error: unknown): Partial<FaultInfo> => (error instanceof Error ? VError.info(error) : {});

/** Makes and reads errors; each reader takes any value that was thrown. */
export const fault = {
  make: (info: FaultInfo, text: string, cause?: unknown): Error =>
    new VError(
      { name: 'Fault', cause: cause instanceof Error ? cause : undefined, info },
      '%s',
      `${info.step}${info.sibling ? ` at ${info.sibling}` : ''}: ${text}`,
    ),
  info: infoOf,
  text: textOf,
  /** True only if nothing was sent and nothing can be (§5.4). */
  notSent: (error: unknown): boolean => infoOf(error).sent === false,
};
