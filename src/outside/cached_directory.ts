/**
 * Caches the newest known list of VMs, read here or received from another
 * daemon. The list is read again once it exceeds a maximum age, and is kept
 * during outages of the platform. Upstreams whose entries expired in an outage
 * stay listed for a grace period, in which those still alive register again.
 *
 * @module
 */

import { Err, Ok, type Result } from "ts-results";
import { type Clock, logger } from "../kernel/mod.ts";
import { Evacuations } from "./evacuated_zones.ts";
import {
  Directory,
  type Failure,
  Fault,
  Role,
  type Vm,
  type VmListing,
  type VmListingSource,
} from "./mod.ts";

const log = logger("directory");

/**
 * If the cached list got older than this, entries may have expired in an
 * outage and be missing from the next list.
 */
const OUTAGE_MIN_AGE_MS = 1500;

/**
 * Entries expire without a new revision, so lists of one revision can differ.
 * The age of a received list may lack the latency of its message, or include
 * that of another one. A list that differs must therefore be newer by more than
 * the latency, or two daemons would replace each other's list forever.
 */
const SAME_REVISION_MARGIN_MS = 100;

/**
 * Evacuated zones older than this are read again, also if the list is newer, as
 * daemons of an earlier build pass on lists without them. Readers read them once
 * a second, so that this is exceeded only without news of a reader.
 */
const MAX_EVACUATIONS_AGE_MS = 1600;

/** A list with its age, as daemons exchange it. */
export interface AgedVmListing extends VmListing {
  readonly ageMs: number;
}

/** A directory that caches its source's list, also during outages. */
export class CachedDirectory extends Directory {
  /** The evacuated zones that came with the lists. */
  readonly evacuations: Evacuations;
  readonly #source: VmListingSource;
  readonly #clock: Clock;
  readonly #outageGraceMs: number;
  readonly #listeners = new Set<() => void>();
  #maxAgeMs: () => number;
  #listing: VmListing = { vms: [], revision: 0 };
  /** Latest time at which the list is known to have been current. */
  #currentAt = -Infinity;
  #outageEndedAt = -Infinity;
  #reachable = true;
  #pendingRead: Promise<Result<readonly Vm[], Failure>> | undefined;

  constructor(options: {
    source: VmListingSource;
    clock: Clock;
    /** Age from which the list is read again. */
    maxAgeMs: number;
    /** Time after an outage for which missing upstreams stay listed. */
    outageGraceMs: number;
  }) {
    super();
    this.#source = options.source;
    this.#clock = options.clock;
    this.#maxAgeMs = () => options.maxAgeMs;
    this.#outageGraceMs = options.outageGraceMs;
    this.evacuations = new Evacuations({ clock: options.clock });
  }

  /** Sets a function that gives the maximum age each time it is checked. */
  set maxAgeMs(bound: () => number) {
    this.#maxAgeMs = bound;
  }

  /** The newest list; its age is infinite before the first one. */
  get newest(): AgedVmListing {
    const ageMs = this.#clock.now() - this.#currentAt;
    return { ...this.#listing, ageMs, evacuated: this.evacuations.newest };
  }

  list(): Promise<Result<readonly Vm[], Failure>> {
    if (this.newest.ageMs < this.#maxAgeMs() && this.#knowsEvacuations()) {
      return Promise.resolve(Ok(this.#listing.vms));
    }
    this.#pendingRead ??= this.#read().finally(() =>
      this.#pendingRead = undefined
    );
    return this.#pendingRead;
  }

  /** Applies a list read by another daemon, unless it is older. */
  receive({ vms, revision, ageMs, evacuated }: AgedVmListing): void {
    if (evacuated !== undefined) this.evacuations.merge(evacuated);
    if (this.#lacksEvacuations()) return;
    if (revision < this.#listing.revision) return;
    const now = this.#clock.now();
    const gainMs = now - ageMs - this.#currentAt;
    const isConflicting = revision === this.#listing.revision &&
      !sameVms(this.#listing.vms, vms);
    if (isConflicting && gainMs <= SAME_REVISION_MARGIN_MS) return;
    this.#detectOutageEnd(now);
    const currentAt = Math.max(now - ageMs, this.#currentAt);
    this.#apply(this.#withMissingUpstreams({ vms, revision }, now), currentAt);
  }

  /** Records that another daemon has the same list, current `ageMs` ago. */
  confirm(revision: number, ageMs: number): void {
    this.receive({ vms: this.#listing.vms, revision, ageMs });
  }

  /** Whether zones may be evacuated without this daemon's knowledge of any. */
  #lacksEvacuations(): boolean {
    return this.#source.readsEvacuations &&
      this.evacuations.newest === undefined;
  }

  #knowsEvacuations(): boolean {
    return !this.#source.readsEvacuations ||
      this.evacuations.ageMs < MAX_EVACUATIONS_AGE_MS;
  }

  /** Calls `listener` after each read or change; returns a function to stop. */
  onUpdate(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  async #read(): Promise<Result<readonly Vm[], Failure>> {
    const askedAt = this.#clock.now();
    const read = this.#withEvacuations(await this.#source.read());
    if (read.err) {
      if (this.#reachable) log("reads failing", { reason: read.val.message });
      this.#reachable = false;
      return read;
    }
    if (!this.#reachable) log("reads resumed", { listed: read.val.vms.length });
    this.#reachable = true;
    const { vms, revision } = read.val;
    if (revision < this.#listing.revision) return Ok(this.#listing.vms);
    const now = this.#clock.now();
    this.#detectOutageEnd(now);
    this.#apply(this.#withMissingUpstreams({ vms, revision }, now), askedAt);
    this.#notify();
    return Ok(this.#listing.vms);
  }

  /** Applies the evacuated zones that were read; fails if none are known. */
  #withEvacuations(
    read: Result<VmListing, Failure>,
  ): Result<VmListing, Failure> {
    const evacuated = read.ok ? read.val.evacuated : undefined;
    if (evacuated !== undefined) this.evacuations.merge(evacuated);
    if (read.err || !this.#lacksEvacuations()) return read;
    const message = "The evacuated zones are not known";
    return Err({ fault: Fault.Unknown, message });
  }

  /**
   * Starts the grace period if the cached list is so old that the next one may
   * lack entries, whether that one was read here or received.
   */
  #detectOutageEnd(now: number): void {
    const hasListing = this.#currentAt > -Infinity;
    if (!hasListing || now - this.#currentAt <= OUTAGE_MIN_AGE_MS) return;
    this.#outageEndedAt = now;
    log("outage over, missing upstreams stay listed", {
      ageMs: Math.round(now - this.#currentAt),
    });
  }

  /** Adds upstreams that are missing within the grace period of an outage. */
  #withMissingUpstreams(listing: VmListing, now: number): VmListing {
    if (now - this.#outageEndedAt >= this.#outageGraceMs) return listing;
    const present = new Set(listing.vms.map(({ id }) => id));
    const missing = this.#listing.vms.filter(({ id, role }) =>
      role === Role.Upstream && !present.has(id)
    );
    return { ...listing, vms: [...listing.vms, ...missing] };
  }

  #apply(listing: VmListing, currentAt: number): void {
    const before = this.#listing;
    this.#listing = listing;
    this.#currentAt = currentAt;
    if (this.#logChanges(before.vms, listing.vms)) this.#notify();
  }

  #notify(): void {
    for (const listener of this.#listeners) listener();
  }

  /** Logs what changed in the list; returns whether anything did. */
  #logChanges(before: readonly Vm[], after: readonly Vm[]): boolean {
    const known = new Map(before.map((vm) => [vm.id, vm]));
    let changed = before.length !== after.length;
    for (const vm of after) {
      const old = known.get(vm.id);
      known.delete(vm.id);
      if (old === undefined || !isSameVm(old, vm)) {
        changed = true;
        const { id, pool, standing, availabilityZone } = vm;
        log("VM listed", { id, pool, standing, availabilityZone });
      }
    }
    for (const { id, pool } of known.values()) {
      changed = true;
      log("VM gone", { id, pool });
    }
    return changed;
  }
}

function sameVms(a: readonly Vm[], b: readonly Vm[]): boolean {
  if (a === b) return true;
  const known = new Map(a.map((vm) => [vm.id, vm]));
  return a.length === b.length && b.every((vm) => {
    const other = known.get(vm.id);
    return other !== undefined && isSameVm(other, vm);
  });
}

function isSameVm(a: Vm, b: Vm): boolean {
  return a.standing === b.standing && a.bornAt === b.bornAt &&
    a.address === b.address && a.pool === b.pool && sameColdMs(a, b);
}

/** Daemons of earlier builds pass entries on without the cold time. */
function sameColdMs(a: Vm, b: Vm): boolean {
  if (a.coldMs === undefined || b.coldMs === undefined) return true;
  return a.coldMs === b.coldMs;
}
