/**
 * A bound on the time that a task is waited for.
 *
 * @module
 */

import type { Clock } from "../kernel/mod.ts";

/** What `task` yields, or `undefined` once the time is over or it's aborted. */
export async function withTimeout<T>(task: Promise<T>, options: {
  clock: Clock;
  timeoutMs: number;
  signal?: AbortSignal;
}): Promise<T | undefined> {
  const done = new AbortController();
  const signal = options.signal === undefined
    ? done.signal
    : AbortSignal.any([done.signal, options.signal]);
  const timeout = options.clock.sleep(options.timeoutMs, signal);
  try {
    return await Promise.race([task, timeout.then(() => undefined)]);
  } finally {
    done.abort();
  }
}
