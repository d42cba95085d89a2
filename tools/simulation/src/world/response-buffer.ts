// How much of a response may be on its way before its writer has to wait.

/** In bytes: a writer waits at `size`, and goes on once less than `resumeBelow` is unread. */
export const responseBuffer = { size: 65_536, resumeBelow: 32_768 } as const;
