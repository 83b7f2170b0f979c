/**
 * A lease with a term, kept as one value of the key-value service, under which
 * one process at a time acts for all.
 *
 * The holder counts its time on its own monotonic clock from before it sent
 * the write that was applied, and stops `marginMs` before the lease ends. A
 * successor counts the whole lease from after it first saw that write. So
 * whatever the holder sent has `marginMs` to arrive before the successor acts,
 * and neither needs the other's clock or the service's.
 *
 * @module
 */

import { isNone, none, type Option, some } from "fp-ts/Option";
import { randomUUID } from "node:crypto";
import { setMaxListeners } from "node:events";
import { z } from "zod";
import { type Clock, logger, parseJson } from "../kernel/mod.ts";
import type { Peers } from "../peers/mod.ts";
import { expireWith } from "../outside/expiry.ts";
import { type Entry, Fault, type KeyValue } from "../outside/mod.ts";

const log = logger("charge");

/** Renewals within one lease. */
const BEATS_PER_LEASE = 4;

/** Looks at another holder's value within one lease. */
const LOOKS_PER_LEASE = 2;

/** Daemons that look at a charge which another one holds. */
const CANDIDATES = 3;

/**
 * Whether this daemon is one of the few that try for the charge `name`, so
 * that looks at it don't grow in number with the daemons.
 */
export function isCandidate(peers: Peers, name: string): boolean {
  return peers.ranked(DUTY_LEASE_PREFIX + name).slice(0, CANDIDATES)
    .some(({ vm }) => vm === peers.self.vm);
}

/** Where the key-value service holds the charges. */
export const DUTY_LEASE_PREFIX = "toucanwind/charge/";

/** The value of a charge. */
interface Holding {
  readonly term: number;
  readonly holder: string;
  /** Unique to the write, by which its author knows it again. */
  readonly attempt: string;
  readonly leaseMs: number;
  /** Whether the holder ended all its acts and gave the charge up. */
  readonly released: boolean;
  /** VM of the holder before; empty for the first one. */
  readonly before: string;
}

const holdingSchema = z.object({
  term: z.number(),
  holder: z.string(),
  attempt: z.string(),
  leaseMs: z.number(),
  released: z.boolean(),
  before: z.string().default(""),
});

/** Stands for a value that no charge wrote: it never gets free. */
const FOREIGN: Holding = {
  term: 0,
  holder: "",
  attempt: "",
  leaseMs: Infinity,
  released: false,
  before: "",
};

/** How a write to the charge's value ended. */
enum Write {
  Applied,
  /** Another process wrote in between. */
  Lost,
  /** It had no effect, or none that can be seen yet. */
  Open,
}

/** A lease with a term on the right to act for all. */
export class DutyLease {
  readonly #keyValue: KeyValue;
  readonly #clock: Clock;
  readonly #name: string;
  readonly #holder: string;
  readonly #leaseMs: number;
  readonly #marginMs: number;
  readonly #candidate: () => boolean;
  /** When own writes were sent that may be the value now, by attempt. */
  #sent: ReadonlyMap<string, number> = new Map();
  #revision = 0;
  /** VM of the holder before this one, as in the value. */
  #before = "";
  /** When the write that is the value now was sent, if it is an own one. */
  #from = -Infinity;

  constructor(options: {
    keyValue: KeyValue;
    clock: Clock;
    name: string;
    holder: string;
    leaseMs: number;
    /** Longest time that an act stays under way once it was aborted. */
    marginMs: number;
    /** Whether to try for the charge; asked again and again. */
    candidate?: () => boolean;
  }) {
    if (options.marginMs * 2 > options.leaseMs) {
      throw new RangeError(
        `Margin "${options.marginMs}" is over half of the lease`,
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
   * Waits for the charge, runs `act` with it, and gives it up. Returns when
   * `act` does, or when `signal` aborts before the charge was had. `act` must
   * end soon after the signal of its tenure aborts.
   */
  async hold(
    signal: AbortSignal,
    act: (tenure: HeldLease) => Promise<void>,
  ): Promise<void> {
    const term = await this.#acquire(signal);
    if (isNone(term)) return;
    const tenure = new HeldLease({
      clock: this.#clock,
      term: term.value,
      signal,
      deadline: this.#deadline(),
    });
    log("acquired", { name: this.#name, term: tenure.term });
    const renewals = this.#renew(tenure);
    try {
      await act(tenure);
    } finally {
      tenure.end();
      const lost = await renewals;
      log("ended", { name: this.#name, term: tenure.term, lost });
      if (!lost) await this.#release(tenure);
    }
  }

  // What the last act sent may be under way for the margin still.
  async #release(tenure: HeldLease): Promise<void> {
    const waitMs = tenure.actedAt + this.#marginMs - this.#clock.now();
    if (waitMs > 0) await this.#clock.sleep(waitMs);
    await this.#write(tenure.term, { released: true });
  }

  #deadline(): number {
    return this.#from + this.#leaseMs - this.#marginMs;
  }

  #beatMs(): number {
    return this.#leaseMs / BEATS_PER_LEASE;
  }

  async #acquire(signal: AbortSignal): Promise<Option<number>> {
    let seen = { revision: -1, at: 0 };
    let seenTerm = { term: -1, at: 0 };
    const lookMs = this.#leaseMs / LOOKS_PER_LEASE;
    for (; !signal.aborted; await this.#clock.sleep(lookMs, signal)) {
      if (!this.#candidate()) continue;
      const found = await this.#keyValue.get(this.#key());
      if (found.err || signal.aborted) continue;
      const now = this.#clock.now();
      const revision = revisionOf(found.val);
      if (seen.revision !== revision) seen = { revision, at: now };
      const held = holdingOf(found.val)?.term ?? 0;
      if (seenTerm.term !== held) seenTerm = { term: held, at: now };
      if (this.#returns(found.val, now - seenTerm.at)) continue;
      const term = await this.#take(found.val, now - seen.at);
      if (term !== undefined) return some(term);
    }
    return none;
  }

  /**
   * Whether this VM held the charge right before the present holder, a lease
   * ago at most: two holders that take turns look like two that both believe.
   */
  #returns(entry: Option<Entry>, termMs: number): boolean {
    const holding = holdingOf(entry);
    return holding !== undefined && holding.before === vmOf(this.#holder) &&
      vmOf(holding.holder) !== vmOf(this.#holder) && termMs < this.#leaseMs;
  }

  /** Takes the charge if it is free; answers with the term if it was had. */
  async #take(
    entry: Option<Entry>,
    unchangedMs: number,
  ): Promise<number | undefined> {
    const holding = holdingOf(entry);
    const own = this.#own(entry);
    if (!own && !this.#free(holding, unchangedMs)) return undefined;
    this.#revision = revisionOf(entry);
    const renewed = own && !holding?.released;
    const term = renewed ? holding?.term ?? 1 : (holding?.term ?? 0) + 1;
    this.#before = beforeOf(holding, this.#holder);
    const write = await this.#write(term, { released: false });
    const fresh = this.#clock.now() < this.#deadline();
    return write === Write.Applied && fresh ? term : undefined;
  }

  #free(holding: Holding | undefined, unchangedMs: number): boolean {
    if (holding === undefined || holding.released) return true;
    return unchangedMs >= Math.max(holding.leaseMs, this.#leaseMs);
  }

  /** Renews until the tenure ends; answers whether another process has it. */
  async #renew(tenure: HeldLease): Promise<boolean> {
    while (!tenure.signal.aborted) {
      await this.#clock.sleep(this.#beatMs(), tenure.signal);
      if (tenure.signal.aborted) break;
      const write = await this.#write(tenure.term, { released: false });
      if (write === Write.Lost) {
        tenure.cut();
        return true;
      }
      if (write === Write.Applied) tenure.extend(this.#deadline());
    }
    return false;
  }

  async #write(term: number, options: { released: boolean }): Promise<Write> {
    const attempt = randomUUID();
    const holding: Holding = {
      term,
      holder: this.#holder,
      attempt,
      leaseMs: this.#leaseMs,
      released: options.released,
      before: this.#before,
    };
    const sentAt = this.#clock.now();
    this.#sent = new Map([...this.#sent, [attempt, sentAt]]);
    const answer = await this.#keyValue.swap(this.#key(), {
      value: JSON.stringify(holding),
      expected: this.#revision,
    });
    if (answer.err) {
      return answer.val.fault === Fault.Unknown
        ? await this.#look(term)
        : Write.Open;
    }
    if (!answer.val.applied) return this.#recognize(answer.val.current, term);
    this.#applied(answer.val.revision, { attempt, sentAt });
    return Write.Applied;
  }

  /** Resolves an unknown outcome by reading. */
  async #look(term: number): Promise<Write> {
    const found = await this.#keyValue.get(this.#key());
    return found.ok ? this.#recognize(found.val, term) : Write.Open;
  }

  /** What the value says of own writes of this term. */
  #recognize(entry: Option<Entry>, term: number): Write {
    const revision = revisionOf(entry);
    const holding = holdingOf(entry);
    const sentAt = holding && this.#sent.get(holding.attempt);
    const kept = holding?.term === term && !holding.released;
    if (kept && sentAt !== undefined) {
      // The value that was there before the write is an own one too: only
      // one that is newer says that a write was applied.
      if (revision === this.#revision) return Write.Open;
      this.#applied(revision, { attempt: holding.attempt, sentAt });
      return Write.Applied;
    }
    return revision === this.#revision ? Write.Open : Write.Lost;
  }

  #applied(
    revision: number,
    write: { attempt: string; sentAt: number },
  ): void {
    this.#revision = revision;
    this.#from = write.sentAt;
    this.#sent = new Map([[write.attempt, write.sentAt]]);
  }

  #own(entry: Option<Entry>): boolean {
    const attempt = holdingOf(entry)?.attempt;
    return attempt !== undefined && this.#sent.has(attempt);
  }

  #key(): string {
    return DUTY_LEASE_PREFIX + this.#name;
  }
}

/** A stretch of time in which a process holds a charge. */
export class HeldLease {
  /** Rises with each tenure of another holder. */
  readonly term: number;
  readonly #clock: Clock;
  readonly #outer: AbortSignal;
  readonly #abort = new AbortController();
  readonly #cut = new AbortController();
  readonly #end = () => this.end();
  #deadline: number;
  #acting = 0;
  #actedAt = -Infinity;
  #cancel = () => {};

  constructor(options: {
    clock: Clock;
    term: number;
    signal: AbortSignal;
    deadline: number;
  }) {
    this.term = options.term;
    this.#clock = options.clock;
    this.#outer = options.signal;
    this.#deadline = options.deadline;
    // Each act under way listens.
    setMaxListeners(0, this.#cut.signal);
    this.#outer.addEventListener("abort", this.#end, { once: true });
    if (this.#outer.aborted) this.end();
    else this.extend(options.deadline);
  }

  /** Aborts when the tenure ends, whatever the reason. */
  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  /** Whether the charge is held at this moment. */
  get held(): boolean {
    return !this.signal.aborted && this.#clock.now() < this.#deadline;
  }

  /**
   * Runs one act with a signal that aborts when the time that is sure now
   * has passed; `None` when there is no such time. The act must send what it
   * sends at once or look at the signal again before it does.
   */
  async runWhileHeld<T>(
    run: (signal: AbortSignal) => Promise<T>,
  ): Promise<Option<T>> {
    if (!this.held) return none;
    const abort = new AbortController();
    const end = () => abort.abort();
    const deadline = this.#deadline;
    expireWith(abort.signal, () => this.#clock.now() >= deadline);
    const cancel = this.#clock.after(this.#deadline - this.#clock.now(), end);
    this.#cut.signal.addEventListener("abort", end, { once: true });
    this.#acting += 1;
    try {
      return some(await run(abort.signal));
    } finally {
      cancel();
      this.#cut.signal.removeEventListener("abort", end);
      this.#acting -= 1;
      this.#actedAt = this.#clock.now();
    }
  }

  /** When the last act ended; now, if one runs. */
  get actedAt(): number {
    return this.#acting > 0 ? this.#clock.now() : this.#actedAt;
  }

  /** Moves the tenure's end, after a renewal. */
  extend(deadline: number): void {
    if (this.signal.aborted) return;
    this.#deadline = deadline;
    this.#cancel();
    this.#cancel = this.#clock.after(
      deadline - this.#clock.now(),
      () => this.end(),
    );
  }

  /** Ends the tenure, and the acts under way with it. */
  cut(): void {
    this.end();
    this.#cut.abort();
  }

  /** Ends the tenure; acts under way go on to their own bound. */
  end(): void {
    this.#cancel();
    this.#outer.removeEventListener("abort", this.#end);
    this.#abort.abort();
  }
}

/** The VM of a holder, which is a VM and a run of its daemon. */
function vmOf(holder: string): string {
  return holder.split("/")[0];
}

/** Who held the charge before `holder` takes it. */
function beforeOf(holding: Holding | undefined, holder: string): string {
  if (holding === undefined) return "";
  const same = vmOf(holding.holder) === vmOf(holder);
  return same ? holding.before : vmOf(holding.holder);
}

function revisionOf(entry: Option<Entry>): number {
  return isNone(entry) ? 0 : entry.value.revision;
}

function holdingOf(entry: Option<Entry>): Holding | undefined {
  if (isNone(entry)) return undefined;
  const holding = holdingSchema.safeParse(parseJson(entry.value.value));
  return holding.success ? holding.data : FOREIGN;
}
