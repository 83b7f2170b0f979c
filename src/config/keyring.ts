/**
 * Index of callers' keys by hash, including hashes that were withdrawn.
 *
 * @module
 */

import { fromNullable, type Option } from "fp-ts/Option";
import type {
  CallerKey,
  Configuration,
  Organisation,
  Route,
} from "../tables/mod.ts";

/** Most withdrawn hashes that are kept; the oldest are evicted first. */
const MAX_WITHDRAWN_HASHES = 100_000;

/** Status of a key's hash over all routes. */
export enum KeyStatus {
  Granted = "granted",
  Withdrawn = "withdrawn",
  Unknown = "unknown",
}

/**
 * The keys of the revisions seen so far. Lookups use the hash of the presented
 * key, so that their timing reveals nothing about other keys.
 */
export class Keyring {
  #routes: ReadonlyMap<string, Route> = new Map();
  #keys: ReadonlyMap<string, ReadonlyMap<string, CallerKey>> = new Map();
  #organisations: ReadonlyMap<string, Organisation> = new Map();
  #grantedHashes: ReadonlySet<string> = new Set();
  readonly #withdrawn = new Set<string>();

  /** Replaces the keys by those of a newer revision. */
  update(configuration: Configuration): void {
    const { routes, organisations = [] } = configuration.tables;
    const hashes = new Set([
      ...routes.flatMap((route) => route.keys.map((key) => key.sha256)),
      ...organisations.flatMap(({ keys }) => keys),
    ]);
    for (const hash of this.#grantedHashes) {
      if (!hashes.has(hash)) this.#withdraw(hash);
    }
    for (const hash of hashes) this.#withdrawn.delete(hash);
    this.#grantedHashes = hashes;
    this.#organisations = new Map(
      organisations.flatMap((one) => one.keys.map((hash) => [hash, one])),
    );
    this.#routes = new Map(routes.map((route) => [route.name, route]));
    this.#keys = new Map(
      routes.map((route) => [
        route.name,
        new Map(route.keys.map((key) => [key.sha256, key])),
      ]),
    );
  }

  /** The route with this name in the newest revision. */
  route(name: string): Route | undefined {
    return this.#routes.get(name);
  }

  /** The key with this hash on the route. */
  findByHash(route: string, sha256: string): Option<CallerKey> {
    return fromNullable(this.#keys.get(route)?.get(sha256));
  }

  /** The organisation that holds a key with this hash. */
  organisation(sha256: string): Option<Organisation> {
    return fromNullable(this.#organisations.get(sha256));
  }

  /** The key with this public id on the route. */
  findById(route: string, id: string): Option<CallerKey> {
    return fromNullable(
      this.#routes.get(route)?.keys.find((key) => key.id === id),
    );
  }

  /** Whether a hash is granted on any route or was withdrawn. */
  statusOf(sha256: string): KeyStatus {
    if (this.#grantedHashes.has(sha256)) return KeyStatus.Granted;
    if (this.#withdrawn.has(sha256)) return KeyStatus.Withdrawn;
    return KeyStatus.Unknown;
  }

  #withdraw(hash: string): void {
    this.#withdrawn.add(hash);
    if (this.#withdrawn.size <= MAX_WITHDRAWN_HASHES) return;
    const [oldest] = this.#withdrawn;
    this.#withdrawn.delete(oldest);
  }
}
