/**
 * The metering plug-in: counts here, hears of the others' counts, and while
 * this daemon holds the charge, seals each window once and reports it.
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
import { type Counts, type Share, Tally } from "./tally.ts";

const log = logger("metering");

const CHARGE = "metering";
const SECTION = "metering";
const COLLECT = "metering.collect";

/** The margin is the lease divided by this. */
const MARGIN_PER_LEASE = 3;

/** How often the holder looks for windows that are due. */
const ROUND_MS = 500;

/** Wait after a window's end for the counts that are on their way. */
const SETTLE_MS = 1200;

/** A daemon that doesn't tell its counts in time is counted as last heard. */
const COLLECT_TIMEOUT_MS = 1000;

/** Windows that are looked at again after a change of the holder. */
const LOOK_BACK = 3;

/** Windows whose counts are kept. */
const KEPT_WINDOWS = 8;

/** Where a sealed window lies, so that it is never reported with two contents. */
const SEAL_PREFIX = "toucanwind/metering/";

const counts = z.record(z.string(), z.number());
const share = z.object({ run: z.string(), window: z.number(), counts });
const shares = z.object({ shares: z.array(share) });
const collectBody = z.object({ window: z.number() });
const seal = z.object({ counts });

/** Counts by windows of the wall clock. */
export class WindowMetering extends Metering {
  override readonly props: Props;
  readonly #kernel: Kernel;
  readonly #peers: Peers;
  readonly #tally = new Tally();
  readonly #run: string;
  readonly #told = new Map<string, string>();
  readonly #done = new Set<number>();
  readonly #stop = new AbortController();
  readonly #charge: DutyLease;
  readonly #reports;
  #ended: Promise<void> = Promise.resolve();

  constructor(kernel: Kernel) {
    super();
    const { settings, platform, clock } = kernel;
    this.#kernel = kernel;
    this.#peers = kernel.get(peersKey);
    this.#run = `${settings.vm}/${kernel.incarnation}`;
    this.#charge = new DutyLease({
      keyValue: platform.keyValue,
      clock,
      name: CHARGE,
      holder: this.#run,
      leaseMs: settings.timing.leaseMs,
      marginMs: settings.timing.leaseMs / MARGIN_PER_LEASE,
      candidate: () => isCandidate(this.#peers, CHARGE),
    });
    this.#reports = kernel.counter(
      "toucanwind_metering_reports_total",
      "Reports of usage windows by outcome",
      ["outcome"],
    );
    this.props = {
      peerHandlers: { [COLLECT]: this.#collected },
      gossip: {
        [SECTION]: {
          offer: (peer) => this.#offer(peer),
          forget: (peer) => this.#told.delete(peer),
          accept: (body) => this.#accept(body),
        },
      },
      status: () => ({ run: this.#run, reported: [...this.#done].slice(-3) }),
    };
  }

  countRequest(organisation: string, wallMs: number): void {
    const window = Math.floor(wallMs / this.#windowMs);
    this.#tally.add({ run: this.#run, window }, organisation);
  }

  override start(): Promise<void> {
    this.#ended = this.#try();
    return Promise.resolve();
  }

  /** Tells the others what this daemon counted, and gives the charge up. */
  override async drain(): Promise<void> {
    this.#stop.abort();
    await this.#ended;
    this.#peers.poke(SECTION);
  }

  override stop(): Promise<void> {
    return this.drain();
  }

  get #windowMs(): number {
    return this.#kernel.settings.timing.usageWindowMs;
  }

  async #try(): Promise<void> {
    const { signal } = this.#stop;
    while (!signal.aborted) {
      await this.#charge.hold(signal, (tenure) => this.#serve(tenure));
    }
  }

  async #serve(tenure: HeldLease): Promise<void> {
    const { clock } = this.#kernel;
    log("charge", { held: true, term: tenure.term });
    let next = this.#current() - LOOK_BACK;
    while (!tenure.signal.aborted) {
      const endMs = (next + 1) * this.#windowMs + SETTLE_MS;
      if (clock.wall() < endMs) await clock.sleep(ROUND_MS, tenure.signal);
      else if (await this.#report(next, tenure)) next += 1;
      else await clock.sleep(ROUND_MS, tenure.signal);
      this.#forget();
    }
    log("charge", { held: false, term: tenure.term });
  }

  #current(): number {
    return Math.floor(this.#kernel.clock.wall() / this.#windowMs);
  }

  #forget(): void {
    const before = this.#current() - KEPT_WINDOWS;
    this.#tally.forget(before);
    for (const window of this.#done) {
      if (window < before) this.#done.delete(window);
    }
  }

  /** Seals a window and reports it; answers whether it is reported. */
  async #report(window: number, tenure: HeldLease): Promise<boolean> {
    if (this.#done.has(window)) return true;
    const sealed = await this.#seal(window);
    if (sealed === undefined) return false;
    const { platform, settings } = this.#kernel;
    const body = JSON.stringify({
      window,
      holder: settings.vm,
      term: tenure.term,
      counts: sealed,
    });
    const sent = await tenure.runWhileHeld((signal) =>
      platform.reports.send(`${window}`, body, signal)
    );
    if (isNone(sent)) return false;
    const fault = sent.value.err ? sent.value.val.fault : undefined;
    this.#reports.inc({ outcome: fault ?? "reported" });
    log("reported", {
      window,
      term: tenure.term,
      outcome: fault ?? "reported",
      counts: sealed,
    });
    if (fault === undefined) this.#done.add(window);
    // A newer holder has a higher term: repeating this call can't help.
    if (fault === Fault.Refused) await this.#kernel.clock.sleep(ROUND_MS);
    return fault === undefined;
  }

  /** The one content of a window's report: whoever writes it first sets it. */
  async #seal(window: number): Promise<Counts | undefined> {
    const { keyValue } = this.#kernel.platform;
    const key = `${SEAL_PREFIX}${window}`;
    const found = await keyValue.get(key);
    if (found.err) return undefined;
    if (!isNone(found.val)) return read(found.val.value.value);
    await this.#collect(window);
    const counts = this.#tally.sum(window);
    const value = JSON.stringify({ counts });
    const swap = await keyValue.swap(key, { value, expected: 0 });
    if (swap.ok && swap.val.applied) return counts;
    // The write may have been applied, now or later: the next look tells.
    return undefined;
  }

  async #collect(window: number): Promise<void> {
    const asked = this.#peers.members().map(async ({ vm }) => {
      const answer = await this.#peers.ask(vm, COLLECT, { window }, {
        timeoutMs: COLLECT_TIMEOUT_MS,
      });
      if (answer.err) {
        log("not told", { window, vm, reason: answer.val.reason });
        return;
      }
      this.#accept(answer.val);
    });
    await Promise.all(asked);
  }

  readonly #collected: PeerHandler = (body) => {
    const { window } = collectBody.parse(body);
    return Promise.resolve({ shares: this.#tally.shares(window) });
  };

  #offer(peer: string): { shares: readonly Share[] } | undefined {
    const own = this.#tally.of(this.#run);
    const text = JSON.stringify(own);
    if (own.length === 0 || this.#told.get(peer) === text) return undefined;
    this.#told.set(peer, text);
    return { shares: own };
  }

  #accept(body: unknown): void {
    for (const told of shares.parse(body).shares) {
      if (told.run !== this.#run) this.#tally.merge(told);
    }
  }
}

function read(text: string): Counts | undefined {
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
