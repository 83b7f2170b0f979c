/**
 * Signals whose time can be looked up before their timer has run. A process
 * that was paused goes on where it stood: code that checked an `AbortSignal`
 * before the pause sends after it, however long it was. What must not be sent
 * late is checked here once more, right before it is written.
 *
 * @module
 */

const expiries = new WeakMap<AbortSignal, () => boolean>();

/** Has `isExpired(signal)` ask `expired`, besides the signal itself. */
export function setExpiryCheck(
  signal: AbortSignal,
  expired: () => boolean,
): void {
  expiries.set(signal, expired);
}

/** Whether `signal` aborted, or would if its timer had run. */
export function isExpired(signal: AbortSignal): boolean {
  return signal.aborted || (expiries.get(signal)?.() ?? false);
}
