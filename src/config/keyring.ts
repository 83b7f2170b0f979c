/**
 * Callers' keys by their hash, and those that were granted once.
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

/** Most hashes of withdrawn keys that are remembered. */
const MAX_WITHDRAWN = 100_000;

/** What is known of a key's hash, over all routes. */
export enum Match {
  Granted = "granted",
  Withdrawn = "withdrawn",
  Unknown = "unknown",
}

/**
 * The keys of the revisions seen so far. Look-ups go by the hash of what the
 * caller showed, so their time tells nothing about any other key.
 */
export class Keyring {
  #routes: ReadonlyMap<string, Route> = new Map();
  #keys: ReadonlyMap<string, ReadonlyMap<string, CallerKey>> = new Map();
  #organisations: ReadonlyMap<string, Organisation> = new Map();
  #hashes: ReadonlySet<string> = new Set();
  readonly #withdrawn = new Set<string>();

  /** Takes in a newer revision. */
  update(configuration: Configuration): void {
    const { routes, organisations = [] } = configuration.tables;
    const hashes = new Set([
      ...routes.flatMap((route) => route.keys.map((key) => key.sha256)),
      ...organisations.flatMap(({ keys }) => keys),
    ]);
    for (const hash of this.#hashes) {
      if (!hashes.has(hash)) this.#withdraw(hash);
    }
    for (const hash of hashes) this.#withdrawn.delete(hash);
    this.#hashes = hashes;
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

  /** The route with this name, as of the newest revision. */
  route(name: string): Route | undefined {
    return this.#routes.get(name);
  }

  /** The key with this hash on the route. */
  find(route: string, sha256: string): Option<CallerKey> {
    return fromNullable(this.#keys.get(route)?.get(sha256));
  }

  /** The organisation that holds a key with this hash. */
  organisation(sha256: string): Option<Organisation> {
    return fromNullable(this.#organisations.get(sha256));
  }

  /** The key with this public name on the route. */
  named(route: string, id: string): Option<CallerKey> {
    return fromNullable(
      this.#routes.get(route)?.keys.find((key) => key.id === id),
    );
  }

  /** Whether a hash is granted anywhere, or was once. */
  match(sha256: string): Match {
    if (this.#hashes.has(sha256)) return Match.Granted;
    if (this.#withdrawn.has(sha256)) return Match.Withdrawn;
    return Match.Unknown;
  }

  #withdraw(hash: string): void {
    this.#withdrawn.add(hash);
    if (this.#withdrawn.size <= MAX_WITHDRAWN) return;
    const [oldest] = this.#withdrawn;
    this.#withdrawn.delete(oldest);
  }
}
