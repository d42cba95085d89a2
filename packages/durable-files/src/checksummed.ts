/**
 * File text with a checksum (§6.1): a header line with the checksum in hexadecimal and the length in UTF-16 code units,
 * then the content.
 */

/** Adds and verifies the checksum of a file, so that torn writes and corrupted bytes are detected. */
export type ChecksummedFormat = {
  /** Returns the file text: the header line and the content. */
  seal: (content: string) => string;
  /** Returns the content of a file; undefined if the file is torn or corrupted. */
  unseal: (fileText: string) => string | undefined;
};

/** Creates a format that uses `checksum`, a function from text to an unsigned integer. */
export const checksummedFormat = (checksum: (content: string) => number): ChecksummedFormat => {
  const headerOf = (content: string): string => `${checksum(content).toString(16)} ${content.length}`;
  return {
    seal: (content) => `${headerOf(content)}\n${content}`,
    unseal: (fileText) => {
      const headerEnd = fileText.indexOf('\n');
      if (headerEnd < 0) return undefined;
      const content = fileText.slice(headerEnd + 1);
      return fileText.slice(0, headerEnd) === headerOf(content) ? content : undefined;
    },
  };
};
