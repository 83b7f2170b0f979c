/**
 * The platform's list, read at most so often, with what lapsed while the
 * platform was away: an upstream whose entry ran out in an outage is back in
 * the list soon after, or it is gone.
 *
 * @module
 */

import { Ok, type Result } from "ts-results";
import { type Clock, logger } from "../kernel/mod.ts";
import { Directory, type Failure, Role, type Vm } from "./mod.ts";

const log = logger("directory");

/** A directory that outlasts the source's outages. */
export class HeldDirectory extends Directory {
  readonly #source: Directory;
  readonly #clock: Clock;
  readonly #freshMs: number;
  readonly #returnMs: number;
  #vms: readonly Vm[] = [];
  #readAt = -Infinity;
  #away = false;
  #returnedAt = -Infinity;
  #reading: Promise<Result<readonly Vm[], Failure>> | undefined;

  constructor(options: {
    source: Directory;
    clock: Clock;
    /** A list younger than this is not read again. */
    freshMs: number;
    /** Time after an outage during which a missing upstream is still listed. */
    returnMs: number;
  }) {
    super();
    this.#source = options.source;
    this.#clock = options.clock;
    this.#freshMs = options.freshMs;
    this.#returnMs = options.returnMs;
  }

  list(): Promise<Result<readonly Vm[], Failure>> {
    if (this.#clock.now() - this.#readAt < this.#freshMs) {
      return Promise.resolve(Ok(this.#vms));
    }
    this.#reading ??= this.#read().finally(() => this.#reading = undefined);
    return this.#reading;
  }

  async #read(): Promise<Result<readonly Vm[], Failure>> {
    const askedAt = this.#clock.now();
    const listed = await this.#source.list();
    if (listed.err) {
      if (!this.#away) log("lost", { reason: listed.val.message });
      this.#away = true;
      return listed;
    }
    const now = this.#clock.now();
    if (this.#away) {
      this.#away = false;
      this.#returnedAt = now;
      log("regained", { listed: listed.val.length });
    }
    this.#take(listed.val, now);
    this.#readAt = askedAt;
    return Ok(this.#vms);
  }

  #take(listed: readonly Vm[], now: number): void {
    const present = new Set(listed.map(({ id }) => id));
    const missing = this.#vms.filter(({ id, role }) =>
      role === Role.Upstream && !present.has(id)
    );
    const held = now - this.#returnedAt < this.#returnMs ? missing : [];
    const gone = held.length > 0 ? [] : missing;
    for (const { id, pool } of gone) log("gone", { upstream: id, pool });
    const known = new Map(this.#vms.map((vm) => [vm.id, vm]));
    for (const vm of listed) this.#tell(vm, known.get(vm.id));
    this.#vms = [...listed, ...held];
  }

  #tell(vm: Vm, before: Vm | undefined): void {
    const same = before?.standing === vm.standing &&
      before.bornAt === vm.bornAt && before.address === vm.address;
    if (same || vm.role !== Role.Upstream) return;
    log("listed", {
      upstream: vm.id,
      pool: vm.pool,
      standing: vm.standing,
      zone: vm.availabilityZone,
    });
  }
}
