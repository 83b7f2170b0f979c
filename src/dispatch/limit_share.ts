/**
 * Which part of the rates that upstreams take a leader may use, as daemons that
 * disagree on the members let more than one lead a shard at a time.
 *
 * @module
 */

/**
 * Share for a leader that others insist on or that is connected to few daemons.
 * With one that uses the whole rate it stays within 1.5 times the rate.
 */
const HALF_SHARE = 0.5;

/** The share of a leader of this daemon. */
export function limitShareOf(options: {
  /** Whether this daemon ranks first for the shard among its members. */
  isLeader: boolean;
  /** The daemons that it is connected to, itself included. */
  members: readonly string[];
  /** The daemons on the platform's list; empty if it has none. */
  listed: readonly string[];
}): number {
  const { isLeader, listed } = options;
  if (!isLeader) return HALF_SHARE;
  const members = new Set(options.members);
  const connected = listed.filter((vm) => members.has(vm)).length;
  // The others may have a leader of their own, on the larger side.
  return listed.length > 0 && connected <= listed.length / 2 ? HALF_SHARE : 1;
}
