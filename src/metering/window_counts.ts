/**
 * Counts by window and organisation, of this daemon and as heard of others.
 * A daemon's count of a window only grows while it runs, so of two words on
 * the same run the larger one is the newer.
 *
 * @module
 */

/** Counts by organisation. */
export type Counts = Readonly<Record<string, number>>;

/** One run's counts of one window. */
export interface RunCounts {
  /** The run of a daemon that counted. */
  readonly run: string;
  readonly window: number;
  readonly counts: Counts;
}

/** What is known of all runs' counts. */
export class WindowCounts {
  readonly #shares = new Map<string, RunCounts>();

  /** Adds one to an organisation's count in this run's own share. */
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

  /** Takes in another's word; answers whether it was news. */
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

  /** Every run's share of a window. */
  shares(window: number): readonly RunCounts[] {
    return [...this.#shares.values()].filter((share) =>
      share.window === window
    );
  }

  /** The shares of one run. */
  ofRun(run: string): readonly RunCounts[] {
    return [...this.#shares.values()].filter((share) => share.run === run);
  }

  /** The counts of a window over all runs. */
  sum(window: number): Counts {
    const sum: Record<string, number> = {};
    for (const { counts } of this.shares(window)) {
      for (const [organisation, count] of Object.entries(counts)) {
        sum[organisation] = (sum[organisation] ?? 0) + count;
      }
    }
    return sum;
  }

  /** Drops windows before this one. */
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
