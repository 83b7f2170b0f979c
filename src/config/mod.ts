/**
 * Interface of the configuration plug-in: the configuration in force on this
 * daemon, and the authorization of callers.
 *
 * @module
 */

import type { Option } from "fp-ts/Option";
import type { Result } from "ts-results";
import { Plugin, PluginKey, type Refusal } from "../kernel/mod.ts";
import type { CallerKey, Configuration, Route } from "../tables/mod.ts";

/** A caller with a valid key, or without one on an open route. */
export interface Caller {
  readonly organisation: string;
  /** Public id of the key; empty on an open route. */
  readonly keyId: string;
  /** Urgency set by the caller's contract; overrides that of the route. */
  readonly rank?: number;
  /** Regions in which the organisation's requests may run; absent for all. */
  readonly allowedRegions?: readonly string[];
}

/** The configuration in force, its freshness, and callers' keys. */
export abstract class ActiveConfiguration extends Plugin {
  /** The newest revision known; `None` before the first. */
  abstract current(): Option<Configuration>;

  /** Age in milliseconds of the view of the configuration; may be infinite. */
  abstract ageMs(): number;

  /** Whether the view is fresh enough to admit requests with keys. */
  abstract fresh(): boolean;

  /** Authorizes the caller with this key (not its hash) to use the route. */
  abstract authorize(
    route: Route,
    key: Option<string>,
  ): Result<Caller, Refusal>;

  /**
   * The organisation that holds this key (not its hash), whatever routes there
   * are.
   */
  abstract identify(key: Option<string>): Result<Caller, Refusal>;

  /** The key with this public id on the route, if still granted. */
  abstract granted(route: string, keyId: string): Option<CallerKey>;

  /** Calls `listener` after each new revision; returns a function to stop. */
  abstract onChange(
    listener: (configuration: Configuration) => void,
  ): () => void;
}

/** The key of the configuration plug-in. */
export const activeConfigurationKey = new PluginKey<ActiveConfiguration>(
  "config",
);
