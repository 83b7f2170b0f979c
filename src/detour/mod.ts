/**
 * The platform's key-value service, reached through another daemon where this
 * one is cut off from it or turned away.
 *
 * @module
 */

import { Plugin, PluginKey } from "../kernel/mod.ts";
import type { Records } from "../outside/mod.ts";

/** Reaches the key-value service one way or another. */
export abstract class PeerFallback extends Plugin {
  /**
   * The service. A change may be sent more than once, by this daemon and by
   * others, so it has to be made against a revision that it changes.
   */
  abstract readonly records: Records;
}

/** The key of the detour plug-in. */
export const peerFallbackKey = new PluginKey<PeerFallback>("detour");
