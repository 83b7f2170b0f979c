/**
 * Request counts by usage window and organisation, of this daemon and as
 * received from others. The counts of one run of a daemon only grow, so the
 * larger of two values for the same run is the newer.
 *
 * @module
 */

/** Counts by organisation. */
export type Counts = Readonly<Record<string, number>>;

/** The counts of one run of a daemon for one window. */
export interface RunCounts {
  /** Identifies the run of the daemon that counted. */
  readonly run: string;
  readonly window: number;
  readonly counts: Counts;
}

/** The known counts of all runs. */
export class WindowCounts {
  readonly #shares = new Map<string, RunCounts>();

  /** Adds one request of an organisation to the counts of a run. */
  add(share: { run: string; window: number }, organisation: string): void {
    const { run, window } = share;
    const counts = this.#shares.get(keyOf(share))?.counts ?? {};
    const count = (counts[organisation] ?? 0) + 1;
    this.#shares.set(keyOf(share), {
      run,
      window,
      counts: { ...counts, [organisation]: count },
    });
  }

  /** Merges counts received of a run; returns whether any count grew. */
  merge(share: RunCounts): boolean {
    const key = keyOf(share);
    const known = this.#shares.get(key);
    const counts = known === undefined
      ? share.counts
      : maxCounts(known.counts, share.counts);
    if (known !== undefined && totalOf(counts) === totalOf(known.counts)) {
      return false;
    }
    this.#shares.set(key, { ...share, counts });
    return true;
  }

  /** The counts of a window, by run. */
  shares(window: number): readonly RunCounts[] {
    return [...this.#shares.values()].filter((share) =>
      share.window === window
    );
  }

  /** The counts of one run, by window. */
  ofRun(run: string): readonly RunCounts[] {
    return [...this.#shares.values()].filter((share) => share.run === run);
  }

  /** The counts of a window, summed over all runs. */
  sum(window: number): Counts {
    const sum: Record<string, number> = {};
    for (const { counts } of this.shares(window)) {
      for (const [organisation, count] of Object.entries(counts)) {
        sum[organisation] = (sum[organisation] ?? 0) + count;
      }
    }
    return sum;
  }

  /** Drops the windows before `before`. */
  dropBefore(before: number): void {
    for (const [key, { window }] of this.#shares) {
      if (window < before) this.#shares.delete(key);
    }
  }
}

function keyOf({ run, window }: { run: string; window: number }): string {
  return `${window}/${run}`;
}

function maxCounts(a: Counts, b: Counts): Counts {
  const names = new Set([...Object.keys(a), ...Object.keys(b)]);
  return Object.fromEntries(
    [...names].map((name) => [name, Math.max(a[name] ?? 0, b[name] ?? 0)]),
  );
}

function totalOf(counts: Counts): number {
  return Object.values(counts).reduce((sum, count) => sum + count, 0);
}
