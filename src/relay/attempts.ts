/**
 * Runs the attempts of a request: acquires a permit for each, and retries while
 * the route, the remaining time and the outcome of the last attempt allow it.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { Err, Ok, type Result } from "ts-results";
import {
  type Demand,
  type Dispatch,
  dispatchKey,
  Outcome,
  type Permit,
} from "../dispatch/mod.ts";
import {
  type Kernel,
  logger,
  Reason,
  Refusal,
  Verdict,
} from "../kernel/mod.ts";
import { type Metering, meteringKey } from "../metering/mod.ts";
import {
  isNotExecuted,
  Loss,
  type LostRequest,
  type UpstreamRequest,
  type UpstreamResponse,
  type UpstreamTransport,
} from "../outside/mod.ts";
import {
  DeploymentRegions,
  intersectRegions,
  priorityOf,
} from "../tables/mod.ts";
import {
  MAX_UNEXECUTED_SENDS,
  type RequestProgress,
} from "./request_progress.ts";
import type { Requester } from "./mod.ts";
import { drawPool } from "./routing.ts";

const log = logger("relay");

/** Delay before a request is sent again to upstreams that refused it. */
const REFUSED_RETRY_DELAY_MS = 30;

/** Highest urgency value that upstreams know; 0 is the most urgent. */
const MAX_URGENCY = 9;

/** The refusal of a request that may run in no region of the deployment. */
export const REGION_NOT_ALLOWED = new Refusal({
  verdict: Verdict.NotRun,
  reason: Reason.RegionNotAllowed,
  message: "The request may not run in the regions of this deployment",
});

/** A response that an upstream began, and the permit it runs under. */
export interface StartedAnswer<T> {
  readonly answer: T;
  readonly permit: Permit;
  /** When the request was sent, in Unix milliseconds. */
  readonly sentAt: number;
}

/** Sends a request until an upstream answers it. */
export class AttemptRunner {
  readonly #kernel: Kernel;
  readonly #dispatch: Dispatch;
  readonly #metering: Metering;
  readonly #regions: DeploymentRegions;
  readonly #lostAttempts;

  constructor(kernel: Kernel) {
    this.#kernel = kernel;
    this.#dispatch = kernel.get(dispatchKey);
    this.#metering = kernel.get(meteringKey);
    this.#regions = new DeploymentRegions(kernel.settings);
    this.#lostAttempts = kernel.counter(
      "toucanwind_relay_lost_attempts_total",
      "Attempts without a whole answer, by what became of them",
      ["loss"],
    );
  }

  get transport(): UpstreamTransport {
    const { upstreamTransport } = this.#kernel.platform;
    if (upstreamTransport === undefined) {
      throw new RangeError("The platform has no transport to forward requests");
    }
    return upstreamTransport;
  }

  /**
   * Sends until a response has begun or no further attempt is allowed. The
   * caller must release the permit of a `StartedAnswer`. An `UpstreamResponse`,
   * by which an upstream reports that it ran the request without success, has
   * none.
   */
  async run<T>(
    progress: RequestProgress,
    requester: Requester,
    send: (permit: Permit) => Promise<Result<T, LostRequest>>,
  ): Promise<Result<StartedAnswer<T> | UpstreamResponse, Refusal>> {
    const demand = demandOf(progress, requester);
    if (!this.#regions.allowsAny(demand.allowedRegions)) {
      return Err(progress.refused(REGION_NOT_ALLOWED));
    }
    for (;;) {
      const permit = await this.#dispatch.acquire({
        ...demand,
        remainingMs: progress.remainingMs(),
        exclude: progress.excludedUpstreams,
        attempt: progress.sendCount,
      }, progress.signal);
      if (permit.err) {
        if (await this.#retryRefusedUpstreams(progress, permit.val)) continue;
        return Err(progress.refused(permit.val));
      }
      progress.sendCount += 1;
      const sentAt = this.#kernel.clock.wall();
      const sent = await send(permit.val);
      if (sent.ok) {
        return Ok({ answer: sent.val, permit: permit.val, sentAt });
      }
      if (mayHaveRun(sent.val.loss)) this.count(progress, requester, sentAt);
      if (this.lost(progress, permit.val, sent.val)) continue;
      const { answer } = sent.val;
      return answer === undefined ? Err(progress.failed(sent.val)) : Ok(answer);
    }
  }

  /** Ends an attempt without a response; returns whether to retry. */
  lost(
    progress: RequestProgress,
    { target, release }: Permit,
    lost: LostRequest,
  ): boolean {
    const { loss, message, answer } = lost;
    release(outcomeOfLoss(loss), answer === undefined ? 0 : 1);
    this.#lostAttempts.inc({ loss });
    log("attempt lost", {
      id: progress.request.id,
      route: progress.route.name,
      upstream: target.id,
      loss,
      message,
      send: progress.sendCount,
      after: progress.after,
      leftMs: Math.round(progress.remainingMs()),
    });
    const retry = progress.mayRetry(loss);
    progress.lost(target.id, loss);
    return retry;
  }

  /** The request as sent to an upstream, with the time left now. */
  buildRequest(
    progress: RequestProgress,
    { organisation, rank }: Requester,
    { retryable = false }: { retryable?: boolean } = {},
  ): UpstreamRequest {
    const { request, route } = progress;
    const { upstreamSilenceMs } = this.#kernel.settings.timing;
    return {
      id: request.id,
      method: request.method,
      path: request.path,
      host: request.host,
      fields: request.fields,
      body: request.body,
      organisation,
      remainingMs: progress.remainingMs(),
      after: progress.after,
      silenceMs: retryable ? upstreamSilenceMs : undefined,
      urgency: Math.min(MAX_URGENCY, rank ?? route.exchange.rank),
      mayStart: request.mayStart,
    };
  }

  /** Counts a request for its organisation once, whatever its attempts. */
  count(
    progress: RequestProgress,
    { organisation }: Requester,
    startedAtMs = this.#kernel.clock.wall(),
  ): void {
    if (progress.metered || organisation === "") return;
    progress.metered = true;
    this.#metering.countRequest(organisation, startedAtMs);
  }

  /** Waits and makes upstreams that refused eligible again, if time allows. */
  async #retryRefusedUpstreams(
    progress: RequestProgress,
    refusal: Refusal,
  ): Promise<boolean> {
    const exhausted = refusal.reason === Reason.NoUpstream &&
      progress.excludedUpstreams.length > 0 &&
      progress.unexecutedCount < MAX_UNEXECUTED_SENDS &&
      progress.remainingMs() > 2 * REFUSED_RETRY_DELAY_MS;
    if (!exhausted) return false;
    progress.retryExcluded();
    await this.#kernel.clock.sleep(REFUSED_RETRY_DELAY_MS, progress.signal);
    return true;
  }
}

/** The outcome to report to the shard leader for an incomplete response. */
export function outcomeOfLoss(loss: Loss): Outcome {
  switch (loss) {
    case Loss.Unreachable:
      return Outcome.Unreachable;
    case Loss.NotRun:
    case Loss.Misdirected:
      return Outcome.Refused;
    case Loss.Failed:
    case Loss.Impossible:
      return Outcome.Failed;
    case Loss.Broken:
      return Outcome.Broken;
    case Loss.Silent:
    // Closed on this side, so the request is not suspected of a crash.
    case Loss.Excessive:
      return Outcome.Silent;
    // Says nothing of the upstream, which received nothing.
    case Loss.Unsendable:
    case Loss.Cancelled:
      return Outcome.Cancelled;
  }
}

/** Whether an upstream may have executed the request. */
function mayHaveRun(loss: Loss): boolean {
  return !isNotExecuted(loss) && loss !== Loss.Cancelled;
}

/** Hash of a request, equal for resends by any caller of the organisation. */
export function fingerprintOf(organisation: string, request: {
  method: string;
  path: string;
  body: Buffer;
}): string {
  return createHash("sha256")
    .update(`${organisation}\n${request.method} ${request.path}\n`)
    .update(request.body)
    .digest("base64url");
}

function demandOf(
  { route, request }: RequestProgress,
  { organisation, rank, allowedRegions }: Requester,
): Demand {
  const { prompt } = request;
  return {
    id: request.id,
    pool: drawPool(route.exchange, Math.random()),
    route: route.name,
    tenant: organisation,
    priority: rank === undefined ? route.priority : priorityOf(rank),
    weight: 1,
    tokens: Math.max(1, prompt?.tokens ?? 1),
    prefixes: prompt?.prefixes ?? [],
    model: prompt?.model,
    remainingMs: request.remainingMs,
    minVersion: 0,
    exclude: [],
    allowedRegions: intersectRegions(
      route.exchange.allowedRegions,
      allowedRegions,
    ),
    fingerprint: fingerprintOf(organisation, request),
    crashLimit: request.crashLimit,
    attempt: 0,
  };
}
