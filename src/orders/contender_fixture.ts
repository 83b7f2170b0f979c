/**
 * A process that places orders continuously while it holds the lease:
 * `node contender_fixture.js PLATFORM_URL NAME LEASE_MS MARGIN_MS`.
 *
 * @module
 */

import { SystemClock } from "../kernel/mod.ts";
import { HttpKeyValue } from "../outside/http_key_value.ts";
import { HttpOrderService } from "../outside/http_platform.ts";
import type { Order } from "../outside/mod.ts";
import { DutyLease, type HeldLease } from "./duty_lease.ts";

/** Concurrent orders, each on its own connection. */
const CONCURRENT_ORDERS = 4;

const [url, name, leaseMs, marginMs] = process.argv.slice(2);
const clock = new SystemClock();
const orderService = new HttpOrderService({ url });
const dutyLease = new DutyLease({
  keyValue: new HttpKeyValue({ url, timeoutMs: 100 }),
  clock,
  name: "contended",
  holder: name,
  leaseMs: Number(leaseMs),
  marginMs: Number(marginMs),
});

async function placeOrders(lease: HeldLease): Promise<void> {
  for (let n = 0; !lease.signal.aborted; n++) {
    const order = {
      id: `${name}/${lease.term}/${n}`,
      pool: "lm",
      availabilityZone: "a",
      reclaimable: false,
      count: n,
      term: lease.term,
      holder: name,
    };
    await lease.runWhileHeld((signal) => {
      const checkedAt = performance.timeOrigin + performance.now();
      return orderService.place({ ...order, checkedAt } as Order, signal);
    });
    await clock.sleep(1, lease.signal);
  }
}

async function contend(): Promise<void> {
  const workers = Array.from({ length: CONCURRENT_ORDERS });
  const signal = new AbortController().signal;
  for (;;) {
    await dutyLease.hold(signal, async (lease) => {
      await Promise.all(workers.map(() => placeOrders(lease)));
    });
  }
}

contend().catch((error) => {
  console.error(error);
  process.exit(1);
});
