/** Runtime assertions (§9.1). */
import VError from 'verror';

const breaches: string[] = [];

/** Checks invariants. A violation is a programming error, never a normal result: it is recorded and thrown. */
export const invariant = {
  /** Records a violation and throws an error named `Breach` unless `condition` is true. */
  hold: (condition: boolean, text: string): void => {
    if (condition) return;
    breaches.push(text);
    throw new VError({ name: 'Breach' }, '%s', `invariant: ${text}`);
  },
  /** Returns the texts of the violations recorded in this process. */
  breaches: (): readonly string[] => breaches,
  /** Removes the recorded violations. */
  clear: (): void => void breaches.splice(0),
};
