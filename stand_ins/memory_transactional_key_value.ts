/**
 * An in-memory key-value service with transactions over several keys, whose
 * calls can be refused, take effect late or lose their responses.
 *
 * @module
 */

import { fromNullable, type Option } from "fp-ts/Option";
import { Err, Ok, type Result } from "ts-results";
import {
  type Failure,
  Fault,
  type KeyValueEntry,
  type KeyValueLease,
  type Snapshot,
  type Transaction,
  TransactionalKeyValue,
  type TransactionResult,
} from "../src/outside/mod.ts";

/** The outcome of a call. */
export enum CallOutcome {
  Answered = "answered",
  /** It takes effect, but its response is lost. */
  Lost = "lost",
  /** It takes effect `LATE_CALL_DELAY_MS` later if its condition holds then. */
  Late = "late",
  /** It has no effect, and the response says so. */
  Refused = "refused",
  /** It has no effect and gets no response. */
  Silent = "silent",
}

/** Time after which a late call takes effect. */
export const LATE_CALL_DELAY_MS = 80;

/** A write or deletion of a key. */
export interface ChangeEvent {
  readonly key: string;
  readonly revision: number;
  /** Absent if the key was deleted. */
  readonly value?: string;
}

interface StoredKeyValueEntry extends KeyValueEntry {
  readonly lease?: string;
}

interface Lease {
  readonly ttlMs: number;
  timer: NodeJS.Timeout;
}

const UNANSWERED: Failure = { fault: Fault.Unknown, message: "No answer" };
const REFUSED: Failure = { fault: Fault.Refused, message: "Busy" };

/** A `TransactionalKeyValue` in memory. */
export class MemoryTransactionalKeyValue extends TransactionalKeyValue {
  /** Decides the outcome of the next call of this name. */
  outcomeFor: (call: string) => CallOutcome = () => CallOutcome.Answered;
  /** All changes, oldest first, by revision. */
  readonly history: ChangeEvent[] = [];
  readonly #entries = new Map<string, StoredKeyValueEntry>();
  readonly #leases = new Map<string, Lease>();
  readonly #watchers = new Set<() => void>();
  #revision = 1;
  #leaseCount = 0;

  get revision(): number {
    return this.#revision;
  }

  get(key: string): Promise<Result<Option<KeyValueEntry>, Failure>> {
    return this.#call("get", () => fromNullable(this.#entries.get(key)));
  }

  range(
    prefix: string,
    options: { after?: string; limit?: number } = {},
  ): Promise<Result<readonly KeyValueEntry[], Failure>> {
    return this.#call("range", () => this.entriesUnder(prefix, options));
  }

  snapshot(
    prefix: string,
    options: { limit?: number } = {},
  ): Promise<Result<Snapshot, Failure>> {
    return this.#call("range", () => ({
      entries: this.entriesUnder(prefix, options),
      revision: this.#revision,
    }));
  }

  /** The entries under a prefix, read directly instead of by a call. */
  entriesUnder(
    prefix: string,
    options: { after?: string; limit?: number } = {},
  ): readonly KeyValueEntry[] {
    return [...this.#entries.values()]
      .filter(({ key }) =>
        key.startsWith(prefix) && key > (options.after ?? "")
      )
      .sort((a, b) => a.key < b.key ? -1 : 1)
      .slice(0, options.limit ?? Infinity);
  }

  commit(change: Transaction): Promise<Result<TransactionResult, Failure>> {
    return this.#call("commit", () => this.apply(change));
  }

  /** Applies a transaction directly instead of by a call. */
  apply(change: Transaction): TransactionResult {
    const differs = change.expected.some(({ key, revision }) =>
      (this.#entries.get(key)?.revision ?? 0) !== revision
    );
    if (differs) {
      const current = change.expected
        .flatMap(({ key }) => this.#entries.get(key) ?? []);
      return { applied: false, current };
    }
    const revision = ++this.#revision;
    for (const { key, value, lease } of change.writes) {
      this.#entries.set(key, { key, value, revision, lease });
      this.history.push({ key, revision, value });
    }
    for (const key of change.removes ?? []) {
      if (!this.#entries.delete(key)) continue;
      this.history.push({ key, revision });
    }
    for (const watcher of [...this.#watchers]) watcher();
    return { applied: true, revision };
  }

  /** Writes one key unconditionally, directly instead of by a call. */
  put(key: string, value: string): void {
    this.apply({ expected: [], writes: [{ key, value }] });
  }

  /** Deletes one key directly instead of by a call. */
  delete(key: string): void {
    this.apply({ expected: [], writes: [], removes: [key] });
  }

  grant(ttlMs: number): Promise<Result<KeyValueLease, Failure>> {
    return this.#call("grant", () => {
      const id = `${++this.#leaseCount}`;
      const timer = setTimeout(() => this.#expireLease(id), ttlMs).unref();
      this.#leases.set(id, { ttlMs, timer });
      return { id, ttlMs };
    });
  }

  async renew(id: string): Promise<Result<KeyValueLease, Failure>> {
    const renewed = await this.#call("renew", () => {
      const lease = this.#leases.get(id);
      lease?.timer.refresh();
      return lease === undefined ? undefined : { id, ttlMs: lease.ttlMs };
    });
    if (renewed.err) return renewed;
    return renewed.val === undefined ? Err(REFUSED) : Ok(renewed.val);
  }

  revoke(id: string): Promise<Result<true, Failure>> {
    return this.#call("revoke", () => {
      this.#expireLease(id);
      return true as const;
    });
  }

  async watch(
    key: string,
    options: { known: number; waitMs: number; signal?: AbortSignal },
  ): Promise<Result<Option<KeyValueEntry>, Failure>> {
    const changed = () => {
      const revision = this.#entries.get(key)?.revision ?? 0;
      return revision !== options.known;
    };
    if (!changed()) await this.waitUntil(changed, options);
    return await this.get(key);
  }

  /** Waits for a change after which `done` holds, for at most `waitMs`. */
  waitUntil(
    done: () => boolean,
    { waitMs, signal }: { waitMs: number; signal?: AbortSignal },
  ): Promise<void> {
    return new Promise((resolve) => {
      const end = () => {
        clearTimeout(timer);
        this.#watchers.delete(check);
        resolve();
      };
      const check = () => {
        if (done()) end();
      };
      const timer = setTimeout(end, waitMs).unref();
      this.#watchers.add(check);
      signal?.addEventListener("abort", end, { once: true });
      if (signal?.aborted) end();
    });
  }

  #expireLease(id: string): void {
    const lease = this.#leases.get(id);
    if (lease === undefined) return;
    clearTimeout(lease.timer);
    this.#leases.delete(id);
    const removes = [...this.#entries.values()]
      .filter((entry) => entry.lease === id).map(({ key }) => key);
    this.apply({ expected: [], writes: [], removes });
  }

  async #call<T>(name: string, run: () => T): Promise<Result<T, Failure>> {
    await new Promise((resolve) => setImmediate(resolve));
    switch (this.outcomeFor(name)) {
      case CallOutcome.Answered:
        return Ok(run());
      case CallOutcome.Lost:
        run();
        return Err(UNANSWERED);
      case CallOutcome.Late:
        setTimeout(run, LATE_CALL_DELAY_MS);
        return Err(UNANSWERED);
      case CallOutcome.Refused:
        return Err(REFUSED);
      case CallOutcome.Silent:
        return Err(UNANSWERED);
    }
  }
}
