/**
 * The configuration in force on this daemon.
 *
 * @module
 */

import type { Option } from "fp-ts/Option";
import type { Result } from "ts-results";
import { Plugin, PluginKey, type Refusal } from "../kernel/mod.ts";
import type { CallerKey, Configuration, Route } from "../tables/mod.ts";

/** A caller that showed a good key, or none on an open route. */
export interface Caller {
  readonly organisation: string;
  /** Public name of the key; empty on an open route. */
  readonly keyId: string;
  /** Urgency that the caller's contract sets, before the route's. */
  readonly rank?: number;
}

/** The configuration in force, its freshness, and callers' keys. */
export abstract class ActiveConfiguration extends Plugin {
  /** The newest revision known; `None` before the first. */
  abstract current(): Option<Configuration>;

  /** Age in milliseconds of the view of the configuration; may be infinite. */
  abstract ageMs(): number;

  /** Whether keyed work may be admitted on this view. */
  abstract fresh(): boolean;

  /** Whether the caller with this key (not its hash) may use the route. */
  abstract authorize(
    route: Route,
    key: Option<string>,
  ): Result<Caller, Refusal>;

  /** The key with this public name on the route, if still granted. */
  abstract granted(route: string, keyId: string): Option<CallerKey>;

  /** Calls `listener` after each new revision; returns its removal. */
  abstract onChange(
    listener: (configuration: Configuration) => void,
  ): () => void;
}

/** The key of the configuration plug-in. */
export const activeConfigurationKey = new PluginKey<ActiveConfiguration>(
  "config",
);
