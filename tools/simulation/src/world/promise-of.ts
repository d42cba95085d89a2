// Adapts synchronous code to an asynchronous interface.

/** Runs synchronous work and returns its result as a promise; an exception rejects it, as in an async function. */
export const promiseOf = <T>(work: () => T): Promise<T> =>
  new Promise((resolve) => {
    resolve(work());
  });
