/** File names of documents: `<escaped name>.<version, 12 digits>`. */

const documentFilePattern = /^(.+)\.(\d{12})$/;
/** Prefixes of the names of record files (record-format.ts), which are not documents. */
const recordFilePrefix = /^(b|base)$/;

const escape = (name: string): string =>
  // A document whose name equals a record file prefix gets its first letter escaped.
  recordFilePrefix.test(name)
    ? `%${name.charCodeAt(0).toString(16)}${name.slice(1)}`
    : encodeURIComponent(name).replace(/\*/g, '%2A').replace(/\./g, '%2E');

/** Returns the file name of one version of a document. */
export const documentFileName = (name: string, version: number): string =>
  `${escape(name)}.${String(version).padStart(12, '0')}`;

/** Parses a file name into a document name and version; undefined for record files and unrelated files. */
export const parseDocumentFileName = (file: string): { name: string; version: number } | undefined => {
  const [, name, version] = documentFilePattern.exec(file) ?? [];
  if (name === undefined || recordFilePrefix.test(name)) return undefined;
  return { name: decodeURIComponent(name), version: Number(version) };
};

/** Whether a file belongs to this package, as a document or a record file. Erasing a folder removes these files. */
export const isDataFile = (file: string): boolean => documentFilePattern.test(file);

/**
 * Name of a document that exists while a damaged folder is being erased, so that a partly erased folder is not treated
 * as valid at the next start.
 */
export const erasingMarker = 'wiping';
