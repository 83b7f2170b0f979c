/**
 * Sealing and reporting by the holder of the usage charge. A window is sealed
 * by one create-only write before anything of it is sent; whoever holds the
 * charge later sends the same text again.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { isNone, isSome, none, type Option, some } from "fp-ts/Option";
import { Err, Ok, type Result } from "ts-results";
import { type Kernel, logger } from "../kernel/mod.ts";
import {
  DutyLease,
  type HeldLease,
  isCandidate,
} from "../orders/duty_lease.ts";
import type { Peers } from "../peers/mod.ts";
import { type Failure, Fault, type KeyValueEntry } from "../outside/mod.ts";
import type { UsageLogSummary } from "./usage_log.ts";
import type { Collect } from "./replicated_usage.ts";
import { createSeal, type Seal, type Sealed, windowOf } from "./seal.ts";

const log = logger("usage");

const SEALS_PREFIX = "toucanwind/usage/seal/";
const HEAD_KEY = "toucanwind/usage/head";
/** How often the holder looks for a window to seal. */
const TICK_MS = 500;
/** The margin is the lease divided by this. */
const MARGIN_PER_LEASE = 3;
/** A daemon that does not answer in this time is left to its copies. */
const COLLECT_TIMEOUT_MS = 2_000;
/** Seals whose shared ids are remembered. */
const REMEMBERED_SEALS = 32;
/** Seals kept for the record; older ones are deleted. */
const KEPT_SEALS = 256;

/** How far sealing and sending went. */
interface Head {
  /** Start of the last sealed window. */
  readonly sealed: number;
  /** Start of the last window of which all reports were taken. */
  readonly sent: number;
}

/** A book with the daemon that told it. */
interface Collected {
  readonly vm: string;
  readonly copy: UsageLogSummary;
}

/** Seals windows and sends their reports while this daemon holds the charge. */
export class UsageReporter {
  readonly #kernel: Kernel;
  readonly #peers: Peers;
  readonly #charge: DutyLease;
  readonly #sealedTotal;
  readonly #sentTotal;
  readonly #failures;
  #head: Option<Head> = none;
  #tenure: Option<HeldLease> = none;
  #ended: Promise<void> = Promise.resolve();
  readonly #release = new AbortController();
  /** Whether seals were deleted, so that a missing one proves nothing. */
  #pruned = false;
  #seals: readonly Seal[] = [];

  constructor(options: { kernel: Kernel; peers: Peers }) {
    this.#kernel = options.kernel;
    this.#peers = options.peers;
    const { platform, clock, settings } = options.kernel;
    this.#charge = new DutyLease({
      keyValue: platform.keyValue,
      clock,
      name: "usage",
      holder: `${settings.vm}/${options.kernel.incarnation}`,
      leaseMs: settings.timing.leaseMs,
      marginMs: settings.timing.leaseMs / MARGIN_PER_LEASE,
      candidate: () => isCandidate(options.peers, "usage"),
    });
    this.#sealedTotal = options.kernel.counter(
      "toucanwind_usage_windows_sealed_total",
      "Usage windows that this daemon sealed",
    );
    this.#sentTotal = options.kernel.counter(
      "toucanwind_usage_reports_sent_total",
      "Usage reports that were taken, resends included",
    );
    this.#failures = options.kernel.counter(
      "toucanwind_usage_failures_total",
      "Failed calls while sealing and reporting, by what is known of them",
      ["fault"],
    );
  }

  /** Runs until `signal` aborts. */
  start(signal: AbortSignal): void {
    this.#ended = this.#run(AbortSignal.any([signal, this.#release.signal]));
  }

  /** Gives the charge up at once, so that a successor need not wait. */
  async release(): Promise<void> {
    this.#release.abort();
    await this.#ended;
  }

  /** The charge's state for the status page. */
  status(): { charge: boolean; sealed: string; sent: string } {
    const head = isSome(this.#head) ? this.#head.value : { sealed: 0, sent: 0 };
    return {
      charge: isSome(this.#tenure),
      sealed: new Date(head.sealed).toISOString(),
      sent: new Date(head.sent).toISOString(),
    };
  }

  async #run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#charge.hold(signal, (tenure) => this.#serve(tenure));
    }
  }

  /** Seals and sends as long as the tenure lasts. */
  async #serve(tenure: HeldLease): Promise<void> {
    this.#tenure = some(tenure);
    while (tenure.held) {
      const result = await this.#work();
      if (result.err) this.#failures.inc({ fault: result.val.fault });
      await this.#kernel.clock.sleep(TICK_MS, tenure.signal);
    }
    this.#tenure = none;
    this.#head = none;
  }

  async #work(): Promise<Result<true, Failure>> {
    const head = isSome(this.#head) ? Ok(this.#head.value) : await this
      .#readHead();
    if (head.err) return head;
    this.#head = some(head.val);
    const unsent = await this.#sendUnsent();
    if (unsent.err) return unsent;
    const { usageWindowMs, usageGraceMs } = this.#kernel.settings.timing;
    const window = head.val.sealed + usageWindowMs;
    const due = window + usageWindowMs + usageGraceMs;
    if (this.#kernel.clock.wall() < due) return Ok(true);
    return this.#sealWindow(window);
  }

  /** The head, made on the first run: windows before it are not reported. */
  async #readHead(): Promise<Result<Head, Failure>> {
    const seals = await this.#readSeals();
    if (seals.err) return seals;
    this.#seals = seals.val;
    const entry = await this.#kernel.platform.keyValue.get(HEAD_KEY);
    if (entry.err) return entry;
    const last = this.#seals.at(-1)?.window ?? 0;
    if (isSome(entry.val)) {
      const head = JSON.parse(entry.val.value.value) as Head;
      return Ok({ ...head, sealed: Math.max(head.sealed, last) });
    }
    const first = await this.#firstWindow();
    const head = { sealed: first, sent: first };
    const written = await this.#writeHead(head);
    return written.err ? written : Ok(head);
  }

  async #readSeals(): Promise<Result<readonly Seal[], Failure>> {
    const { clock, platform, settings } = this.#kernel;
    const backMs = REMEMBERED_SEALS * settings.timing.usageWindowMs;
    const entries = await platform.keyValue.range(SEALS_PREFIX, {
      after: sealKey(windowOf(clock.wall() - backMs, 1)),
    });
    return entries.map((found) =>
      found.map((entry) => JSON.parse(entry.value) as Seal)
    );
  }

  /** The window before the oldest book of any daemon. */
  async #firstWindow(): Promise<number> {
    const { usageWindowMs } = this.#kernel.settings.timing;
    const now = windowOf(this.#kernel.clock.wall(), usageWindowMs);
    const copies = await this.#collect(now);
    const oldest = copies.reduce(
      (min, { copy }) => Math.min(min, copy.window),
      now,
    );
    return oldest - usageWindowMs;
  }

  async #writeHead(head: Head): Promise<Result<true, Failure>> {
    const { keyValue } = this.#kernel.platform;
    const entry = await keyValue.get(HEAD_KEY);
    if (entry.err) return entry;
    const expected = isSome(entry.val) ? entry.val.value.revision : 0;
    const value = JSON.stringify(head);
    return this.#act(async () => {
      const swap = await keyValue.swap(HEAD_KEY, { value, expected });
      return swap.map(() => true as const);
    });
  }

  async #sealWindow(window: number): Promise<Result<true, Failure>> {
    const copies = await this.#collect(window);
    await this.#tellMissed(copies, window);
    const sealedShared = new Set(this.#seals.flatMap((past) => past.shared));
    const made = createSeal(copies.map(({ copy }) => copy), {
      window,
      holder: this.#kernel.settings.vm,
      term: isSome(this.#tenure) ? this.#tenure.value.term : 0,
      attempt: randomUUID(),
      sealedShared,
    });
    const written = await this.#writeSeal(made);
    if (written.err) return written;
    this.#seals = [...this.#seals, written.val].slice(-REMEMBERED_SEALS);
    this.#advance({ sealed: window });
    await this.#tell(written.val);
    return this.#sendUnsent();
  }

  /** Writes the seal; one that is there already stands. */
  async #writeSeal(made: Seal): Promise<Result<Seal, Failure>> {
    const { keyValue } = this.#kernel.platform;
    const key = sealKey(made.window);
    const value = JSON.stringify(made);
    const swap = await this.#act(() =>
      keyValue.swap(key, { value, expected: 0 })
    );
    if (swap.ok && swap.val.applied) {
      this.#sealedTotal.inc();
      log("window_sealed", {
        window: new Date(made.window).toISOString(),
        tenants: Object.keys(made.reports).length,
      });
      return Ok(made);
    }
    // Lost, or its answer was: what is there now is the seal.
    const there = await keyValue.get(key);
    if (there.err) return there;
    if (isNone(there.val)) return Err(notWritten(key));
    return Ok(JSON.parse(there.val.value.value) as Seal);
  }

  async #sendUnsent(): Promise<Result<true, Failure>> {
    if (isNone(this.#head)) return Ok(true);
    const { sealed, sent } = this.#head.value;
    if (sent >= sealed) return Ok(true);
    const { usageWindowMs } = this.#kernel.settings.timing;
    for (let window = sent + usageWindowMs; window <= sealed;) {
      const found = await this.#findSeal(window);
      if (found.err) return found;
      if (isNone(found.val)) return Err(notWritten(sealKey(window)));
      const taken = await this.#send(found.val.value);
      if (taken.err) return taken;
      this.#advance({ sent: window });
      window += usageWindowMs;
    }
    await this.#prune();
    return isSome(this.#head) ? this.#writeHead(this.#head.value) : Ok(true);
  }

  async #findSeal(window: number): Promise<Result<Option<Seal>, Failure>> {
    const known = this.#seals.find((past) => past.window === window);
    if (known !== undefined) return Ok(some(known));
    const entry = await this.#kernel.platform.keyValue.get(sealKey(window));
    return entry.map((found) =>
      isNone(found) ? none : some(JSON.parse(found.value.value) as Seal)
    );
  }

  async #send(sealed: Seal): Promise<Result<true, Failure>> {
    const { reports } = this.#kernel.platform;
    for (const [tenant, body] of Object.entries(sealed.reports)) {
      const id = `${tenant}/${new Date(sealed.window).toISOString()}`;
      const taken = await this.#act((signal) => reports.send(id, body, signal));
      if (taken.err) return taken;
      this.#sentTotal.inc();
    }
    return Ok(true);
  }

  /** Runs one outside act inside the margin of the charge. */
  async #act<T>(
    act: (signal: AbortSignal) => Promise<Result<T, Failure>>,
  ): Promise<Result<T, Failure>> {
    const done = isSome(this.#tenure)
      ? await this.#tenure.value.runWhileHeld(act)
      : none;
    return isSome(done) ? done.value : Err({
      fault: Fault.NotSent,
      message: "The usage charge is not held",
    });
  }

  /**
   * All books of windows up to `upTo`. The copies of a daemon that does not
   * answer are asked for in a second round, so that books which their own
   * daemons tell do not come three times.
   */
  async #collect(upTo: number): Promise<readonly Collected[]> {
    const members = this.#peers.members();
    const answers = await Promise.all(
      members.map(({ vm }) => this.#ask(vm, { upTo })),
    );
    const silent = members.filter((_, n) => answers[n] === undefined)
      .map(({ incarnation }) => incarnation);
    const first = answers.flatMap((answer) => answer ?? []);
    if (silent.length === 0) return first;
    const copies = await Promise.all(
      members.filter((_, n) => answers[n] !== undefined)
        .map(({ vm }) => this.#ask(vm, { upTo, copiesOf: silent })),
    );
    return [...first, ...copies.flatMap((answer) => answer ?? [])];
  }

  async #ask(
    vm: string,
    collect: Collect,
  ): Promise<readonly Collected[] | undefined> {
    const answer = await this.#peers.ask(vm, "usage.collect", collect, {
      timeoutMs: COLLECT_TIMEOUT_MS,
    });
    if (answer.err) return undefined;
    const books = answer.val as readonly UsageLogSummary[];
    return books.map((copy) => ({ vm, copy }));
  }

  /** Tells daemons that still have books of windows that were sealed. */
  async #tellMissed(
    copies: readonly Collected[],
    window: number,
  ): Promise<void> {
    const missed = copies.filter(({ copy }) => copy.window < window);
    const windows = [...new Set(missed.map(({ copy }) => copy.window))];
    for (const past of windows) {
      const found = await this.#findSeal(past);
      // Without its seal nobody can say what was billed of the window.
      if (found.err || (isNone(found.val) && this.#pruned)) continue;
      const sealed = isSome(found.val)
        ? found.val.value
        : { window: past, included: {} };
      const vms = missed.filter(({ copy }) => copy.window === past)
        .map(({ vm }) => vm);
      await this.#tell(sealed, [...new Set(vms)]);
    }
  }

  async #tell(
    { window, included }: Sealed,
    vms = this.#peers.members().map(({ vm }) => vm),
  ): Promise<void> {
    await Promise.all(
      vms.map((vm) =>
        this.#peers.ask(vm, "usage.sealed", { window, included }, {
          timeoutMs: COLLECT_TIMEOUT_MS,
        })
      ),
    );
  }

  #advance(change: Partial<Head>): void {
    if (isNone(this.#head)) return;
    this.#head = some({ ...this.#head.value, ...change });
  }

  /** Deletes the oldest seal beyond those kept. */
  async #prune(): Promise<void> {
    const { keyValue } = this.#kernel.platform;
    const oldest = await keyValue.range(SEALS_PREFIX, {
      limit: KEPT_SEALS + 1,
    });
    if (oldest.err || oldest.val.length <= KEPT_SEALS) return;
    this.#pruned = true;
    const entry = oldest.val[0] as KeyValueEntry;
    await keyValue.remove(entry.key, entry.revision);
  }
}

function sealKey(window: number): string {
  return SEALS_PREFIX + new Date(window).toISOString();
}

function notWritten(key: string): Failure {
  return { fault: Fault.Unknown, message: `No seal at "${key}"` };
}
