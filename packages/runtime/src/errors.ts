/**
 * Typed errors (§2.4). Each package that throws declares its codes once, in a catalogue in its own `errors.ts`; callers
 * decide by code, never by the text of a message.
 */
import VError from 'verror';

/** What a catalogue says of one code. */
export type ErrorEntry = {
  /** What happened, without the particulars of the case. */
  message: string;
  /** Whether the same call may succeed if it is made again later, with no other effect than one call would have. */
  retryable: boolean;
};
/** The particulars of one error. */
export type ErrorDetails = {
  /** The operation that failed, such as `core.join` or `disk.write`. */
  step: string;
  /** The address or identity of the other side, where there is one. */
  peer?: string;
  /** Replaces the catalogue's message. */
  message?: string;
  cause?: unknown;
};
/** The codes of one package, and how its errors are made and told apart. */
export type ErrorCatalogue<Code extends string> = {
  create: (code: Code, details: ErrorDetails) => Error;
  /** The code of an error of this catalogue; undefined for every other value. */
  codeOf: (error: unknown) => Code | undefined;
  is: (error: unknown, ...codes: Code[]) => boolean;
  /** False for errors that are not of this catalogue. */
  isRetryable: (error: unknown) => boolean;
  /** All codes with their entries, in the order of their declaration. */
  entries: Readonly<Record<Code, ErrorEntry>>;
};

type Info = { catalogue?: string; code?: string; step?: string; sibling?: string };
const infoOf = (error: unknown): Info => (error instanceof Error ? VError.info(error) : {});

/** Declares the errors of one package. `name` is the package's, and becomes the `name` of its errors. */
export const errorCatalogue = <Code extends string>(
  name: string,
  entries: Record<Code, ErrorEntry>,
): ErrorCatalogue<Code> => {
  const codeOf = (error: unknown): Code | undefined => {
    const { catalogue, code } = infoOf(error);
    return catalogue === name ? (code as Code) : undefined;
  };
  return {
    entries,
    codeOf,
    create: (code, { step, peer, message, cause }) =>
      new VError(
        {
          name,
          cause: cause instanceof Error ? cause : undefined,
          info: { catalogue: name, code, step, ...(peer === undefined ? {} : { sibling: peer }) },
        },
        '%s',
        `${step}${peer === undefined ? '' : ` at ${peer}`}: ${message ?? entries[code].message}`,
      ),
    is: (error, ...codes) => {
      const code = codeOf(error);
      return code !== undefined && codes.includes(code);
    },
    isRetryable: (error) => {
      const code = codeOf(error);
      return code !== undefined && entries[code].retryable;
    },
  };
};
