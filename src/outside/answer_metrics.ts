/**
 * Counts the answers of other programs that were cut.
 *
 * @module
 */

import { type Kernel, Plugin, PluginKey, register } from "../kernel/mod.ts";

/** The counter of the answers that exceeded a limit. */
export class AnswerMetrics extends Plugin {
  constructor(kernel: Kernel) {
    super();
    const cut = kernel.counter(
      "toucanwind_answers_cut_total",
      "Answers that were cut, by what they had too much of",
      ["excess"],
    );
    kernel.platform.answerLimits?.onCut(({ excess }) => cut.inc({ excess }));
  }
}

/** The key of the plug-in that counts cut answers. */
export const answerMetricsKey = new PluginKey<AnswerMetrics>("answers");

register({
  key: answerMetricsKey,
  requires: [],
  create: (kernel) => new AnswerMetrics(kernel),
});
