/**
 * The attempts of a request: a permit for each, and another attempt while the
 * route, the time left and what is known of the last one allow it.
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
import { type Kernel, logger, Reason, type Refusal } from "../kernel/mod.ts";
import { type Metering, meteringKey } from "../metering/mod.ts";
import {
  type Carrier,
  type Delivery,
  isUnrun,
  Loss,
  type Lost,
  type Parcel,
} from "../outside/mod.ts";
import { priorityOf } from "../tables/mod.ts";
import { type Course, MAX_UNRUN } from "./course.ts";
import type { Requester } from "./mod.ts";
import { drawPool } from "./routing.ts";

const log = logger("relay");

/** Wait before upstreams that refused a request are asked again. */
const AGAIN_MS = 30;

/** Ranks that upstreams know; the last is the least urgent. */
const LAST_RANK = 9;

/** An answer that an upstream began, with the permit that it runs under. */
export interface Taken<T> {
  readonly answer: T;
  readonly permit: Permit;
  /** Unix milliseconds at which it was sent. */
  readonly sentAt: number;
}

/** Sends a request until an upstream takes it. */
export class Attempts {
  readonly #kernel: Kernel;
  readonly #dispatch: Dispatch;
  readonly #metering: Metering;
  readonly #lost;

  constructor(kernel: Kernel) {
    this.#kernel = kernel;
    this.#dispatch = kernel.get(dispatchKey);
    this.#metering = kernel.get(meteringKey);
    this.#lost = kernel.counter(
      "toucanwind_relay_lost_attempts_total",
      "Attempts without a whole answer, by what became of them",
      ["loss"],
    );
  }

  get carrier(): Carrier {
    const { carrier } = this.#kernel.platform;
    if (carrier === undefined) {
      throw new RangeError("This platform passes no requests on");
    }
    return carrier;
  }

  /**
   * Sends until an answer is taken or nothing more may be tried. The permit of
   * what is taken is still to be released; an upstream's own word on a request
   * that it ran without success comes without one.
   */
  async run<T>(
    course: Course,
    sender: Requester,
    send: (permit: Permit) => Promise<Result<T, Lost>>,
  ): Promise<Result<Taken<T> | Delivery, Refusal>> {
    const demand = demandOf(course, sender);
    for (;;) {
      const permit = await this.#dispatch.acquire({
        ...demand,
        remainingMs: course.leftMs(),
        exclude: course.excluded,
        attempt: course.sends,
      }, course.signal);
      if (permit.err) {
        if (await this.#again(course, permit.val)) continue;
        return Err(course.refused(permit.val));
      }
      course.sends += 1;
      const sentAt = this.#kernel.clock.wall();
      const sent = await send(permit.val);
      if (sent.ok) {
        return Ok({ answer: sent.val, permit: permit.val, sentAt });
      }
      if (ran(sent.val.loss)) this.count(course, sender, sentAt);
      if (this.lost(course, permit.val, sent.val)) continue;
      const { answer } = sent.val;
      return answer === undefined ? Err(course.failed(sent.val)) : Ok(answer);
    }
  }

  /** Ends an attempt that brought no answer; tells whether to try again. */
  lost(course: Course, { target, release }: Permit, lost: Lost): boolean {
    const { loss, message, answer } = lost;
    release(outcomeOfLoss(loss), answer === undefined ? 0 : 1);
    this.#lost.inc({ loss });
    log("attempt lost", {
      id: course.request.id,
      route: course.route.name,
      upstream: target.id,
      loss,
      message,
      send: course.sends,
      after: course.after,
      leftMs: Math.round(course.leftMs()),
    });
    const may = course.mayRetry(loss);
    course.lost(target.id, loss);
    return may;
  }

  /** What is sent to an upstream now. */
  parcel(
    course: Course,
    { organisation, rank }: Requester,
    { movable = false }: { movable?: boolean } = {},
  ): Parcel {
    const { request, route } = course;
    const { upstreamSilenceMs } = this.#kernel.settings.timing;
    return {
      id: request.id,
      method: request.method,
      path: request.path,
      host: request.host,
      fields: request.fields,
      body: request.body,
      organisation,
      remainingMs: course.leftMs(),
      after: course.after,
      silenceMs: movable ? upstreamSilenceMs : undefined,
      urgency: Math.min(LAST_RANK, rank ?? route.exchange.rank),
    };
  }

  /** Counts a request for its organisation, once over all its attempts. */
  count(
    course: Course,
    { organisation }: Requester,
    begunAt = this.#kernel.clock.wall(),
  ): void {
    if (course.counted || organisation === "") return;
    course.counted = true;
    this.#metering.countRequest(organisation, begunAt);
  }

  /** Whether to wait a little and ask upstreams that refused once more. */
  async #again(course: Course, refusal: Refusal): Promise<boolean> {
    const exhausted = refusal.reason === Reason.NoUpstream &&
      course.excluded.length > 0 && course.unrun < MAX_UNRUN &&
      course.leftMs() > 2 * AGAIN_MS;
    if (!exhausted) return false;
    course.forgive();
    await this.#kernel.clock.sleep(AGAIN_MS, course.signal);
    return true;
  }
}

/** What a keeper is told of a send that brought no whole answer. */
export function outcomeOfLoss(loss: Loss): Outcome {
  switch (loss) {
    case Loss.Unreachable:
      return Outcome.Unreachable;
    case Loss.NotRun:
    case Loss.Misdirected:
      return Outcome.Refused;
    case Loss.Failed:
    case Loss.Impossible:
      return Outcome.Served;
    case Loss.Broken:
      return Outcome.Broken;
    case Loss.Silent:
      return Outcome.Silent;
    case Loss.Cancelled:
      return Outcome.Cancelled;
  }
}

/** Whether an upstream ran the request, or may have. */
function ran(loss: Loss): boolean {
  return !isUnrun(loss) && loss !== Loss.Cancelled;
}

/** Equal for resends of one request by any caller of the organisation. */
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
  { route, request }: Course,
  { organisation, rank }: Requester,
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
    fingerprint: fingerprintOf(organisation, request),
    attempt: 0,
  };
}
