/**
 * VMs of the platform stand-in: the list, which is served with a lag, the
 * offers of each availability zone, and the upstreams that orders start and
 * end.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import {
  type Offer,
  type Order,
  Role,
  type Vm,
  VmState,
} from "../src/outside/mod.ts";
import type { HistoryWriter } from "./history.ts";

/** Capacity that a pool can order in one availability zone. */
export interface OfferedCapacity {
  readonly pool: string;
  readonly availabilityZone: string;
  readonly reclaimable: boolean;
  readonly pricePerHour: number;
  readonly available: number;
}

/** An upstream to start. */
export interface UpstreamSpec {
  readonly pool: string;
  readonly availabilityZone: string;
  readonly reclaimable: boolean;
}

interface VmListSnapshot {
  readonly at: number;
  readonly vms: readonly Vm[];
}

interface VmProvisionerOptions {
  readonly history: HistoryWriter;
  readonly lagMs?: number;
  readonly fenced?: boolean;
  readonly offers?: readonly OfferedCapacity[];
  readonly startMs?: number;
  readonly leaveMs?: number;
  readonly launch?: (wanted: UpstreamSpec) => Promise<Vm>;
  readonly terminate?: (vm: Vm) => Promise<void>;
}

/** Manages the list of VMs and the offers, and executes orders. */
export class VmProvisioner {
  readonly #options: VmProvisionerOptions;
  #snapshots: readonly VmListSnapshot[] = [{ at: -Infinity, vms: [] }];
  #offers: readonly OfferedCapacity[];
  #term = 0;
  #closed = false;
  readonly #orderIds = new Set<string>();
  readonly #starting = new Map<string, number>();
  readonly #reclaimAt = new Map<string, number>();
  readonly #tasks = new Set<Promise<void>>();

  constructor(options: VmProvisionerOptions) {
    this.#options = options;
    this.#offers = options.offers ?? [];
  }

  /** The current list, without lag. */
  get vms(): readonly Vm[] {
    return this.#snapshots[this.#snapshots.length - 1].vms;
  }

  /** The list as it was `lagMs` ago. */
  listed(): readonly Vm[] {
    const visibleBefore = performance.now() - (this.#options.lagMs ?? 0);
    const visible = this.#snapshots.filter(({ at }) => at <= visibleBefore);
    this.#snapshots = this.#snapshots.slice(visible.length - 1);
    return visible[visible.length - 1].vms;
  }

  setVms(vms: readonly Vm[]): void {
    this.#snapshots = [...this.#snapshots, { at: performance.now(), vms }];
    this.#options.history.record("vms", { vms });
  }

  putVm(vm: Vm): void {
    this.setVms([...this.vms.filter(({ id }) => id !== vm.id), vm]);
  }

  removeVm(id: string): void {
    this.setVms(this.vms.filter((vm) => vm.id !== id));
  }

  offers(): readonly Offer[] {
    return this.#offers.map((offered) => {
      const reclaimAt = this.#reclaimAt.get(keyOf(offered));
      const reclaimInMs = reclaimAt === undefined
        ? {}
        : { reclaimInMs: Math.max(0, reclaimAt - performance.now()) };
      return {
        ...offered,
        ...reclaimInMs,
        running: this.#running(offered).length,
        starting: this.#starting.get(keyOf(offered)) ?? 0,
      };
    });
  }

  setOffers(offers: readonly OfferedCapacity[]): void {
    this.#offers = offers;
    this.#options.history.record("offers", { offers });
  }

  /** Accepts an order; `false` if terms are checked and its term is stale. */
  order(order: Order): boolean {
    const accepted = !this.#options.fenced || order.term >= this.#term;
    const repeat = this.#orderIds.has(order.id);
    this.#options.history.record("ordered", { order, accepted, repeat });
    if (!accepted) return false;
    this.#term = Math.max(this.#term, order.term);
    this.#orderIds.add(order.id);
    if (!repeat && this.#options.launch) this.#reconcile(order);
    return true;
  }

  /** Removes an availability zone's reclaimable VMs after `noticeMs`. */
  async reclaim(availabilityZone: string, noticeMs: number): Promise<void> {
    this.#options.history.record("reclaiming", { availabilityZone, noticeMs });
    const isReclaimed = (vm: Vm) =>
      vm.reclaimable && vm.availabilityZone === availabilityZone;
    const affected = this.#offers.filter((offered) =>
      offered.reclaimable && offered.availabilityZone === availabilityZone
    );
    const at = performance.now() + noticeMs;
    for (const offered of affected) this.#reclaimAt.set(keyOf(offered), at);
    this.setOffers(
      this.#offers.map((offered) =>
        affected.includes(offered) ? { ...offered, available: 0 } : offered
      ),
    );
    this.setVms(
      this.vms.map((vm) =>
        isReclaimed(vm) ? { ...vm, standing: VmState.Leaving } : vm
      ),
    );
    await sleep(noticeMs);
    for (const offered of affected) this.#reclaimAt.delete(keyOf(offered));
    const reclaimed = this.vms.filter(isReclaimed);
    this.setVms(this.vms.filter((vm) => !isReclaimed(vm)));
    await Promise.all(reclaimed.map((vm) => this.#options.terminate?.(vm)));
    this.#options.history.record("reclaimed", { availabilityZone });
  }

  async close(): Promise<void> {
    this.#closed = true;
    await Promise.allSettled(this.#tasks);
  }

  #reconcile(order: Order): void {
    const offered = this.#offers.find((offer) => keyOf(offer) === keyOf(order));
    const count = Math.min(order.count, offered?.available ?? 0);
    const running = this.#running(order);
    const starting = this.#starting.get(keyOf(order)) ?? 0;
    const missing = count - running.length - starting;
    for (let n = 0; n < missing; n++) this.#track(this.#startUpstream(order));
    const surplus = running.slice(Math.max(0, count));
    for (const vm of surplus) this.#track(this.#end(vm));
  }

  #running(wanted: UpstreamSpec): readonly Vm[] {
    return this.vms.filter((vm) =>
      vm.role === Role.Upstream && vm.standing === VmState.Live &&
      keyOf(vm) === keyOf(wanted)
    );
  }

  #track(task: Promise<void>): void {
    this.#tasks.add(task);
    task.finally(() => this.#tasks.delete(task)).catch(() => {});
  }

  async #startUpstream(wanted: UpstreamSpec): Promise<void> {
    const key = keyOf(wanted);
    const count = (by: number) =>
      this.#starting.set(key, (this.#starting.get(key) ?? 0) + by);
    count(1);
    try {
      await sleep(this.#options.startMs ?? 0);
      if (this.#closed || !this.#options.launch) return;
      this.putVm(await this.#options.launch(wanted));
    } finally {
      count(-1);
    }
  }

  async #end(vm: Vm): Promise<void> {
    this.putVm({ ...vm, standing: VmState.Leaving });
    await sleep(this.#options.leaveMs ?? 1000);
    this.removeVm(vm.id);
    await this.#options.terminate?.(vm);
  }
}

function keyOf(wanted: UpstreamSpec): string {
  const { pool, availabilityZone, reclaimable } = wanted;
  return `${pool}/${availabilityZone}/${reclaimable}`;
}
