/**
 * Text with a checksum (§6.1): a first line with the checksum and the length, then the content. A file that a loss of
 * power left torn, or whose bytes changed since, does not read back.
 */
export type ChecksummedFormat = {
  /** The content as it is written to a file. */
  seal: (content: string) => string;
  /** The content of a file; undefined if the file is torn or damaged. */
  unseal: (fileText: string) => string | undefined;
};

/** The format by its checksum, a function from text to an unsigned integer. */
export const checksummedFormat = (checksum: (content: string) => number): ChecksummedFormat => {
  const headerOf = (content: string): string => `${checksum(content).toString(16)} ${content.length}`;
  return {
    seal: (content) => `${headerOf(content)}\n${content}`,
    unseal: (fileText) => {
      const end = fileText.indexOf('\n');
      if (end < 0) return undefined;
      const content = fileText.slice(end + 1);
      return fileText.slice(0, end) === headerOf(content) ? content : undefined;
    },
  };
};
