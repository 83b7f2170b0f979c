/**
 * Metrics of weight updates.
 *
 * @module
 */

import type { Kernel } from "../kernel/mod.ts";

/** Counters of weight updates. */
export class WeightUpdateMetrics {
  readonly updates;
  readonly store;

  constructor(kernel: Kernel) {
    this.updates = kernel.counter(
      "toucanwind_weight_swaps_total",
      "Weight swaps by outcome; order_* are orders that failed",
      ["outcome"],
    );
    this.store = kernel.counter(
      "toucanwind_weight_store_failures_total",
      "Failed looks at the weight store",
      ["fault"],
    );
  }
}
