/**
 * Sources of time. Deadlines and silence timeouts are measured on the monotonic
 * clock only. It stands still while the VM is suspended, so leases are measured
 * on the wall clock too; otherwise that only determines usage windows.
 *
 * @module
 */

/** A point in time on both clocks. */
export interface Moment {
  readonly monotonic: number;
  readonly wall: number;
}

/** A source of time and of timers. */
export abstract class Clock {
  /** Monotonic time in milliseconds; its origin is arbitrary. */
  abstract now(): number;

  /** Wall time in milliseconds since the Unix epoch. */
  abstract wall(): number;

  /** The current moment. */
  moment(): Moment {
    return { monotonic: this.now(), wall: this.wall() };
  }

  /**
   * Milliseconds since `moment`, by the clock that counts more. A suspension of
   * the VM thus counts, and a wall clock that is set back shortens nothing.
   */
  elapsedMs(moment: Moment): number {
    return Math.max(
      this.now() - moment.monotonic,
      this.wall() - moment.wall,
    );
  }

  /** Runs `task` once after `delayMs`; the returned function cancels it. */
  abstract after(delayMs: number, task: () => void): () => void;

  /** Resolves after `delayMs`, or at once when `signal` aborts. */
  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const done = () => {
        cancel();
        signal?.removeEventListener("abort", done);
        resolve();
      };
      const cancel = this.after(delayMs, done);
      signal?.addEventListener("abort", done, { once: true });
    });
  }
}

/** The clock of the operating system. */
export class SystemClock extends Clock {
  now(): number {
    return performance.now();
  }

  wall(): number {
    return Date.now();
  }

  after(delayMs: number, task: () => void): () => void {
    const timer = setTimeout(task, delayMs);
    return () => clearTimeout(timer);
  }
}

interface Timer {
  readonly at: number;
  readonly seq: number;
  readonly task: () => void;
}

/** A clock that only `advance` moves, for deterministic tests. */
export class ManualClock extends Clock {
  #now = 0;
  #seq = 0;
  #timers: readonly Timer[] = [];
  readonly #epochMs: number;

  constructor(options: { epochMs?: number } = {}) {
    super();
    this.#epochMs = options.epochMs ?? 0;
  }

  now(): number {
    return this.#now;
  }

  wall(): number {
    return this.#epochMs + this.#now;
  }

  after(delayMs: number, task: () => void): () => void {
    const timer = {
      at: this.#now + Math.max(0, delayMs),
      seq: this.#seq++,
      task,
    };
    this.#timers = [...this.#timers, timer];
    return () => {
      this.#timers = this.#timers.filter((other) => other !== timer);
    };
  }

  /** Advances the time and runs the timers that become due, in order. */
  advance(byMs: number): void {
    const end = this.#now + byMs;
    for (;;) {
      const due = this.#timers
        .filter((timer) => timer.at <= end)
        .sort((a, b) => a.at - b.at || a.seq - b.seq)[0];
      if (due === undefined) break;
      this.#timers = this.#timers.filter((timer) => timer !== due);
      this.#now = Math.max(this.#now, due.at);
      due.task();
    }
    this.#now = end;
  }
}
