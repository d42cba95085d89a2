/**
 * Typed errors (§2.4). Each package that throws declares its error codes in a catalogue in its own `errors.ts`. Callers
 * test the code, never the message text.
 */
import VError from 'verror';

/** The catalogue entry of one error code. */
export type ErrorEntry = {
  /** Default message. */
  message: string;
  /** Whether the call can be retried: it may succeed later, and repeating it has no additional effect. */
  retryable: boolean;
};
/** The details of one error. */
export type ErrorDetails = {
  /** The operation that failed, such as `core.join` or `disk.write`. */
  step: string;
  /** The address or identity of the remote side, if there is one. */
  peer?: string;
  /** Replaces the default message of the catalogue. */
  message?: string;
  cause?: unknown;
};
/** Creates and classifies the errors of one package. */
export type ErrorCatalogue<Code extends string> = {
  create: (code: Code, details: ErrorDetails) => Error;
  /** Returns the code of an error of this catalogue; undefined for any other value. */
  codeOf: (error: unknown) => Code | undefined;
  /** Whether a value is an error of this catalogue with one of these codes. */
  is: (error: unknown, ...codes: Code[]) => boolean;
  /** Whether an error's code is retryable; false for errors of other catalogues. */
  isRetryable: (error: unknown) => boolean;
  /** The entries by code, in the order of declaration. */
  entries: Readonly<Record<Code, ErrorEntry>>;
};

/** The `info` of an error of a catalogue. */
type CatalogueInfo = { catalogue?: string; code?: string; step?: string; peer?: string };
const infoOf = (error: unknown): CatalogueInfo => (error instanceof Error ? VError.info(error) : {});

/** Declares the errors of one package. `name` is the package name, and becomes the `name` of its errors. */
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
          info: { catalogue: name, code, step, ...(peer === undefined ? {} : { peer }) },
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
