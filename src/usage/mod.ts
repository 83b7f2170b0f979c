/**
 * Interface of the usage plug-in, which counts the usage of each organisation
 * exactly once, also when a daemon fails.
 *
 * @module
 */

import { Plugin, PluginKey } from "../kernel/mod.ts";

/** The usage of one answered request or delivered sample. */
export interface UsageRecord {
  /** Unique to what was delivered; counted once over all daemons. */
  readonly id: string;
  readonly tenant: string;
  readonly route: string;
  /** Requests or samples; 1 if absent. */
  readonly requests?: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Whether other daemons may record it too; deduplicated by id if so. */
  readonly shared?: boolean;
}

/** Records usage and reports it. */
export abstract class Usage extends Plugin {
  /**
   * Records usage; resolves when a peer has a copy, or when no peer can take
   * one. Call before the last byte of the response is released.
   */
  abstract record(use: UsageRecord): Promise<void>;
}

/** The key of the usage plug-in. */
export const usageKey = new PluginKey<Usage>("usage");
