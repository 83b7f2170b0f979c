/**
 * Waits for a promise with a timeout.
 *
 * @module
 */

import type { Clock } from "../kernel/mod.ts";

/**
 * Resolves to the result of `task`, or to `undefined` if the timeout expires or
 * `signal` aborts first. The task itself is not cancelled.
 */
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
