/**
 * The result of synchronous work as a promise, for an interface whose calls are asynchronous: what the work throws
 * rejects the promise, as in an async function.
 */
export const promiseOf = <T>(work: () => T): Promise<T> =>
  new Promise((resolve) => {
    resolve(work());
  });
