/**
 * The kernel: plug-in registration and lifecycle, clocks, refusals, logs.
 *
 * @module
 */

export { Clock, ManualClock, type Moment, SystemClock } from "./clock.ts";
export { MAX_ENTRY_CHARS, parseJson } from "./json.ts";
export { Kernel } from "./kernel.ts";
export { type Log, logger, logTo, type Sink } from "./log.ts";
export {
  type GossipSection,
  type PeerHandler,
  Plugin,
  PluginKey,
  type Props,
  register,
  registeredPlugins,
  type Registration,
} from "./plugin.ts";
export { Reason, Refusal, Verdict, worseVerdict } from "./verdict.ts";
