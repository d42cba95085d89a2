// The limit of unread response data at which a writer has to wait (flow control).

/** In bytes: a writer waits once `size` is unread, and resumes when less than `resumeBelow` is. */
export const responseBuffer = { size: 65_536, resumeBelow: 32_768 } as const;
