/**
 * Interface of the metering plug-in, which counts the requests that started
 * running, by organisation and usage window of the wall clock.
 *
 * @module
 */

import { Plugin, PluginKey } from "../kernel/mod.ts";

/** Counts requests and reports the counts to the platform. */
export abstract class Metering extends Plugin {
  /** Counts a request that started at `startedAtMs`, Unix milliseconds. */
  abstract countRequest(organisation: string, startedAtMs: number): void;
}

/** The key of the metering plug-in. */
export const meteringKey = new PluginKey<Metering>("metering");
