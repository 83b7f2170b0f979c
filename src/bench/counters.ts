/**
 * Reads the counters of entries from their metrics endpoint.
 *
 * @module
 */

/** Counter values keyed by metric name with labels. */
export type Counters = Readonly<Record<string, number>>;

const COUNTER_LINE = /^(toucanwind_\w+_total(?:\{[^}]*\})?) (\S+)$/;
const READ_TIMEOUT_MS = 5_000;

/** Parses the `toucanwind_*_total` counters of a metrics page. */
export function parseCounters(text: string): Counters {
  const matches = text.split("\n").flatMap((line) => {
    const match = COUNTER_LINE.exec(line);
    return match === null ? [] : [[match[1], Number(match[2])] as const];
  });
  return Object.fromEntries(matches);
}

/** Sums the counters of all entries; an unreachable entry contributes none. */
export async function readCounters(
  entries: readonly string[],
): Promise<Counters> {
  const pages = await Promise.all(entries.map(readMetricsPage));
  const sums = new Map<string, number>();
  for (const [name, value] of pages.flatMap((page) => Object.entries(page))) {
    sums.set(name, (sums.get(name) ?? 0) + value);
  }
  return Object.fromEntries(sums);
}

async function readMetricsPage(entry: string): Promise<Counters> {
  try {
    const signal = AbortSignal.timeout(READ_TIMEOUT_MS);
    const answer = await fetch(`${entry}/metrics`, { signal });
    return parseCounters(await answer.text());
  } catch {
    return {};
  }
}

/** Returns the counters that increased between two readings, by how much. */
export function counterIncreases(before: Counters, after: Counters): Counters {
  const increases = Object.entries(after)
    .map(([name, value]) => [name, value - (before[name] ?? 0)] as const)
    .filter(([, increase]) => increase > 0);
  return Object.fromEntries(increases);
}
