/**
 * What each tenant used, counted once and kept through the death of a daemon.
 *
 * @module
 */

import { Plugin, PluginKey } from "../kernel/mod.ts";

/** What one answered request or delivered sample used. */
export interface UsageRecord {
  /** Unique to what was delivered; recorded once over all daemons. */
  readonly id: string;
  readonly tenant: string;
  readonly route: string;
  /** Requests or samples; 1 if absent. */
  readonly requests?: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Whether another daemon may record it too; matched by id if so. */
  readonly shared?: boolean;
}

/** Records use and reports it. */
export abstract class Usage extends Plugin {
  /**
   * Records a use; resolves when a peer has it too, or when none can take
   * it. Call before the last byte of the answer is released.
   */
  abstract record(use: UsageRecord): Promise<void>;
}

/** The key of the usage plug-in. */
export const usageKey = new PluginKey<Usage>("usage");
