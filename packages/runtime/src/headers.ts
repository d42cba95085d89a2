/** Normalisation of HTTP headers. */

/**
 * Returns headers as one value per name: names in lower case, multiple values joined by a comma.
 * @param headers value or values by name; undefined values are omitted
 */
export const flatHeaders = (headers: Record<string, string | string[] | undefined>): Record<string, string> => {
  const flat: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers))
    if (value !== undefined) flat[name.toLowerCase()] = Array.isArray(value) ? value.join(', ') : String(value);
  return flat;
};
