/** The versions of the protocol between nodes that this build speaks (§3.4). */
export const protocol = {
  /** The version of every frame that this build sends. */
  current: 1,
  /** The oldest version that it still understands. */
  oldest: 1,
};
