/**
 * Expiry checks for abort signals, independent of timers. After a pause of the
 * process, code that checked its `AbortSignal` before the pause would still
 * send, as the overdue timer has not run yet. Calls that must not be sent late
 * are therefore checked here again, right before they are written.
 *
 * @module
 */

const expiryChecks = new WeakMap<AbortSignal, () => boolean>();

/** Makes `isExpired(signal)` also call `expired`. */
export function setExpiryCheck(
  signal: AbortSignal,
  expired: () => boolean,
): void {
  expiryChecks.set(signal, expired);
}

/** Whether `signal` is aborted, or would be if its timer had run. */
export function isExpired(signal: AbortSignal): boolean {
  return signal.aborted || (expiryChecks.get(signal)?.() ?? false);
}
