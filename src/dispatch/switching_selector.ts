/**
 * Learns what requests cost and how fast upstreams are, and switches from slots
 * in use to expected finish once the upstreams are known to differ.
 *
 * @module
 */

import { type Clock, logger } from "../kernel/mod.ts";
import type { CacheEvent, StatedLoad } from "../outside/mod.ts";
import { AffinitySelector } from "./affinity_selector.ts";
import { ExpectedFinishSelector } from "./expected_finish_selector.ts";
import { Outcome } from "./mod.ts";
import type { ActivePermit } from "./permits.ts";
import type { Ticket } from "./queue.ts";
import { RequestCosts } from "./request_costs.ts";
import type { SelectionStatus } from "./selection_status.ts";
import {
  PaceDifference,
  type PacePrediction,
  UpstreamPaces,
} from "./upstream_paces.ts";
import { type Candidate, UpstreamSelector } from "./upstream_selector.ts";
import { WorkLedger } from "./work_ledger.ts";

const log = logger("dispatch");

/** How often it is decided which selector is used. */
const REVIEW_INTERVAL_MS = 250;

/** Selects as `AffinitySelector` until paces are known to differ. */
export class SwitchingSelector extends UpstreamSelector {
  readonly #clock: Clock;
  readonly #affinity: AffinitySelector;
  readonly #expectedFinish: ExpectedFinishSelector;
  readonly #costs = new RequestCosts();
  readonly #paces = new UpstreamPaces();
  readonly #ledger = new WorkLedger();
  /** What was expected of the requests that run, by permit. */
  readonly #predictions = new Map<string, PacePrediction>();
  #reason = PaceDifference.None;
  #reviewedAt = -Infinity;

  constructor(options: { clock: Clock; random?: () => number }) {
    super();
    this.#clock = options.clock;
    this.#affinity = new AffinitySelector(options);
    this.#expectedFinish = new ExpectedFinishSelector({
      costs: this.#costs,
      paces: this.#paces,
      ledger: this.#ledger,
      affinities: this.#affinity,
      now: () => this.#clock.now(),
      random: options.random,
    });
  }

  pick(ticket: Ticket, candidates: readonly Candidate[]): Candidate {
    this.#review();
    const selector = this.#reason === PaceDifference.None
      ? this.#affinity
      : this.#expectedFinish;
    return selector.pick(ticket, candidates);
  }

  override granted(ticket: Ticket, upstream: string): void {
    this.#affinity.granted(ticket, upstream);
  }

  override freed(entry: string, upstream: string): void {
    this.#affinity.freed(entry, upstream);
  }

  override cached(upstream: string, events: readonly CacheEvent[]): void {
    this.#affinity.cached(upstream, events);
  }

  override started(holding: ActivePermit, now: number): void {
    const { permit, upstream, demand, grantedAt } = holding;
    const cost = this.#costs.costOf(demand);
    const pace = this.#paces.pace(upstream, now);
    const ranMs = Math.max(0, now - grantedAt);
    this.#ledger.started(permit, { upstream, cost }, { now, pace, ranMs });
    // What another leader granted began under conditions not known here.
    if (ranMs > 0) return;
    this.#predictions.set(permit, this.#paces.predict(upstream, now));
  }

  override ended(
    holding: ActivePermit,
    { outcome, now }: { outcome: Outcome; now: number },
  ): void {
    const { permit, upstream, demand, grantedAt } = holding;
    const prediction = this.#predictions.get(permit);
    this.#predictions.delete(permit);
    const running = this.#ledger.ended(permit);
    // Other ends show how long a request was let run, not what it costs.
    if (running === undefined || outcome !== Outcome.Served) return;
    const durationMs = now - grantedAt;
    const { expectedMs } = running;
    this.#paces.measured(upstream, { durationMs, expectedMs, prediction, now });
    this.#costs.record(demand, durationMs / this.#paces.slowPace(upstream));
  }

  override stated(
    upstream: string,
    { pacePercent }: StatedLoad,
    at: number,
  ): void {
    if (pacePercent === undefined) return;
    this.#paces.stated(upstream, pacePercent / 100, at);
  }

  override forget(upstream: string): void {
    this.#affinity.forget(upstream);
    this.#paces.forget(upstream);
    this.#ledger.forget(upstream);
  }

  override status(upstreams: readonly string[]): SelectionStatus {
    this.#review();
    const now = this.#clock.now();
    return {
      expectedFinish: this.#reason !== PaceDifference.None,
      reason: this.#reason,
      meanWorkMs: this.#costs.meanMs,
      upstreams: upstreams.map((id) => {
        const pace = this.#paces.status(id, now);
        return {
          id,
          ...pace,
          running: this.#ledger.running(id),
          workLeftMs: this.#ledger.leftMs(id, now, pace.pace),
        };
      }),
    };
  }

  #review(): void {
    const now = this.#clock.now();
    if (now - this.#reviewedAt < REVIEW_INTERVAL_MS) return;
    this.#reviewedAt = now;
    const reason = this.#paces.difference(now);
    if (reason === this.#reason) return;
    const before = this.#reason;
    this.#reason = reason;
    log("selection changed", {
      reason,
      before,
      paces: this.#paces.upstreams().map((id) =>
        `${id} ${this.#paces.slowPace(id).toFixed(2)}`
      ),
    });
  }
}
