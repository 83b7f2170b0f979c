/**
 * The key-value service of the platform stand-in: compare-and-swap, leases and
 * watches over an in-memory map.
 *
 * @module
 */

import { randomUUID } from "node:crypto";

/** Maximum size of a value. */
export const MAX_VALUE_BYTES = 1 << 20;

/** A stored entry. */
export interface StoredEntry {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
}

/** The result of a compare-and-swap. */
export type StoredSwapResult =
  | { readonly applied: true; readonly revision: number }
  | { readonly applied: false; readonly current: StoredEntry | null };

interface Lease {
  readonly ttlMs: number;
  readonly keys: Set<string>;
  timer: NodeJS.Timeout;
}

/** Keys, their revisions and their leases. */
export class KeyValueStore {
  #revision = 0;
  readonly #entries = new Map<string, StoredEntry>();
  readonly #leases = new Map<string, Lease>();
  readonly #watchers = new Map<string, Set<() => void>>();

  /** Reads a key; `null` if it does not exist. */
  get(key: string): StoredEntry | null {
    return this.#entries.get(key) ?? null;
  }

  /** Reads keys under `prefix` in order, after the key `after`. */
  range(
    prefix: string,
    options: { after: string; limit: number },
  ): readonly StoredEntry[] {
    return [...this.#entries.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > options.after)
      .sort((a, b) => a.key < b.key ? -1 : 1)
      .slice(0, options.limit);
  }

  /** Writes if the revision matches; `undefined` if the lease does not exist. */
  swap(key: string, options: {
    value: string;
    expected: number;
    lease?: string | undefined;
  }): StoredSwapResult | undefined {
    const lease = options.lease ? this.#leases.get(options.lease) : undefined;
    if (options.lease && lease === undefined) return undefined;
    const current = this.get(key);
    if ((current?.revision ?? 0) !== options.expected) {
      return { applied: false, current };
    }
    this.#detachFromLeases(key);
    lease?.keys.add(key);
    const revision = ++this.#revision;
    this.#entries.set(key, { key, value: options.value, revision });
    this.#notify(key);
    return { applied: true, revision };
  }

  /** Deletes if the revision is as expected. */
  remove(key: string, expected: number): StoredSwapResult {
    const current = this.get(key);
    if ((current?.revision ?? 0) !== expected) {
      return { applied: false, current };
    }
    this.#delete(key);
    return { applied: true, revision: this.#revision };
  }

  /** Grants a lease. */
  grant(ttlMs: number): { id: string; ttlMs: number } {
    const id = randomUUID();
    const timer = setTimeout(() => this.revoke(id), ttlMs).unref();
    this.#leases.set(id, { ttlMs, keys: new Set(), timer });
    return { id, ttlMs };
  }

  /** Renews a lease; `undefined` if it expired. */
  renew(id: string): { id: string; ttlMs: number } | undefined {
    const lease = this.#leases.get(id);
    if (lease === undefined) return undefined;
    clearTimeout(lease.timer);
    lease.timer = setTimeout(() => this.revoke(id), lease.ttlMs).unref();
    return { id, ttlMs: lease.ttlMs };
  }

  /** Ends a lease and deletes the entries written under it. */
  revoke(id: string): void {
    const lease = this.#leases.get(id);
    if (lease === undefined) return;
    clearTimeout(lease.timer);
    this.#leases.delete(id);
    for (const key of lease.keys) this.#delete(key);
  }

  /** Waits until the key's revision differs from `known`, at most `waitMs`. */
  async watch(
    key: string,
    options: { known: number; waitMs: number },
  ): Promise<StoredEntry | null> {
    if ((this.get(key)?.revision ?? 0) === options.known) {
      await this.#changed(key, options.waitMs);
    }
    return this.get(key);
  }

  /** Stops all lease timers and wakes pending watches. */
  close(): void {
    for (const lease of this.#leases.values()) clearTimeout(lease.timer);
    for (const key of this.#watchers.keys()) this.#notify(key);
  }

  #changed(key: string, waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const watchers = this.#watchers.get(key) ?? new Set();
      this.#watchers.set(key, watchers);
      const done = () => {
        clearTimeout(timer);
        watchers.delete(done);
        resolve();
      };
      const timer = setTimeout(done, waitMs);
      watchers.add(done);
    });
  }

  #delete(key: string): void {
    if (!this.#entries.delete(key)) return;
    this.#detachFromLeases(key);
    this.#revision += 1;
    this.#notify(key);
  }

  #detachFromLeases(key: string): void {
    for (const lease of this.#leases.values()) lease.keys.delete(key);
  }

  #notify(key: string): void {
    for (const watcher of [...this.#watchers.get(key) ?? []]) watcher();
  }
}
