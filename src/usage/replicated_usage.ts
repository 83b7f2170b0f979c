/**
 * The usage plug-in: writes uses down, copies them to peers before an answer
 * is released, and lets the holder of the charge collect them.
 *
 * @module
 */

import { type Kernel, logger, type Props, register } from "../kernel/mod.ts";
import { type Member, type Peers, peersKey } from "../peers/mod.ts";
import {
  type BookEntry,
  type BookId,
  Shelf,
  type UsageLog,
  type UsageLogSummary,
} from "./usage_log.ts";
import { Usage, usageKey, type UsageRecord } from "./mod.ts";
import { UsageReporter } from "./usage_reporter.ts";
import { type Sealed, windowOf } from "./seal.ts";

const log = logger("usage");

/** Peers that keep a copy of each book. */
const BACKUPS = 2;
/** A backup that does not answer in this time is not waited for. */
const REPLICATE_TIMEOUT_MS = 1_000;
/** Most entries of one message to a backup. */
const MAX_BATCH = 2_000;
/** How often unfinished copies and old books are looked at. */
const SWEEP_MS = 1_000;
/** Windows without a seal, after which a book is dropped unreported. */
const KEPT_WINDOWS = 1_440;

interface Replicate {
  readonly id: BookId;
  readonly from: number;
  readonly entries: readonly BookEntry[];
}

/** Which books the holder of the charge asks for. */
export interface Collect {
  /** Start of the last window asked for. */
  readonly upTo: number;
  /** Runs whose daemons did not answer; their copies are asked for. */
  readonly copiesOf?: readonly string[];
}

/** A backup and how far it holds each of this daemon's books. */
interface Copy {
  seq: number;
  busy: boolean;
}

/** Records uses in this daemon's books and keeps copies of its peers'. */
export class ReplicatedUsage extends Usage {
  override readonly props: Props;
  readonly #kernel: Kernel;
  readonly #peers: Peers;
  readonly #own = new Shelf();
  readonly #copies = new Shelf();
  readonly #sent = new Map<string, Copy>();
  readonly #ended = new AbortController();
  readonly #reporting: UsageReporter;
  readonly #recorded;
  readonly #unreplicated;
  readonly #late;
  #window = 0;
  #waiters: { book: UsageLog; seq: number; done: () => void }[] = [];

  constructor(kernel: Kernel) {
    super();
    this.#kernel = kernel;
    this.#peers = kernel.get(peersKey);
    this.#recorded = kernel.counter(
      "toucanwind_usage_recorded_total",
      "Uses written down by this daemon",
    );
    this.#unreplicated = kernel.counter(
      "toucanwind_usage_unreplicated_total",
      "Uses released without a copy, because no peer could take one",
    );
    this.#late = kernel.counter(
      "toucanwind_usage_late_total",
      "Uses moved to a later window, because their own was sealed",
    );
    this.#reporting = new UsageReporter({
      kernel,
      peers: this.#peers,
    });
    this.props = {
      peerHandlers: {
        "usage.replicate": (body) => this.#onReplicate(body as Replicate),
        "usage.collect": (body) =>
          Promise.resolve(this.#collect(body as Collect)),
        "usage.sealed": (body) => this.#onSealed(body as Sealed),
      },
      status: () => ({
        window: new Date(this.#window).toISOString(),
        books: this.#own.books.length,
        copies: this.#copies.books.length,
        ...this.#reporting.status(),
      }),
    };
  }

  override start(): Promise<void> {
    void this.#sweep();
    this.#reporting.start(this.#ended.signal);
    return Promise.resolve();
  }

  override async drain(): Promise<void> {
    await Promise.all(this.#own.books.map((book) => this.#replicate(book)));
    await this.#reporting.release();
  }

  override stop(): Promise<void> {
    this.#ended.abort();
    return Promise.resolve();
  }

  record(use: UsageRecord): Promise<void> {
    return this.#write(use, 0);
  }

  async #write(use: UsageRecord, lateFrom: number): Promise<void> {
    const book = this.#openBook();
    // The id matters only where two daemons may record the use.
    const kept = use.shared === true ? use : { ...use, id: "" };
    const seq = book.add(kept, lateFrom);
    this.#recorded.inc();
    const copied = new Promise<void>((done) => {
      this.#waiters.push({ book, seq, done });
    });
    void this.#replicate(book);
    await copied;
  }

  /** The current window's book. Windows only move forward, as books close. */
  #openBook(): UsageLog {
    const { clock, incarnation, settings } = this.#kernel;
    const { usageWindowMs } = settings.timing;
    const window = windowOf(clock.wall(), usageWindowMs);
    this.#window = Math.max(this.#window, window);
    return this.#own.open({ incarnation, window: this.#window });
  }

  #backups(): readonly Member[] {
    return this.#peers.ranked(`usage/${this.#peers.self.vm}`)
      .filter((member) => member.vm !== this.#peers.self.vm)
      .slice(0, BACKUPS);
  }

  async #replicate(book: UsageLog): Promise<void> {
    const backups = this.#backups();
    if (backups.length === 0) return this.#settle(book, book.seq, false);
    await Promise.all(backups.map((backup) => this.#copyTo(backup, book)));
  }

  /** Brings one backup up to date; one message to it is under way at a time. */
  async #copyTo(backup: Member, book: UsageLog): Promise<void> {
    const copy = this.#copyOf(backup, book);
    if (copy.busy) return;
    copy.busy = true;
    while (copy.seq < book.seq) {
      const entries = book.after(copy.seq).slice(0, MAX_BATCH);
      const answer = await this.#peers.ask(
        backup.vm,
        "usage.replicate",
        { id: book.id, from: copy.seq, entries } satisfies Replicate,
        { timeoutMs: REPLICATE_TIMEOUT_MS },
      );
      if (answer.err) break;
      copy.seq = answer.val as number;
      this.#settle(book, copy.seq, true);
    }
    copy.busy = false;
    if (copy.seq < book.seq) this.#giveUpWithoutPeers(book);
  }

  #copyOf(backup: Member, book: UsageLog): Copy {
    const key = `${backup.incarnation}/${book.id.window}`;
    const copy = this.#sent.get(key) ?? { seq: 0, busy: false };
    this.#sent.set(key, copy);
    return copy;
  }

  /** Entries wait for a copy only while there is a peer that could hold it. */
  #giveUpWithoutPeers(book: UsageLog): void {
    if (this.#backups().length === 0) this.#settle(book, book.seq, false);
  }

  #settle(book: UsageLog, seq: number, replicated: boolean): void {
    const settled = this.#waiters
      .filter((waiter) => waiter.book === book && waiter.seq <= seq);
    this.#waiters = this.#waiters.filter((waiter) => !settled.includes(waiter));
    if (!replicated) this.#unreplicated.inc(settled.length);
    for (const waiter of settled) waiter.done();
  }

  #onReplicate(body: Replicate): Promise<unknown> {
    return Promise.resolve(this.#copies.open(body.id).merge(body.entries));
  }

  /**
   * Books of windows up to `upTo`: this daemon's own and its copies of runs
   * that have ended, or, where `copiesOf` names runs, its copies of those.
   */
  #collect({ upTo, copiesOf }: Collect): readonly UsageLogSummary[] {
    const copies = this.#copies.books.filter(({ id }) =>
      copiesOf === undefined
        ? !this.#alive(id.incarnation)
        : copiesOf.includes(id.incarnation)
    );
    const own = copiesOf === undefined ? this.#own.books : [];
    return [...own, ...copies]
      .filter((book) => book.id.window <= upTo)
      .map((book) => book.summary);
  }

  /** Entries that a seal left out go into the open window as late ones. */
  async #onSealed(sealed: Sealed): Promise<unknown> {
    const own = this.#own.books.filter((book) => inSeal(book, sealed));
    const orphaned = this.#copies.books
      .filter((book) => inSeal(book, sealed))
      .filter((book) => !this.#alive(book.id.incarnation));
    await Promise.all(
      [...own, ...orphaned].map((book) =>
        this.#carryOver(book, sealed.included[book.id.incarnation] ?? 0)
      ),
    );
    for (const book of own) this.#own.remove(book.id);
    for (const book of this.#copies.books) {
      if (inSeal(book, sealed)) this.#copies.remove(book.id);
    }
    return true;
  }

  /**
   * Carries the entries after number `seq` into the open window. A daemon
   * that was only thought dead carries the same entries itself, so they are
   * matched by their place in the book.
   */
  async #carryOver(book: UsageLog, seq: number): Promise<void> {
    const left = book.after(seq);
    if (left.length === 0) return;
    this.#late.inc(left.length);
    log("late_usage", { window: book.id.window, entries: left.length });
    await Promise.all(left.map((entry) => {
      const id = `${book.id.incarnation}/${book.id.window}/${entry.seq}`;
      const known = entry.use.shared === true ? entry.use.id : id;
      const use = { ...entry.use, id: known, shared: true };
      return this.#write(use, entry.lateFrom || book.id.window);
    }));
  }

  #alive(incarnation: string): boolean {
    return this.#peers.members()
      .some((member) => member.incarnation === incarnation);
  }

  async #sweep(): Promise<void> {
    const { clock, settings } = this.#kernel;
    const kept = KEPT_WINDOWS * settings.timing.usageWindowMs;
    while (!this.#ended.signal.aborted) {
      await clock.sleep(SWEEP_MS, this.#ended.signal);
      for (const book of this.#own.books) await this.#replicate(book);
      for (const book of this.#copies.books) {
        if (clock.wall() - book.id.window > kept) this.#copies.remove(book.id);
      }
    }
  }
}

function inSeal(book: UsageLog, sealed: Sealed): boolean {
  return book.id.window === sealed.window;
}

register({
  key: usageKey,
  requires: [peersKey],
  create: (kernel) => new ReplicatedUsage(kernel),
});
