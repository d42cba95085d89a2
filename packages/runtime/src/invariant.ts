/** Checks inside the code (§9.1). */
import VError from 'verror';

const breaches: string[] = [];

/** A breach is counted and thrown: it is a fault of the program, never a normal result. */
export const invariant = {
  /** Throws unless `ok`. */
  hold: (ok: boolean, text: string): void => {
    if (ok) return;
    breaches.push(text);
    throw new VError({ name: 'Breach' }, '%s', `invariant: ${text}`);
  },
  /** The breaches of this process so far. */
  breaches: (): readonly string[] => breaches,
  clear: (): void => void breaches.splice(0),
};
