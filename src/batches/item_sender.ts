/**
 * Sends the items of one run to upstreams, and reads their events.
 *
 * @module
 */

import { Outcome as PermitOutcome, type Permit } from "../dispatch/mod.ts";
import { logger } from "../kernel/mod.ts";
import {
  Loss,
  type LostRequest,
  type StreamEvent,
  type UpstreamRequest,
} from "../outside/mod.ts";
import { outcomeOfLoss } from "../relay/attempts.ts";
import { shouldMove } from "./item_moves.ts";
import { costOf } from "./item_permits.ts";
import type { ItemTask } from "./item_task.ts";
import {
  confirmedMsAgo,
  type RunContext,
  versionTerms,
} from "./run_context.ts";

const log = logger("batches");

/** Longest time that an upstream is given for an item. */
const ITEM_TIMEOUT_MS = 12_000;

/** Runs attempts of items. */
export class ItemSender {
  readonly #context: RunContext;

  constructor(context: RunContext) {
    this.#context = context;
  }

  /** Streams from one upstream; returns a loss if the output is incomplete. */
  async send(
    task: ItemTask,
    { target, leaving, release }: Permit,
  ): Promise<LostRequest | undefined> {
    const { kernel: { clock }, submission } = this.#context;
    task.upstream = target.id;
    const request = this.#request(task);
    const startedAt = clock.now();
    let events = 0;
    log("item sent", {
      id: task.item.id,
      batch: submission.id,
      upstream: target.id,
      after: request.after,
      confirmedMsAgo: confirmedMsAgo(this.#context),
    });
    const flow = await this.#open(target, request, leaving);
    let lost = flow.err ? flow.val : undefined;
    const accept = this.#eventReader(task);
    for await (const event of flow.ok ? flow.val.events : []) {
      lost = event.err ? event.val : accept(event.val);
      if (lost !== undefined) break;
      events += 1;
      lost = this.#moveOff(task);
      if (lost !== undefined) break;
    }
    task.ranMs += clock.now() - startedAt;
    const ended = leaving.aborted && lost !== undefined
      ? PermitOutcome.Cancelled
      : lost === undefined
      ? PermitOutcome.Served
      : outcomeOfLoss(lost.loss);
    release(ended, lost === undefined ? costOf(task.item) : 0);
    if (lost === undefined) return undefined;
    task.lost(target.id, lost);
    log("item attempt lost", {
      id: task.item.id,
      batch: submission.id,
      upstream: target.id,
      loss: lost.loss,
      message: lost.message,
      leaving: leaving.aborted,
      events,
      last: task.output.last,
      tookMs: Math.round(clock.now() - startedAt),
    });
    return lost;
  }

  /** Until the answer begins, the request may still be on its way. */
  async #open(
    target: Permit["target"],
    request: UpstreamRequest,
    leaving: AbortSignal,
  ) {
    const { kernel, ownership, signal: run } = this.#context;
    const { upstreamTransport } = kernel.platform;
    if (upstreamTransport === undefined) {
      throw new RangeError(
        "The platform has no transport to forward requests",
      );
    }
    const opening = new AbortController();
    const abortOpening = () => opening.abort();
    const { signal: owned } = ownership;
    owned.addEventListener("abort", abortOpening, { once: true });
    const signal = AbortSignal.any([run, leaving, opening.signal]);
    const flow = await upstreamTransport.stream(target, request, signal);
    owned.removeEventListener("abort", abortOpening);
    return flow;
  }

  /** Takes a stream's events; returns a loss if the stream must end. */
  #eventReader(
    task: ItemTask,
  ): (event: StreamEvent) => LostRequest | undefined {
    const { clock } = this.#context.kernel;
    const history = this.#context.histories.of(task.pool);
    const terms = versionTerms(this.#context);
    const { upstream } = task;
    let lastEventAt = 0;
    let lastVersion: number | undefined;
    return (event) => {
      const lost = task.accept(event, terms);
      if (lost !== undefined) return lost;
      const now = clock.now();
      // Loading weights pauses an engine once and says nothing about its speed.
      if (event.weightVersion === lastVersion) {
        history.speeds.recordInterval(upstream, now - lastEventAt);
      }
      lastEventAt = now;
      lastVersion = event.weightVersion;
      return undefined;
    };
  }

  /** A loss if the item should move to another upstream now. */
  #moveOff(task: ItemTask): LostRequest | undefined {
    const { histories, ownership } = this.#context;
    if (!task.canMove || !ownership.valid) return undefined;
    const { item, upstream, output } = task;
    const running = { item, upstream, events: output.lines.length };
    if (!shouldMove(running, histories.of(task.pool))) return undefined;
    return { loss: Loss.Cancelled, message: "The upstream is slow" };
  }

  #request({ item, output, pool }: ItemTask): UpstreamRequest {
    const { kernel, submission, ownership, route, leftMs } = this.#context;
    return {
      id: item.id,
      method: "POST",
      path: item.path,
      host: submission.host,
      fields: item.fields,
      body: Buffer.from(item.body, "base64"),
      organisation: submission.organisation,
      remainingMs: Math.min(ITEM_TIMEOUT_MS, leftMs),
      after: output.last,
      silenceMs: kernel.settings.timing.upstreamSilenceMs,
      urgency: Math.min(9, (route.latest?.exchange.rank ?? 0) + 2),
      mayStart: () => ownership.valid && route.allows(pool),
    };
  }
}
