/** The versions of the protocol between nodes that this release supports (§3.4). */
export const protocol = {
  /** The version of every frame that this release sends. */
  current: 1,
  /** The oldest version that this release accepts. */
  oldest: 1,
};
