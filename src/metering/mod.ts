/**
 * How many requests of each organisation began to run, by window of the wall
 * clock.
 *
 * @module
 */

import { Plugin, PluginKey } from "../kernel/mod.ts";

/** Counts requests and has them reported. */
export abstract class Metering extends Plugin {
  /** Counts a request that began to run at `wallMs`, Unix milliseconds. */
  abstract countRequest(organisation: string, startedAtMs: number): void;
}

/** The key of the metering plug-in. */
export const meteringKey = new PluginKey<Metering>("metering");
