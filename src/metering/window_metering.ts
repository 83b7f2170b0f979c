/**
 * The metering plug-in: counts the requests of this daemon, receives the counts
 * of the others and, while it holds the duty lease, seals each window once and
 * reports it.
 *
 * @module
 */

import { isNone } from "fp-ts/Option";
import { z } from "zod";
import {
  type Kernel,
  logger,
  type PeerHandler,
  type Props,
  register,
} from "../kernel/mod.ts";
import {
  DutyLease,
  type HeldLease,
  isCandidate,
} from "../orders/duty_lease.ts";
import { Fault } from "../outside/mod.ts";
import { type Peers, peersKey } from "../peers/mod.ts";
import { Metering, meteringKey } from "./mod.ts";
import { type Counts, type RunCounts, WindowCounts } from "./window_counts.ts";

const log = logger("metering");

const DUTY = "metering";
const GOSSIP_SECTION = "metering";
const COLLECT_MESSAGE = "metering.collect";

/** The margin of the duty lease is its duration divided by this. */
const LEASE_MARGIN_DIVISOR = 3;

/** How often the lease holder checks for windows that are due. */
const POLL_MS = 500;

/** Delay after a window's end for counts in flight to arrive. */
const SETTLE_DELAY_MS = 1200;

/**
 * Longest wait for daemons by whose wall clock a window has not ended, or that
 * do not answer, so that it is not known.
 */
const MAX_CLOCK_WAIT_MS = 5000;

/** A daemon that never answers in time is counted as last received. */
const COLLECT_TIMEOUT_MS = 1000;

/** Past windows that a new lease holder checks again. */
const RECHECKED_WINDOWS = 3;

/** Past windows whose counts are retained. */
const RETAINED_WINDOWS = 8;

/** Key prefix of sealed windows, so that no window gets two contents. */
const SEAL_PREFIX = "toucanwind/metering/";

const counts = z.record(z.string(), z.number());
const share = z.object({ run: z.string(), window: z.number(), counts });
const shares = z.object({ shares: z.array(share) });
const collectBody = z.object({ window: z.number() });
const collectAnswer = shares.extend({
  /** The daemon's wall clock, by which it assigns requests to windows. */
  wallMs: z.number().optional(),
});
const seal = z.object({ counts });

/** Counts by usage window of the wall clock. */
export class WindowMetering extends Metering {
  override readonly props: Props;
  readonly #kernel: Kernel;
  readonly #peers: Peers;
  readonly #windowCounts = new WindowCounts();
  readonly #run: string;
  /** The counts last sent to each peer, as JSON. */
  readonly #lastSent = new Map<string, string>();
  /** Windows that were reported. */
  readonly #done = new Set<number>();
  readonly #stop = new AbortController();
  readonly #dutyLease: DutyLease;
  readonly #reports;
  #ended: Promise<void> = Promise.resolve();

  constructor(kernel: Kernel) {
    super();
    const { settings, platform, clock } = kernel;
    this.#kernel = kernel;
    this.#peers = kernel.get(peersKey);
    this.#run = `${settings.vm}/${kernel.incarnation}`;
    this.#dutyLease = new DutyLease({
      keyValue: platform.keyValue,
      clock,
      name: DUTY,
      holder: this.#run,
      leaseMs: settings.timing.leaseMs,
      marginMs: settings.timing.leaseMs / LEASE_MARGIN_DIVISOR,
      candidate: () => isCandidate(this.#peers, DUTY),
    });
    this.#reports = kernel.counter(
      "toucanwind_metering_reports_total",
      "Reports of usage windows by outcome",
      ["outcome"],
    );
    this.props = {
      peerHandlers: { [COLLECT_MESSAGE]: this.#handleCollect },
      gossip: {
        [GOSSIP_SECTION]: {
          offer: (peer) => this.#offer(peer),
          forget: (peer) => this.#lastSent.delete(peer),
          accept: (body) => this.#accept(body),
        },
      },
      status: () => ({ run: this.#run, reported: [...this.#done].slice(-3) }),
    };
  }

  countRequest(organisation: string, startedAtMs: number): void {
    const window = Math.floor(startedAtMs / this.#windowMs);
    this.#windowCounts.add({ run: this.#run, window }, organisation);
  }

  override start(): Promise<void> {
    this.#ended = this.#holdDutyLease();
    return Promise.resolve();
  }

  /** Releases the duty lease, then sends this daemon's counts to the peers. */
  override async drain(): Promise<void> {
    this.#stop.abort();
    await this.#ended;
    this.#peers.gossipNow(GOSSIP_SECTION);
  }

  override stop(): Promise<void> {
    return this.drain();
  }

  get #windowMs(): number {
    return this.#kernel.settings.timing.usageWindowMs;
  }

  async #holdDutyLease(): Promise<void> {
    const { signal } = this.#stop;
    while (!signal.aborted) {
      await this.#dutyLease.hold(signal, (lease) => this.#serve(lease));
    }
  }

  async #serve(lease: HeldLease): Promise<void> {
    const { clock } = this.#kernel;
    log("duty lease changed", { held: true, term: lease.term });
    let next = this.#current() - RECHECKED_WINDOWS;
    while (!lease.signal.aborted) {
      if (clock.wall() < this.#dueAt(next)) {
        await clock.sleep(POLL_MS, lease.signal);
      } else if (await this.#reportWindow(next, lease)) next += 1;
      else await clock.sleep(POLL_MS, lease.signal);
      this.#dropOldWindows();
    }
    log("duty lease changed", { held: false, term: lease.term });
  }

  #current(): number {
    return Math.floor(this.#kernel.clock.wall() / this.#windowMs);
  }

  /** When a window can be reported, by the wall clock of each daemon. */
  #dueAt(window: number): number {
    return (window + 1) * this.#windowMs + SETTLE_DELAY_MS;
  }

  #dropOldWindows(): void {
    const before = this.#current() - RETAINED_WINDOWS;
    this.#windowCounts.dropBefore(before);
    for (const window of this.#done) {
      if (window < before) this.#done.delete(window);
    }
  }

  /** Seals and reports a window; returns whether it has been reported. */
  async #reportWindow(window: number, lease: HeldLease): Promise<boolean> {
    if (this.#done.has(window)) return true;
    const sealed = await this.#seal(window);
    if (sealed === undefined) return false;
    const { platform, settings } = this.#kernel;
    const body = JSON.stringify({
      window,
      holder: settings.vm,
      term: lease.term,
      counts: sealed,
    });
    const sent = await lease.runWhileHeld((signal) =>
      platform.reports.send(`${window}`, body, signal)
    );
    if (isNone(sent)) return false;
    const fault = sent.value.err ? sent.value.val.fault : undefined;
    this.#reports.inc({ outcome: fault ?? "reported" });
    log("usage window reported", {
      window,
      term: lease.term,
      outcome: fault ?? "reported",
      counts: sealed,
    });
    if (fault === undefined) this.#done.add(window);
    // A newer holder has a higher term, so retrying at once can't succeed.
    if (fault === Fault.Refused) await this.#kernel.clock.sleep(POLL_MS);
    return fault === undefined;
  }

  /** The counts of a window's report; the first write of them is final. */
  async #seal(window: number): Promise<Counts | undefined> {
    const { keyValue } = this.#kernel.platform;
    const key = `${SEAL_PREFIX}${window}`;
    const found = await keyValue.get(key);
    if (found.err) return undefined;
    if (!isNone(found.val)) return parseSeal(found.val.value.value);
    const clocks = await this.#collect(window);
    const dueAt = this.#dueAt(window);
    const waits = this.#kernel.clock.wall() < dueAt + MAX_CLOCK_WAIT_MS;
    const allDue = clocks.every((wallMs) => wallMs >= dueAt);
    if (waits && !allDue) return undefined;
    const counts = this.#windowCounts.sum(window);
    const value = JSON.stringify({ counts });
    const swap = await keyValue.swap(key, { value, expected: 0 });
    if (swap.ok && swap.val.applied) return counts;
    // The write may still have been applied; the next poll reads the key.
    return undefined;
  }

  /** Gets the counts of all daemons, with their wall clocks if they answer. */
  async #collect(window: number): Promise<readonly number[]> {
    const requests = this.#peers.members().map(async ({ vm }) => {
      const answer = await this.#peers.ask(vm, COLLECT_MESSAGE, { window }, {
        timeoutMs: COLLECT_TIMEOUT_MS,
      });
      if (answer.err) {
        log("counts missing", { window, vm, reason: answer.val.reason });
        return -Infinity;
      }
      this.#accept(answer.val);
      const { wallMs } = collectAnswer.parse(answer.val);
      return wallMs ?? Infinity;
    });
    return await Promise.all(requests);
  }

  readonly #handleCollect: PeerHandler = (body) => {
    const { window } = collectBody.parse(body);
    return Promise.resolve({
      shares: this.#windowCounts.shares(window),
      wallMs: this.#kernel.clock.wall(),
    });
  };

  #offer(peer: string): { shares: readonly RunCounts[] } | undefined {
    const own = this.#windowCounts.ofRun(this.#run);
    const text = JSON.stringify(own);
    if (own.length === 0 || this.#lastSent.get(peer) === text) return undefined;
    this.#lastSent.set(peer, text);
    return { shares: own };
  }

  #accept(body: unknown): void {
    for (const received of shares.parse(body).shares) {
      if (received.run !== this.#run) this.#windowCounts.merge(received);
    }
  }
}

function parseSeal(text: string): Counts | undefined {
  try {
    return seal.parse(JSON.parse(text)).counts;
  } catch (error) {
    log("seal unreadable", { reason: String(error) });
    return undefined;
  }
}

register({
  key: meteringKey,
  requires: [peersKey],
  create: (kernel) => new WindowMetering(kernel),
});
