/**
 * Test fixture: items on the slots of one shard's leader, on a manual clock.
 *
 * @module
 */

import { ticket, upstream } from "../dispatch/fixtures_test.ts";
import { Outcome } from "../dispatch/mod.ts";
import { ShardLeader } from "../dispatch/shard_leader.ts";
import { ManualClock } from "../kernel/mod.ts";
import { Priority } from "../tables/mod.ts";

/** Runs items of one organisation as its leader grants them slots. */
export class SlotPlay {
  readonly clock = new ManualClock();
  readonly #leader = new ShardLeader({ clock: this.clock });

  constructor(options: { upstreams: number; slots: number }) {
    this.#leader.setUpstreams(Array.from(
      { length: options.upstreams },
      (_, n) => upstream({ id: `${n}`, slots: options.slots }),
    ));
    this.#leader.startGranting();
    this.clock.advance(10_000);
  }

  /** Queues an item; `ended` is called when it has run. Returns its end. */
  submit(item: {
    startInMs: number;
    runMs: number;
    ended: () => void;
    /** Called with the time that it ran if it is ended earlier. */
    cancelled?: (ranMs: number) => void;
  }): () => void {
    const { startInMs } = item;
    const demand = { priority: Priority.Training, startInMs, remainingMs: 1e7 };
    const queued = { ...ticket(demand), queuedAt: this.clock.now() };
    let cancel = () => void this.#leader.cancel(queued.id);
    this.#leader.submit(queued, (answer) => {
      if (!("permit" in answer)) return;
      const startedAt = this.clock.now();
      const release = (outcome: Outcome) =>
        this.#leader.release(answer.permit, outcome, 1);
      const stop = this.clock.after(item.runMs, () => {
        cancel = () => {};
        release(Outcome.Served);
        item.ended();
      });
      cancel = () => {
        stop();
        release(Outcome.Cancelled);
        item.cancelled?.(this.clock.now() - startedAt);
      };
    });
    return () => cancel();
  }
}
