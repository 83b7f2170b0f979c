/**
 * The usage plug-in: appends usage records to a log, replicates them to peers
 * before a response is released, and lets the holder of the duty lease collect
 * them.
 *
 * @module
 */

import { type Kernel, logger, type Props, register } from "../kernel/mod.ts";
import { type Member, type Peers, peersKey } from "../peers/mod.ts";
import {
  type UsageLog,
  type UsageLogEntry,
  type UsageLogId,
  UsageLogs,
  type UsageLogSummary,
} from "./usage_log.ts";
import { Usage, usageKey, type UsageRecord } from "./mod.ts";
import { UsageReporter } from "./usage_reporter.ts";
import { type SealedWindow, windowOf } from "./seal.ts";

const log = logger("usage");

/** Number of peers that hold a copy of each log. */
const BACKUP_COUNT = 2;
/** A backup that does not answer in time is not waited for. */
const REPLICATE_TIMEOUT_MS = 1_000;
/** Maximum number of entries in one message to a backup. */
const MAX_ENTRIES_PER_MESSAGE = 2_000;
/** How often incomplete copies are resent and old copies removed. */
const SWEEP_INTERVAL_MS = 1_000;
/** Windows after which the copy of an unsealed log is dropped unreported. */
const RETAINED_WINDOWS = 1_440;

interface ReplicateRequest {
  readonly id: UsageLogId;
  readonly from: number;
  readonly entries: readonly UsageLogEntry[];
}

/** A request for logs by the holder of the duty lease. */
export interface CollectRequest {
  /** Start of the last requested window. */
  readonly upTo: number;
  /** Runs of daemons that did not answer, whose copies are requested. */
  readonly copiesOf?: readonly string[];
}

/** Up to which entry a backup has one of this daemon's logs. */
interface BackupProgress {
  seq: number;
  busy: boolean;
}

/** Records usage in this daemon's logs and holds copies of its peers' logs. */
export class ReplicatedUsage extends Usage {
  override readonly props: Props;
  readonly #kernel: Kernel;
  readonly #peers: Peers;
  readonly #ownLogs = new UsageLogs();
  readonly #copies = new UsageLogs();
  readonly #sent = new Map<string, BackupProgress>();
  readonly #ended = new AbortController();
  readonly #reporter: UsageReporter;
  readonly #recordedTotal;
  readonly #unreplicatedTotal;
  readonly #lateTotal;
  #window = 0;
  #waiters: { usageLog: UsageLog; seq: number; done: () => void }[] = [];

  constructor(kernel: Kernel) {
    super();
    this.#kernel = kernel;
    this.#peers = kernel.get(peersKey);
    this.#recordedTotal = kernel.counter(
      "toucanwind_usage_recorded_total",
      "Uses written down by this daemon",
    );
    this.#unreplicatedTotal = kernel.counter(
      "toucanwind_usage_unreplicated_total",
      "Uses released without a copy, because no peer could take one",
    );
    this.#lateTotal = kernel.counter(
      "toucanwind_usage_late_total",
      "Uses moved to a later window, because their own was sealed",
    );
    this.#reporter = new UsageReporter({
      kernel,
      peers: this.#peers,
    });
    this.props = {
      peerHandlers: {
        "usage.replicate": (body) =>
          this.#onReplicate(body as ReplicateRequest),
        "usage.collect": (body) =>
          Promise.resolve(this.#collect(body as CollectRequest)),
        "usage.sealed": (body) => this.#onSealed(body as SealedWindow),
      },
      status: () => ({
        window: new Date(this.#window).toISOString(),
        books: this.#ownLogs.logs.length,
        copies: this.#copies.logs.length,
        ...this.#reporter.status(),
      }),
    };
  }

  override start(): Promise<void> {
    void this.#sweep();
    this.#reporter.start(this.#ended.signal);
    return Promise.resolve();
  }

  override async drain(): Promise<void> {
    await Promise.all(
      this.#ownLogs.logs.map((usageLog) => this.#replicate(usageLog)),
    );
    await this.#reporter.release();
  }

  override stop(): Promise<void> {
    this.#ended.abort();
    return Promise.resolve();
  }

  record(use: UsageRecord): Promise<void> {
    return this.#append(use, 0);
  }

  async #append(use: UsageRecord, lateFrom: number): Promise<void> {
    const usageLog = this.#currentLog();
    // The id is needed only if other daemons may record the same usage.
    const stored = use.shared === true ? use : { ...use, id: "" };
    const seq = usageLog.add(stored, lateFrom);
    this.#recordedTotal.inc();
    const replicated = new Promise<void>((done) => {
      this.#waiters.push({ usageLog, seq, done });
    });
    void this.#replicate(usageLog);
    await replicated;
  }

  /** The log of the current window, which never moves back: logs get closed. */
  #currentLog(): UsageLog {
    const { clock, incarnation, settings } = this.#kernel;
    const { usageWindowMs } = settings.timing;
    const window = windowOf(clock.wall(), usageWindowMs);
    this.#window = Math.max(this.#window, window);
    return this.#ownLogs.open({ incarnation, window: this.#window });
  }

  #backups(): readonly Member[] {
    return this.#peers.ranked(`usage/${this.#peers.self.vm}`)
      .filter((member) => member.vm !== this.#peers.self.vm)
      .slice(0, BACKUP_COUNT);
  }

  async #replicate(usageLog: UsageLog): Promise<void> {
    const backups = this.#backups();
    if (backups.length === 0) return this.#ack(usageLog, usageLog.seq, false);
    await Promise.all(
      backups.map((backup) => this.#replicateTo(backup, usageLog)),
    );
  }

  /** Brings one backup up to date, with one message in flight at a time. */
  async #replicateTo(backup: Member, usageLog: UsageLog): Promise<void> {
    const progress = this.#progressOf(backup, usageLog);
    if (progress.busy) return;
    progress.busy = true;
    while (progress.seq < usageLog.seq) {
      const entries = usageLog.after(progress.seq).slice(
        0,
        MAX_ENTRIES_PER_MESSAGE,
      );
      const answer = await this.#peers.ask(
        backup.vm,
        "usage.replicate",
        {
          id: usageLog.id,
          from: progress.seq,
          entries,
        } satisfies ReplicateRequest,
        { timeoutMs: REPLICATE_TIMEOUT_MS },
      );
      if (answer.err) break;
      progress.seq = answer.val as number;
      this.#ack(usageLog, progress.seq, true);
    }
    progress.busy = false;
    if (progress.seq < usageLog.seq) this.#releaseWithoutBackups(usageLog);
  }

  #progressOf(backup: Member, usageLog: UsageLog): BackupProgress {
    const key = `${backup.incarnation}/${usageLog.id.window}`;
    const progress = this.#sent.get(key) ?? { seq: 0, busy: false };
    this.#sent.set(key, progress);
    return progress;
  }

  /** Stops waiting for a copy if there is no peer that could hold one. */
  #releaseWithoutBackups(usageLog: UsageLog): void {
    if (this.#backups().length === 0) this.#ack(usageLog, usageLog.seq, false);
  }

  #ack(usageLog: UsageLog, seq: number, replicated: boolean): void {
    const settled = this.#waiters
      .filter((waiter) => waiter.usageLog === usageLog && waiter.seq <= seq);
    this.#waiters = this.#waiters.filter((waiter) => !settled.includes(waiter));
    if (!replicated) this.#unreplicatedTotal.inc(settled.length);
    for (const waiter of settled) waiter.done();
  }

  #onReplicate(body: ReplicateRequest): Promise<unknown> {
    return Promise.resolve(this.#copies.open(body.id).merge(body.entries));
  }

  /**
   * Logs of windows up to `upTo`: this daemon's own and its copies of runs that
   * have ended or, if `copiesOf` is given, only its copies of those runs.
   */
  #collect({ upTo, copiesOf }: CollectRequest): readonly UsageLogSummary[] {
    const copies = this.#copies.logs.filter(({ id }) =>
      copiesOf === undefined
        ? !this.#alive(id.incarnation)
        : copiesOf.includes(id.incarnation)
    );
    const ownLogs = copiesOf === undefined ? this.#ownLogs.logs : [];
    return [...ownLogs, ...copies]
      .filter((usageLog) => usageLog.id.window <= upTo)
      .map((usageLog) => usageLog.summary);
  }

  /** Moves entries that a seal does not include to the open window as late. */
  async #onSealed(sealed: SealedWindow): Promise<unknown> {
    const ownLogs = this.#ownLogs.logs.filter((usageLog) =>
      isOfWindow(usageLog, sealed)
    );
    const orphaned = this.#copies.logs
      .filter((usageLog) => isOfWindow(usageLog, sealed))
      .filter((usageLog) => !this.#alive(usageLog.id.incarnation));
    await Promise.all(
      [...ownLogs, ...orphaned].map((usageLog) =>
        this.#carryOver(usageLog, sealed.included[usageLog.id.incarnation] ?? 0)
      ),
    );
    for (const usageLog of ownLogs) this.#ownLogs.remove(usageLog.id);
    for (const usageLog of this.#copies.logs) {
      if (isOfWindow(usageLog, sealed)) this.#copies.remove(usageLog.id);
    }
    return true;
  }

  /**
   * Carries the entries after number `seq` over to the open window. A daemon
   * wrongly considered dead carries over the same entries, so those that are
   * not shared yet are deduplicated by their position in the log.
   */
  async #carryOver(usageLog: UsageLog, seq: number): Promise<void> {
    const remaining = usageLog.after(seq);
    if (remaining.length === 0) return;
    this.#lateTotal.inc(remaining.length);
    log("late_usage", {
      window: usageLog.id.window,
      entries: remaining.length,
    });
    await Promise.all(remaining.map((entry) => {
      const id =
        `${usageLog.id.incarnation}/${usageLog.id.window}/${entry.seq}`;
      const recordId = entry.use.shared === true ? entry.use.id : id;
      const use = { ...entry.use, id: recordId, shared: true };
      return this.#append(use, entry.lateFrom || usageLog.id.window);
    }));
  }

  #alive(incarnation: string): boolean {
    return this.#peers.members()
      .some((member) => member.incarnation === incarnation);
  }

  async #sweep(): Promise<void> {
    const { clock, settings } = this.#kernel;
    const kept = RETAINED_WINDOWS * settings.timing.usageWindowMs;
    while (!this.#ended.signal.aborted) {
      await clock.sleep(SWEEP_INTERVAL_MS, this.#ended.signal);
      for (const own of this.#ownLogs.logs) await this.#replicate(own);
      for (const copy of this.#copies.logs) {
        if (clock.wall() - copy.id.window > kept) this.#copies.remove(copy.id);
      }
    }
  }
}

function isOfWindow(usageLog: UsageLog, sealed: SealedWindow): boolean {
  return usageLog.id.window === sealed.window;
}

register({
  key: usageKey,
  requires: [peersKey],
  create: (kernel) => new ReplicatedUsage(kernel),
});
