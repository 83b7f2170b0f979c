/**
 * The newest load that each upstream stated in an answer to this daemon. An
 * entry passes it on with the release of a permit; the leader needs no message
 * of its own for each answer.
 *
 * @module
 */

import type { Clock } from "../kernel/mod.ts";
import type { StatedLoad, UpstreamNotice } from "../outside/mod.ts";
import type { PermitEnd } from "./messages.ts";

/** Loads of more upstreams than this are dropped, the oldest first. */
const MAX_UPSTREAMS = 4096;

/** Age at which a load is not passed on; paces change within 600 ms. */
const MAX_AGE_MS = 2000;

/** A stated load as the release of a permit carries it. */
export type ReportedLoad = NonNullable<PermitEnd["load"]>;

/** Loads stated to this daemon. */
export class StatedLoads {
  readonly #clock: Clock;
  readonly #loads = new Map<string, { load: StatedLoad; at: number }>();

  constructor(options: { clock: Clock }) {
    this.#clock = options.clock;
  }

  /** Keeps the load of an answer that just arrived. */
  heard({ upstream, load }: UpstreamNotice): void {
    if (load === undefined) return;
    this.#loads.delete(upstream);
    this.#loads.set(upstream, { load, at: this.#clock.now() });
    if (this.#loads.size <= MAX_UPSTREAMS) return;
    const [oldest] = this.#loads.keys();
    this.#loads.delete(oldest);
  }

  /** The newest load of an upstream, unless it is too old to be of use. */
  reported(upstream: string): ReportedLoad | undefined {
    const known = this.#loads.get(upstream);
    if (known === undefined) return undefined;
    const ageMs = Math.max(0, this.#clock.now() - known.at);
    if (ageMs > MAX_AGE_MS) return undefined;
    const { running, waiting, slots, pacePercent } = known.load;
    const figures = [running, waiting, slots];
    if (pacePercent !== undefined) figures.push(pacePercent);
    return { figures, ageMs: Math.round(ageMs) };
  }
}

/** The load that a release carried. */
export function loadOf({ figures }: ReportedLoad): StatedLoad {
  const [running, waiting, slots, pacePercent] = figures;
  return {
    running,
    waiting,
    slots,
    ...pacePercent === undefined ? {} : { pacePercent },
  };
}
