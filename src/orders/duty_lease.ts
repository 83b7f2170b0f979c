/**
 * A lease on a duty that one process at a time performs for the cluster. It is
 * one value of the key-value service; its term serves as the fencing token.
 *
 * The holder measures the lease on its own clocks, starting before it sends the
 * write that is applied, and stops `marginMs` before the lease ends. Both clocks
 * count, as the monotonic one stands still while the VM is suspended.
 * A successor measures the whole lease from when it first reads that write.
 * Requests of the old holder thus have `marginMs` to arrive before the
 * successor acts, and no clocks have to be synchronized.
 *
 * @module
 */

import { isNone, none, type Option, some } from "fp-ts/Option";
import { randomUUID } from "node:crypto";
import { setMaxListeners } from "node:events";
import { z } from "zod";
import { type Clock, logger, type Moment, parseJson } from "../kernel/mod.ts";
import type { Peers } from "../peers/mod.ts";
import { setExpiryCheck } from "../outside/expiry.ts";
import { Fault, type KeyValue, type KeyValueEntry } from "../outside/mod.ts";

const log = logger("charge");

const RENEWALS_PER_LEASE = 4;

/** Reads of another holder's record within one lease. */
const POLLS_PER_LEASE = 2;

/** Daemons that poll a lease which another one holds. */
const CANDIDATE_COUNT = 3;

/**
 * Whether this daemon is one of the candidates for the lease `name`. Only a few
 * daemons are, so that polling does not grow with the cluster.
 */
export function isCandidate(peers: Peers, name: string): boolean {
  return peers.rankedForDuty(DUTY_LEASE_PREFIX + name).slice(0, CANDIDATE_COUNT)
    .some(({ vm }) => vm === peers.self.vm);
}

/** Prefix of the leases' keys in the key-value service. */
export const DUTY_LEASE_PREFIX = "toucanwind/charge/";

/** The stored value of a lease. */
interface LeaseRecord {
  readonly term: number;
  readonly holder: string;
  /** Unique for each write, so that its author can recognize it. */
  readonly attempt: string;
  readonly leaseMs: number;
  /** Whether the holder finished all its actions and released the lease. */
  readonly released: boolean;
  /** VM of the previous holder; empty for the first one. */
  readonly before: string;
}

const leaseRecordSchema = z.object({
  term: z.number(),
  holder: z.string(),
  attempt: z.string(),
  leaseMs: z.number(),
  released: z.boolean(),
  before: z.string().default(""),
});

/** Stands for a value that is not a lease record; it never expires. */
const UNREADABLE_RECORD: LeaseRecord = {
  term: 0,
  holder: "",
  attempt: "",
  leaseMs: Infinity,
  released: false,
  before: "",
};

/** Outcome of a write to the lease record. */
enum WriteOutcome {
  Applied,
  /** Another process wrote first. */
  Conflict,
  /** No effect, or none that is visible yet. */
  Undetermined,
}

/** Competes for the lease on a duty and holds it. */
export class DutyLease {
  readonly #keyValue: KeyValue;
  readonly #clock: Clock;
  readonly #name: string;
  readonly #holder: string;
  readonly #leaseMs: number;
  readonly #marginMs: number;
  readonly #candidate: () => boolean;
  /** Send times of own writes that may be the current value, by attempt. */
  #sentAt: ReadonlyMap<string, Moment> = new Map();
  #revision = 0;
  /** VM of the previous holder, as stored in the record. */
  #previousHolder = "";
  /** Send time of the own write that is the current value. */
  #currentSentAt: Moment = { monotonic: -Infinity, wall: -Infinity };

  constructor(options: {
    keyValue: KeyValue;
    clock: Clock;
    name: string;
    holder: string;
    leaseMs: number;
    /** Maximum time for which an aborted action may still take effect. */
    marginMs: number;
    /** Whether to compete for the lease; called before each poll. */
    candidate?: () => boolean;
  }) {
    if (options.marginMs * 2 > options.leaseMs) {
      throw new RangeError(
        `Lease margin of ${options.marginMs} ms exceeds half of the lease`,
      );
    }
    this.#keyValue = options.keyValue;
    this.#clock = options.clock;
    this.#name = options.name;
    this.#holder = options.holder;
    this.#leaseMs = options.leaseMs;
    this.#marginMs = options.marginMs;
    this.#candidate = options.candidate ?? (() => true);
  }

  /**
   * Waits for the lease, calls `run` with it, and releases it. Returns when
   * `run` does, or when `signal` aborts before the lease is acquired. `run`
   * must end soon after the signal of its lease aborts.
   */
  async hold(
    signal: AbortSignal,
    run: (lease: HeldLease) => Promise<void>,
  ): Promise<void> {
    const term = await this.#acquire(signal);
    if (isNone(term)) return;
    const lease = new HeldLease({
      clock: this.#clock,
      term: term.value,
      signal,
      since: this.#currentSentAt,
      durationMs: this.#durationMs,
    });
    log("lease acquired", { name: this.#name, term: lease.term });
    const renewals = this.#renew(lease);
    try {
      await run(lease);
    } finally {
      lease.end();
      const lost = await renewals;
      log("lease ended", { name: this.#name, term: lease.term, lost });
      if (!lost) await this.#release(lease);
    }
  }

  // Requests of the last action may still be in flight for `marginMs`.
  async #release(lease: HeldLease): Promise<void> {
    const waitMs = lease.lastRunEndedAt + this.#marginMs - this.#clock.now();
    if (waitMs > 0) await this.#clock.sleep(waitMs);
    await this.#write(lease.term, { released: true });
  }

  /** Time after its last write for which the holder may act. */
  get #durationMs(): number {
    return this.#leaseMs - this.#marginMs;
  }

  #renewalIntervalMs(): number {
    return this.#leaseMs / RENEWALS_PER_LEASE;
  }

  async #acquire(signal: AbortSignal): Promise<Option<number>> {
    let lastSeen = { revision: -1, at: 0 };
    let lastTerm = { term: -1, at: 0 };
    const pollMs = this.#leaseMs / POLLS_PER_LEASE;
    for (; !signal.aborted; await this.#clock.sleep(pollMs, signal)) {
      if (!this.#candidate()) continue;
      const found = await this.#keyValue.get(this.#key());
      if (found.err || signal.aborted) continue;
      const now = this.#clock.now();
      const revision = revisionOf(found.val);
      if (lastSeen.revision !== revision) lastSeen = { revision, at: now };
      const held = recordOf(found.val)?.term ?? 0;
      if (lastTerm.term !== held) lastTerm = { term: held, at: now };
      if (this.#isPreviousHolder(found.val, now - lastTerm.at)) continue;
      const term = await this.#tryAcquire(found.val, now - lastSeen.at);
      if (term !== undefined) return some(term);
    }
    return none;
  }

  /**
   * Whether this VM held the lease right before the current holder, which took
   * over less than a lease ago. Holders that alternate faster cannot be
   * distinguished from two that both consider themselves the holder.
   */
  #isPreviousHolder(entry: Option<KeyValueEntry>, termMs: number): boolean {
    const record = recordOf(entry);
    return record !== undefined && record.before === vmOf(this.#holder) &&
      vmOf(record.holder) !== vmOf(this.#holder) && termMs < this.#leaseMs;
  }

  /** Acquires the lease if it is free; returns the term on success. */
  async #tryAcquire(
    entry: Option<KeyValueEntry>,
    unchangedMs: number,
  ): Promise<number | undefined> {
    const record = recordOf(entry);
    const own = this.#isOwnWrite(entry);
    if (!own && !this.#isFree(record, unchangedMs)) return undefined;
    this.#revision = revisionOf(entry);
    const renewed = own && !record?.released;
    const term = renewed ? record?.term ?? 1 : (record?.term ?? 0) + 1;
    this.#previousHolder = previousVmOf(record, this.#holder);
    const outcome = await this.#write(term, { released: false });
    const fresh = this.#clock.elapsedMs(this.#currentSentAt) < this.#durationMs;
    return outcome === WriteOutcome.Applied && fresh ? term : undefined;
  }

  #isFree(record: LeaseRecord | undefined, unchangedMs: number): boolean {
    if (record === undefined || record.released) return true;
    return unchangedMs >= Math.max(record.leaseMs, this.#leaseMs);
  }

  /** Renews until the lease ends; returns whether another process took it. */
  async #renew(lease: HeldLease): Promise<boolean> {
    while (!lease.signal.aborted) {
      await this.#clock.sleep(this.#renewalIntervalMs(), lease.signal);
      if (lease.signal.aborted) break;
      const outcome = await this.#write(lease.term, { released: false });
      if (outcome === WriteOutcome.Conflict) {
        lease.revoke();
        return true;
      }
      if (outcome === WriteOutcome.Applied) lease.extend(this.#currentSentAt);
    }
    return false;
  }

  async #write(
    term: number,
    options: { released: boolean },
  ): Promise<WriteOutcome> {
    const attempt = randomUUID();
    const record: LeaseRecord = {
      term,
      holder: this.#holder,
      attempt,
      leaseMs: this.#leaseMs,
      released: options.released,
      before: this.#previousHolder,
    };
    const sentAt = this.#clock.moment();
    this.#sentAt = new Map([...this.#sentAt, [attempt, sentAt]]);
    const answer = await this.#keyValue.swap(this.#key(), {
      value: JSON.stringify(record),
      expected: this.#revision,
    });
    if (answer.err) {
      return answer.val.fault === Fault.Unknown
        ? await this.#readOutcome(term)
        : WriteOutcome.Undetermined;
    }
    if (!answer.val.applied) return this.#outcomeFrom(answer.val.current, term);
    this.#applied(answer.val.revision, { attempt, sentAt });
    return WriteOutcome.Applied;
  }

  /** Resolves an unknown outcome by reading the record. */
  async #readOutcome(term: number): Promise<WriteOutcome> {
    const found = await this.#keyValue.get(this.#key());
    return found.ok
      ? this.#outcomeFrom(found.val, term)
      : WriteOutcome.Undetermined;
  }

  /** Derives the outcome of own writes of `term` from the current record. */
  #outcomeFrom(entry: Option<KeyValueEntry>, term: number): WriteOutcome {
    const revision = revisionOf(entry);
    const record = recordOf(entry);
    const sentAt = record && this.#sentAt.get(record.attempt);
    const kept = record?.term === term && !record.released;
    if (kept && sentAt !== undefined) {
      // The record before the write is an own one too: only a newer revision
      // proves that the write was applied.
      if (revision === this.#revision) return WriteOutcome.Undetermined;
      this.#applied(revision, { attempt: record.attempt, sentAt });
      return WriteOutcome.Applied;
    }
    return revision === this.#revision
      ? WriteOutcome.Undetermined
      : WriteOutcome.Conflict;
  }

  #applied(
    revision: number,
    write: { attempt: string; sentAt: Moment },
  ): void {
    this.#revision = revision;
    this.#currentSentAt = write.sentAt;
    this.#sentAt = new Map([[write.attempt, write.sentAt]]);
  }

  #isOwnWrite(entry: Option<KeyValueEntry>): boolean {
    const attempt = recordOf(entry)?.attempt;
    return attempt !== undefined && this.#sentAt.has(attempt);
  }

  #key(): string {
    return DUTY_LEASE_PREFIX + this.#name;
  }
}

/** A lease while a process holds it. */
export class HeldLease {
  /** Fencing token; increases with each change of the holder. */
  readonly term: number;
  readonly #clock: Clock;
  readonly #outerSignal: AbortSignal;
  readonly #abort = new AbortController();
  readonly #revoked = new AbortController();
  readonly #end = () => this.end();
  readonly #durationMs: number;
  #since: Moment;
  #runningCount = 0;
  #lastRunAt = -Infinity;
  #cancelTimer = () => {};

  constructor(options: {
    clock: Clock;
    term: number;
    signal: AbortSignal;
    /** When the write that acquired or renewed the lease was sent. */
    since: Moment;
    /** Time from then for which the holder may act. */
    durationMs: number;
  }) {
    this.term = options.term;
    this.#clock = options.clock;
    this.#outerSignal = options.signal;
    this.#since = options.since;
    this.#durationMs = options.durationMs;
    // Each running action adds a listener.
    setMaxListeners(0, this.#revoked.signal);
    this.#outerSignal.addEventListener("abort", this.#end, { once: true });
    if (this.#outerSignal.aborted) this.end();
    else this.extend(options.since);
  }

  /** Aborts when the lease ends, for whatever reason. */
  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  get held(): boolean {
    return !this.signal.aborted && this.#leftMs(this.#since) > 0;
  }

  /**
   * Runs one action with a signal that aborts at the deadline known now; a
   * later renewal does not extend it. Returns `None` if the lease is not held.
   * The action must send its requests at once, or check the signal again
   * before it does.
   */
  async runWhileHeld<T>(
    run: (signal: AbortSignal) => Promise<T>,
  ): Promise<Option<T>> {
    if (!this.held) return none;
    const abort = new AbortController();
    const end = () => abort.abort();
    const since = this.#since;
    setExpiryCheck(abort.signal, () => this.#leftMs(since) <= 0);
    const cancel = this.#clock.after(this.#leftMs(since), end);
    this.#revoked.signal.addEventListener("abort", end, { once: true });
    this.#runningCount += 1;
    try {
      return some(await run(abort.signal));
    } finally {
      cancel();
      this.#revoked.signal.removeEventListener("abort", end);
      this.#runningCount -= 1;
      this.#lastRunAt = this.#clock.now();
    }
  }

  /** When the last action ended; the current time while one runs. */
  get lastRunEndedAt(): number {
    return this.#runningCount > 0 ? this.#clock.now() : this.#lastRunAt;
  }

  /** Extends the lease after a renewal that was sent at `since`. */
  extend(since: Moment): void {
    if (this.signal.aborted) return;
    this.#since = since;
    this.#cancelTimer();
    this.#cancelTimer = this.#clock.after(
      this.#leftMs(since),
      () => this.end(),
    );
  }

  /** Ends the lease and aborts the running actions. */
  revoke(): void {
    this.end();
    this.#revoked.abort();
  }

  #leftMs(since: Moment): number {
    return this.#durationMs - this.#clock.elapsedMs(since);
  }

  /** Ends the lease; running actions continue until their own deadline. */
  end(): void {
    this.#cancelTimer();
    this.#outerSignal.removeEventListener("abort", this.#end);
    this.#abort.abort();
  }
}

/** The VM of a holder, which is written as `VM/INCARNATION`. */
function vmOf(holder: string): string {
  return holder.split("/")[0];
}

/** The VM that held the lease before `holder` acquires it. */
function previousVmOf(record: LeaseRecord | undefined, holder: string): string {
  if (record === undefined) return "";
  const same = vmOf(record.holder) === vmOf(holder);
  return same ? record.before : vmOf(record.holder);
}

function revisionOf(entry: Option<KeyValueEntry>): number {
  return isNone(entry) ? 0 : entry.value.revision;
}

function recordOf(entry: Option<KeyValueEntry>): LeaseRecord | undefined {
  if (isNone(entry)) return undefined;
  const record = leaseRecordSchema.safeParse(parseJson(entry.value.value));
  return record.success ? record.data : UNREADABLE_RECORD;
}
