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

  /** Queues an item; `ended` is called when it has run. */
  submit(item: {
    startInMs: number;
    runMs: number;
    ended: () => void;
  }): void {
    const { startInMs } = item;
    const demand = { priority: Priority.Training, startInMs, remainingMs: 1e7 };
    const queued = { ...ticket(demand), queuedAt: this.clock.now() };
    this.#leader.submit(queued, (answer) => {
      if (!("permit" in answer)) throw new Error("An item was not granted");
      this.clock.after(item.runMs, () => {
        this.#leader.release(answer.permit, Outcome.Served, 1);
        item.ended();
      });
    });
  }
}
