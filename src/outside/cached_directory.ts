/**
 * The newest list of VMs that is known here, whoever read it. It is read again
 * once it is older than a bound, and outlasts the platform's outages: an
 * upstream whose entry ran out meanwhile is back soon after, or it is gone.
 *
 * @module
 */

import { Ok, type Result } from "ts-results";
import { type Clock, logger } from "../kernel/mod.ts";
import {
  Directory,
  type Failure,
  Role,
  type Vm,
  type VmListing,
  type VmListingSource,
} from "./mod.ts";

const log = logger("directory");

/** A list that was older than this may lack what lapsed in an outage. */
const OUTAGE_MS = 1500;

/**
 * Entries lapse without a new revision, so lists of one revision can differ. A
 * frame's way isn't in the age that it tells: another list must be younger by
 * more than that way, or two daemons would swap theirs without end.
 */
const RIVAL_MARGIN_MS = 100;

/** A list with its age, as daemons tell it each other. */
export interface AgedVmListing extends VmListing {
  readonly ageMs: number;
}

/** A directory that outlasts the source's outages. */
export class CachedDirectory extends Directory {
  readonly #source: VmListingSource;
  readonly #clock: Clock;
  readonly #returnMs: number;
  readonly #listeners = new Set<() => void>();
  #freshMs: () => number;
  #listing: VmListing = { vms: [], revision: 0 };
  /** When the list was surely current. */
  #currentAt = -Infinity;
  #returnedAt = -Infinity;
  #reachable = true;
  #reading: Promise<Result<readonly Vm[], Failure>> | undefined;

  constructor(options: {
    source: VmListingSource;
    clock: Clock;
    /** A list younger than this is not read again. */
    maxAgeMs: number;
    /** Time after an outage during which a missing upstream is still listed. */
    outageGraceMs: number;
  }) {
    super();
    this.#source = options.source;
    this.#clock = options.clock;
    this.#freshMs = () => options.maxAgeMs;
    this.#returnMs = options.outageGraceMs;
  }

  /** Has the bound on the list's age asked for before each look at it. */
  set maxAgeMs(bound: () => number) {
    this.#freshMs = bound;
  }

  /** The newest list; its age is infinite before the first. */
  get newest(): AgedVmListing {
    const ageMs = this.#clock.now() - this.#currentAt;
    return { ...this.#listing, ageMs };
  }

  list(): Promise<Result<readonly Vm[], Failure>> {
    if (this.newest.ageMs < this.#freshMs()) {
      return Promise.resolve(Ok(this.#listing.vms));
    }
    this.#reading ??= this.#read().finally(() => this.#reading = undefined);
    return this.#reading;
  }

  /** Takes in a list that another daemon read, unless it is an older one. */
  receive({ vms, revision, ageMs }: AgedVmListing): void {
    if (revision < this.#listing.revision) return;
    const now = this.#clock.now();
    const gainMs = now - ageMs - this.#currentAt;
    const rival = revision === this.#listing.revision &&
      !sameVms(this.#listing.vms, vms);
    if (rival && gainMs <= RIVAL_MARGIN_MS) return;
    this.#noteOutage(now);
    const currentAt = Math.max(now - ageMs, this.#currentAt);
    this.#take(this.#held({ vms, revision }, now), currentAt);
  }

  /** Another daemon has the same list, and it was current `ageMs` ago. */
  confirm(revision: number, ageMs: number): void {
    this.receive({ vms: this.#listing.vms, revision, ageMs });
  }

  /** Calls `listener` after each read and each change; returns its removal. */
  onUpdate(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  async #read(): Promise<Result<readonly Vm[], Failure>> {
    const askedAt = this.#clock.now();
    const read = await this.#source.read();
    if (read.err) {
      if (this.#reachable) log("lost", { reason: read.val.message });
      this.#reachable = false;
      return read;
    }
    if (!this.#reachable) log("regained", { listed: read.val.vms.length });
    this.#reachable = true;
    if (read.val.revision < this.#listing.revision) {
      return Ok(this.#listing.vms);
    }
    const now = this.#clock.now();
    this.#noteOutage(now);
    this.#take(this.#held(read.val, now), askedAt);
    this.#notify();
    return Ok(this.#listing.vms);
  }

  /**
   * A list that nobody could renew for so long may have lost entries; whether
   * this daemon reads the first one after that or is told it.
   */
  #noteOutage(now: number): void {
    const known = this.#currentAt > -Infinity;
    if (!known || now - this.#currentAt <= OUTAGE_MS) return;
    this.#returnedAt = now;
    log("outage over", { ageMs: Math.round(now - this.#currentAt) });
  }

  /** The list with upstreams that may yet come back after an outage. */
  #held(listing: VmListing, now: number): VmListing {
    if (now - this.#returnedAt >= this.#returnMs) return listing;
    const present = new Set(listing.vms.map(({ id }) => id));
    const missing = this.#listing.vms.filter(({ id, role }) =>
      role === Role.Upstream && !present.has(id)
    );
    return { ...listing, vms: [...listing.vms, ...missing] };
  }

  #take(listing: VmListing, currentAt: number): void {
    const before = this.#listing;
    this.#listing = listing;
    this.#currentAt = currentAt;
    if (this.#tell(before.vms, listing.vms)) this.#notify();
  }

  #notify(): void {
    for (const listener of this.#listeners) listener();
  }

  /** Logs what changed among the upstreams; answers whether anything did. */
  #tell(before: readonly Vm[], after: readonly Vm[]): boolean {
    const known = new Map(before.map((vm) => [vm.id, vm]));
    let changed = before.length !== after.length;
    for (const vm of after) {
      const old = known.get(vm.id);
      known.delete(vm.id);
      if (old === undefined || !alike(old, vm)) {
        changed = true;
        const { id, pool, standing, availabilityZone } = vm;
        log("listed", { id, pool, standing, availabilityZone });
      }
    }
    for (const { id, pool } of known.values()) {
      changed = true;
      log("gone", { id, pool });
    }
    return changed;
  }
}

function sameVms(a: readonly Vm[], b: readonly Vm[]): boolean {
  if (a === b) return true;
  const known = new Map(a.map((vm) => [vm.id, vm]));
  return a.length === b.length && b.every((vm) => {
    const other = known.get(vm.id);
    return other !== undefined && alike(other, vm);
  });
}

function alike(a: Vm, b: Vm): boolean {
  return a.standing === b.standing && a.bornAt === b.bornAt &&
    a.address === b.address && a.pool === b.pool;
}
