/**
 * Sealing and reporting by the holder of the usage duty lease. A window is
 * sealed by one create-only write before any of its reports is sent, so that a
 * later holder resends identical texts.
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
import type { CollectRequest } from "./replicated_usage.ts";
import { createSeal, type Seal, type SealedWindow, windowOf } from "./seal.ts";

const log = logger("usage");

const SEALS_PREFIX = "toucanwind/usage/seal/";
const HEAD_KEY = "toucanwind/usage/head";
/** How often the lease holder checks for a window to seal. */
const POLL_MS = 500;
/** The margin of the duty lease is its duration divided by this. */
const LEASE_MARGIN_DIVISOR = 3;
/** If a daemon does not answer in time, the copies of its logs are used. */
const COLLECT_TIMEOUT_MS = 2_000;
/** Number of recent seals that are cached to recognise shared ids. */
const CACHED_SEALS = 32;
/** Number of seals that stay stored; older ones are deleted. */
const RETAINED_SEALS = 256;

/** Progress of sealing and reporting. */
interface ReportingHead {
  /** Start of the last sealed window. */
  readonly sealed: number;
  /** Start of the last window of which all reports were accepted. */
  readonly sent: number;
}

/** The summary of a log and the daemon that sent it. */
interface CollectedSummary {
  readonly vm: string;
  readonly summary: UsageLogSummary;
}

/** Seals windows and sends their reports while this daemon holds the lease. */
export class UsageReporter {
  readonly #kernel: Kernel;
  readonly #peers: Peers;
  readonly #dutyLease: DutyLease;
  readonly #sealedTotal;
  readonly #sentTotal;
  readonly #failures;
  #head: Option<ReportingHead> = none;
  #lease: Option<HeldLease> = none;
  #ended: Promise<void> = Promise.resolve();
  readonly #releaseController = new AbortController();
  /** Whether seals were deleted; a missing one may then have existed. */
  #sealsDeleted = false;
  #cachedSeals: readonly Seal[] = [];

  constructor(options: { kernel: Kernel; peers: Peers }) {
    this.#kernel = options.kernel;
    this.#peers = options.peers;
    const { platform, clock, settings } = options.kernel;
    this.#dutyLease = new DutyLease({
      keyValue: platform.keyValue,
      clock,
      name: "usage",
      holder: `${settings.vm}/${options.kernel.incarnation}`,
      leaseMs: settings.timing.leaseMs,
      marginMs: settings.timing.leaseMs / LEASE_MARGIN_DIVISOR,
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
    this.#ended = this.#run(
      AbortSignal.any([signal, this.#releaseController.signal]),
    );
  }

  /** Releases the duty lease so that a successor need not wait for its end. */
  async release(): Promise<void> {
    this.#releaseController.abort();
    await this.#ended;
  }

  /** The state of the duty lease for the status page. */
  status(): { charge: boolean; sealed: string; sent: string } {
    const head = isSome(this.#head) ? this.#head.value : { sealed: 0, sent: 0 };
    return {
      charge: isSome(this.#lease),
      sealed: new Date(head.sealed).toISOString(),
      sent: new Date(head.sent).toISOString(),
    };
  }

  async #run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#dutyLease.hold(signal, (lease) => this.#serve(lease));
    }
  }

  /** Seals windows and sends reports as long as the lease is held. */
  async #serve(lease: HeldLease): Promise<void> {
    this.#lease = some(lease);
    while (lease.held) {
      const result = await this.#sendAndSeal();
      if (result.err) this.#failures.inc({ fault: result.val.fault });
      await this.#kernel.clock.sleep(POLL_MS, lease.signal);
    }
    this.#lease = none;
    this.#head = none;
  }

  async #sendAndSeal(): Promise<Result<true, Failure>> {
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

  /** Reads the head or creates it; windows before it are not reported. */
  async #readHead(): Promise<Result<ReportingHead, Failure>> {
    const seals = await this.#readSeals();
    if (seals.err) return seals;
    this.#cachedSeals = seals.val;
    const entry = await this.#kernel.platform.keyValue.get(HEAD_KEY);
    if (entry.err) return entry;
    const last = this.#cachedSeals.at(-1)?.window ?? 0;
    if (isSome(entry.val)) {
      const head = JSON.parse(entry.val.value.value) as ReportingHead;
      return Ok({ ...head, sealed: Math.max(head.sealed, last) });
    }
    const first = await this.#firstWindow();
    const head = { sealed: first, sent: first };
    const written = await this.#writeHead(head);
    return written.err ? written : Ok(head);
  }

  async #readSeals(): Promise<Result<readonly Seal[], Failure>> {
    const { clock, platform, settings } = this.#kernel;
    const lookbackMs = CACHED_SEALS * settings.timing.usageWindowMs;
    const entries = await platform.keyValue.range(SEALS_PREFIX, {
      after: sealKey(windowOf(clock.wall() - lookbackMs, 1)),
    });
    return entries.map((found) =>
      found.map((entry) => JSON.parse(entry.value) as Seal)
    );
  }

  /** The window before that of the oldest log of any daemon. */
  async #firstWindow(): Promise<number> {
    const { usageWindowMs } = this.#kernel.settings.timing;
    const now = windowOf(this.#kernel.clock.wall(), usageWindowMs);
    const copies = await this.#collect(now);
    const oldest = copies.reduce(
      (min, { summary }) => Math.min(min, summary.window),
      now,
    );
    return oldest - usageWindowMs;
  }

  async #writeHead(head: ReportingHead): Promise<Result<true, Failure>> {
    const { keyValue } = this.#kernel.platform;
    const entry = await keyValue.get(HEAD_KEY);
    if (entry.err) return entry;
    const expected = isSome(entry.val) ? entry.val.value.revision : 0;
    const value = JSON.stringify(head);
    return this.#runWhileHeld(async () => {
      const swap = await keyValue.swap(HEAD_KEY, { value, expected });
      return swap.map(() => true as const);
    });
  }

  async #sealWindow(window: number): Promise<Result<true, Failure>> {
    const copies = await this.#collect(window);
    await this.#notifyMissed(copies, window);
    const sealedShared = new Set(
      this.#cachedSeals.flatMap((past) => past.shared),
    );
    const newSeal = createSeal(copies.map(({ summary }) => summary), {
      window,
      holder: this.#kernel.settings.vm,
      term: isSome(this.#lease) ? this.#lease.value.term : 0,
      attempt: randomUUID(),
      sealedShared,
    });
    const written = await this.#writeSeal(newSeal);
    if (written.err) return written;
    this.#cachedSeals = [...this.#cachedSeals, written.val].slice(
      -CACHED_SEALS,
    );
    this.#updateHead({ sealed: window });
    await this.#notifySealed(written.val);
    return this.#sendUnsent();
  }

  /** Writes the seal and returns it, or the one that already exists. */
  async #writeSeal(newSeal: Seal): Promise<Result<Seal, Failure>> {
    const { keyValue } = this.#kernel.platform;
    const key = sealKey(newSeal.window);
    const value = JSON.stringify(newSeal);
    const swap = await this.#runWhileHeld(() =>
      keyValue.swap(key, { value, expected: 0 })
    );
    if (swap.ok && swap.val.applied) {
      this.#sealedTotal.inc();
      log("window_sealed", {
        window: new Date(newSeal.window).toISOString(),
        tenants: Object.keys(newSeal.reports).length,
      });
      return Ok(newSeal);
    }
    // Refused, or the answer was lost: the stored seal applies.
    const existing = await keyValue.get(key);
    if (existing.err) return existing;
    if (isNone(existing.val)) return Err(sealMissing(key));
    return Ok(JSON.parse(existing.val.value.value) as Seal);
  }

  async #sendUnsent(): Promise<Result<true, Failure>> {
    if (isNone(this.#head)) return Ok(true);
    const { sealed, sent } = this.#head.value;
    if (sent >= sealed) return Ok(true);
    const { usageWindowMs } = this.#kernel.settings.timing;
    for (let window = sent + usageWindowMs; window <= sealed;) {
      const found = await this.#findSeal(window);
      if (found.err) return found;
      if (isNone(found.val)) return Err(sealMissing(sealKey(window)));
      const taken = await this.#send(found.val.value);
      if (taken.err) return taken;
      this.#updateHead({ sent: window });
      window += usageWindowMs;
    }
    await this.#deleteOldestSeal();
    return isSome(this.#head) ? this.#writeHead(this.#head.value) : Ok(true);
  }

  async #findSeal(window: number): Promise<Result<Option<Seal>, Failure>> {
    const cached = this.#cachedSeals.find((past) => past.window === window);
    if (cached !== undefined) return Ok(some(cached));
    const entry = await this.#kernel.platform.keyValue.get(sealKey(window));
    return entry.map((found) =>
      isNone(found) ? none : some(JSON.parse(found.value.value) as Seal)
    );
  }

  async #send(sealed: Seal): Promise<Result<true, Failure>> {
    const { reports } = this.#kernel.platform;
    for (const [organisation, body] of Object.entries(sealed.reports)) {
      const id = `${organisation}/${new Date(sealed.window).toISOString()}`;
      const taken = await this.#runWhileHeld((signal) =>
        reports.send(id, body, signal)
      );
      if (taken.err) return taken;
      this.#sentTotal.inc();
    }
    return Ok(true);
  }

  /** Runs a call with outside effects only within the margin of the lease. */
  async #runWhileHeld<T>(
    call: (signal: AbortSignal) => Promise<Result<T, Failure>>,
  ): Promise<Result<T, Failure>> {
    const done = isSome(this.#lease)
      ? await this.#lease.value.runWhileHeld(call)
      : none;
    return isSome(done) ? done.value : Err({
      fault: Fault.NotSent,
      message: "The usage charge is not held",
    });
  }

  /**
   * Summaries of all logs of windows up to `upTo`. Copies are requested only
   * for daemons that do not answer, in a second round; otherwise each log would
   * be sent three times.
   */
  async #collect(upTo: number): Promise<readonly CollectedSummary[]> {
    const members = this.#peers.members();
    const answers = await Promise.all(
      members.map(({ vm }) => this.#collectFrom(vm, { upTo })),
    );
    const silent = members.filter((_, n) => answers[n] === undefined)
      .map(({ incarnation }) => incarnation);
    const first = answers.flatMap((answer) => answer ?? []);
    if (silent.length === 0) return first;
    const copies = await Promise.all(
      members.filter((_, n) => answers[n] !== undefined)
        .map(({ vm }) => this.#collectFrom(vm, { upTo, copiesOf: silent })),
    );
    return [...first, ...copies.flatMap((answer) => answer ?? [])];
  }

  async #collectFrom(
    vm: string,
    request: CollectRequest,
  ): Promise<readonly CollectedSummary[] | undefined> {
    const answer = await this.#peers.ask(vm, "usage.collect", request, {
      timeoutMs: COLLECT_TIMEOUT_MS,
    });
    if (answer.err) return undefined;
    const summaries = answer.val as readonly UsageLogSummary[];
    return summaries.map((summary) => ({ vm, summary }));
  }

  /** Notifies daemons that still have logs of windows sealed before. */
  async #notifyMissed(
    copies: readonly CollectedSummary[],
    window: number,
  ): Promise<void> {
    const missed = copies.filter(({ summary }) => summary.window < window);
    const windows = [...new Set(missed.map(({ summary }) => summary.window))];
    for (const past of windows) {
      const found = await this.#findSeal(past);
      // Without its seal it is unknown what was billed of the window.
      if (found.err || (isNone(found.val) && this.#sealsDeleted)) continue;
      const sealed = isSome(found.val)
        ? found.val.value
        : { window: past, included: {} };
      const vms = missed.filter(({ summary }) => summary.window === past)
        .map(({ vm }) => vm);
      await this.#notifySealed(sealed, [...new Set(vms)]);
    }
  }

  async #notifySealed(
    { window, included }: SealedWindow,
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

  #updateHead(change: Partial<ReportingHead>): void {
    if (isNone(this.#head)) return;
    this.#head = some({ ...this.#head.value, ...change });
  }

  /** Deletes the oldest seal if there are more than are retained. */
  async #deleteOldestSeal(): Promise<void> {
    const { keyValue } = this.#kernel.platform;
    const oldest = await keyValue.range(SEALS_PREFIX, {
      limit: RETAINED_SEALS + 1,
    });
    if (oldest.err || oldest.val.length <= RETAINED_SEALS) return;
    this.#sealsDeleted = true;
    const entry = oldest.val[0] as KeyValueEntry;
    await keyValue.remove(entry.key, entry.revision);
  }
}

function sealKey(window: number): string {
  return SEALS_PREFIX + new Date(window).toISOString();
}

function sealMissing(key: string): Failure {
  return { fault: Fault.Unknown, message: `No seal at "${key}"` };
}
