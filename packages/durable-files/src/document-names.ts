/** Names of the files of documents: `<escaped name>.<version, 12 digits>`. */

const documentFile = /^(.+)\.(\d{12})$/;
/** The first parts of the names of record files (record-format.ts), which are no documents. */
const recordFilePrefix = /^(b|base)$/;

const escape = (name: string): string =>
  // A document with the name of a record file has its first letter escaped.
  recordFilePrefix.test(name)
    ? `%${name.charCodeAt(0).toString(16)}${name.slice(1)}`
    : encodeURIComponent(name).replace(/\*/g, '%2A').replace(/\./g, '%2E');

/** The file of one version of a document. */
export const documentFileName = (name: string, version: number): string =>
  `${escape(name)}.${String(version).padStart(12, '0')}`;

/** The document and version that a file holds; undefined for files of records and of others. */
export const parseDocumentFileName = (file: string): { name: string; version: number } | undefined => {
  const [, name, version] = documentFile.exec(file) ?? [];
  if (name === undefined || recordFilePrefix.test(name)) return undefined;
  return { name: decodeURIComponent(name), version: Number(version) };
};

/** Whether a file is one of ours, a document or records: these are what erasing a folder removes. */
export const isDataFile = (file: string): boolean => documentFile.test(file);

/** A document that exists while a damaged folder is being erased; a half-erased folder must not be taken for valid. */
export const erasingMarker = 'wiping';
