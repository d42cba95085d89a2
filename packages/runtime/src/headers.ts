/**
 * Headers as a table: names in lower case, several values of a name joined by a comma.
 * @param headers name to value or values; undefined values are left out
 */
export const flatHeaders = (headers: Record<string, string | string[] | undefined>): Record<string, string> => {
  const table: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers))
    if (value !== undefined) table[name.toLowerCase()] = Array.isArray(value) ? value.join(', ') : String(value);
  return table;
};
