/**
 * How many requests of each model a pool has to serve. A trainer submits its next
 * step only after the last one, so its demand falls to nothing between two steps;
 * engines that followed it would load other weights and be missed right after.
 *
 * @module
 */

/** Longest time between the peaks of one trainer's demand. */
const WINDOW_MS = 12_000;

interface Sample {
  readonly at: number;
  readonly count: number;
}

/** The peak demand for each model in a sliding window. */
export class ModelDemands {
  readonly #samples = new Map<string, readonly Sample[]>();
  #startedAt: number | undefined;

  /** Records the requests of each model that run or wait. */
  record(counts: Readonly<Record<string, number>>, now: number): void {
    this.#startedAt ??= now;
    for (const [model, count] of Object.entries(counts)) {
      const recent = (this.#samples.get(model) ?? [])
        // A later sample that is no lower makes an earlier one irrelevant.
        .filter((one) => now - one.at < WINDOW_MS && one.count > count);
      this.#samples.set(model, [...recent, { at: now, count }]);
    }
  }

  /** Peak demand by model; none before a whole window was observed. */
  peaks(now: number): Readonly<Record<string, number>> {
    const isShort = this.#startedAt === undefined ||
      now - this.#startedAt < WINDOW_MS;
    if (isShort) return {};
    return Object.fromEntries(
      [...this.#samples].map(([model, samples]) => [
        model,
        Math.max(
          0,
          ...samples.filter(({ at }) => now - at < WINDOW_MS)
            .map(({ count }) => count),
        ),
      ]),
    );
  }
}
