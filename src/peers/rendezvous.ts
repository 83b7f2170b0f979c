/**
 * Rendezvous hashing, which selects the owner of a name, and hash rings, which
 * select the neighbours that monitor each other. Both depend on VM ids only, so
 * daemons with the same members agree without coordination.
 *
 * @module
 */

// Multipliers of the two 32-bit multiply-xor lanes, as in cyrb53.
const LANE_A_MULTIPLIER = 2654435761;
const LANE_B_MULTIPLIER = 1597334677;
const MIX_A_MULTIPLIER = 2246822507;
const MIX_B_MULTIPLIER = 3266489909;
const HIGH_BITS_MASK = 0x1fffff;

/** A well-mixed, non-cryptographic 53-bit hash of `text`. */
export function hash(text: string, seed = 0): number {
  let a = 0xdeadbeef ^ seed;
  let b = 0x41c6ce57 ^ seed;
  for (let i = 0; i < text.length; i++) {
    const code = text.charCodeAt(i);
    a = Math.imul(a ^ code, LANE_A_MULTIPLIER);
    b = Math.imul(b ^ code, LANE_B_MULTIPLIER);
  }
  return mixLanes(a, b);
}

function mixLanes(a: number, b: number): number {
  a = Math.imul(a ^ (a >>> 16), MIX_A_MULTIPLIER) ^
    Math.imul(b ^ (b >>> 13), MIX_B_MULTIPLIER);
  b = Math.imul(b ^ (b >>> 16), MIX_A_MULTIPLIER) ^
    Math.imul(a ^ (a >>> 13), MIX_B_MULTIPLIER);
  return 4294967296 * (HIGH_BITS_MASK & b) + (a >>> 0);
}

// Combines two hashes into a weight; much cheaper than hashing joined texts.
function score(vm: number, name: number): number {
  const a = (vm | 0) ^ Math.imul(name | 0, LANE_A_MULTIPLIER);
  const b = Math.floor(vm / 4294967296) ^
    Math.imul(Math.floor(name / 4294967296) ^ name, LANE_B_MULTIPLIER);
  return mixLanes(a, b);
}

/** The members in descending order of their rendezvous weight for `name`. */
export function rank<T extends { readonly vm: string }>(
  members: readonly T[],
  name: string,
): readonly T[] {
  const nameHash = hash(name);
  return members
    .map((member) => ({ member, weight: score(hash(member.vm), nameHash) }))
    .sort((a, b) => b.weight - a.weight || (a.member.vm < b.member.vm ? -1 : 1))
    .map(({ member }) => member);
}

/**
 * A duty goes to members with at least this share of the most cores that one
 * has, as it takes about as much processor time on each.
 */
const MIN_CORES_SHARE = 0.5;

/** As `rank`, but members with far fewer cores than others come last. */
export function rankForDuty<
  T extends { readonly vm: string; readonly cores: number },
>(members: readonly T[], name: string): readonly T[] {
  const most = Math.max(...members.map(({ cores }) => cores));
  const isStrong = ({ cores }: T) => cores >= MIN_CORES_SHARE * most;
  const ranked = rank(members, name);
  return [
    ...ranked.filter(isStrong),
    ...ranked.filter((member) => !isStrong(member)),
  ];
}

/** Up to this many members, all are neighbours of each other. */
export const FULL_MESH_MAX_MEMBERS = 8;

/** Number of hash rings; each one contributes two neighbours. */
export const RING_COUNT = 3;

/**
 * The neighbours of `vm`: the adjacent members on each ring. Neighbours monitor
 * each other; the relation is symmetric. Several differently ordered rings keep
 * the number of hops between any two members logarithmic.
 */
export function neighbours(
  vm: string,
  vms: readonly string[],
): ReadonlySet<string> {
  const others = vms.filter((other) => other !== vm);
  if (vms.length <= FULL_MESH_MAX_MEMBERS) return new Set(others);
  const found = new Set<string>();
  for (let ring = 1; ring <= RING_COUNT; ring++) {
    for (const next of ringNeighbours(vm, others, ring)) found.add(next);
  }
  return found;
}

// The predecessor and successor of `vm` on a ring, found without sorting it.
function ringNeighbours(
  vm: string,
  others: readonly string[],
  ring: number,
): readonly string[] {
  const ownHash = hash(vm, ring);
  const span = 2 ** 53;
  let after = others[0];
  let before = others[0];
  let gapAfter = span;
  let gapBefore = span;
  for (const other of others) {
    const gap = (hash(other, ring) - ownHash + span) % span;
    if (gap < gapAfter) [gapAfter, after] = [gap, other];
    if (span - gap < gapBefore) [gapBefore, before] = [span - gap, other];
  }
  return [after, before];
}
