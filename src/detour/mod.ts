/**
 * Interface of the detour plug-in, which reaches the platform's key-value
 * service through a peer if this daemon is cut off from it or refused by it.
 *
 * @module
 */

import { Plugin, PluginKey } from "../kernel/mod.ts";
import type { TransactionalKeyValue } from "../outside/mod.ts";

/** Reaches the key-value service directly or through a peer. */
export abstract class PeerFallback extends Plugin {
  /**
   * The key-value service. A change may be sent more than once, by this daemon
   * and by peers, so it must expect the revision of a key that it changes.
   */
  abstract readonly records: TransactionalKeyValue;
}

/** The key of the detour plug-in. */
export const peerFallbackKey = new PluginKey<PeerFallback>("detour");
