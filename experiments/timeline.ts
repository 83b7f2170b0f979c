/**
 * Discrete-event scheduler on a manual clock.
 *
 * @module
 */

import { ManualClock } from "../src/kernel/mod.ts";

interface TimelineEvent {
  readonly at: number;
  readonly seq: number;
  readonly task: () => void;
}

/** Runs events in order of time, then of scheduling; a binary heap. */
export class Timeline {
  readonly clock = new ManualClock();
  readonly #heap: TimelineEvent[] = [];
  #seq = 0;

  get now(): number {
    return this.clock.now();
  }

  /** Runs `task` after `delayMs`. */
  after(delayMs: number, task: () => void): void {
    const at = this.now + Math.max(0, delayMs);
    this.#push({ at, seq: this.#seq++, task });
  }

  /** Runs `task` every `periodMs`. */
  every(periodMs: number, task: () => void): void {
    this.after(periodMs, () => {
      task();
      this.every(periodMs, task);
    });
  }

  /** Runs all events up to `endMs` and advances the clock to it. */
  run(endMs: number): void {
    for (;;) {
      const next = this.#heap[0];
      if (next === undefined || next.at > endMs) break;
      this.#pop();
      this.clock.advance(next.at - this.now);
      next.task();
    }
    this.clock.advance(Math.max(0, endMs - this.now));
  }

  #push(event: TimelineEvent): void {
    const heap = this.#heap;
    let index = heap.push(event) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (before(heap[parent], event)) break;
      heap[index] = heap[parent];
      index = parent;
    }
    heap[index] = event;
  }

  #pop(): void {
    const heap = this.#heap;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) return;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && before(heap[child + 1], heap[child])) {
        child += 1;
      }
      if (before(last, heap[child])) break;
      heap[index] = heap[child];
      index = child;
    }
    heap[index] = last;
  }
}

function before(a: TimelineEvent, b: TimelineEvent): boolean {
  return a.at < b.at || (a.at === b.at && a.seq < b.seq);
}
