/**
 * Idempotency keys on routes whose requests may not be repeated: a request is
 * claimed before it is dispatched, and its outcome is kept for resends.
 *
 * @module
 */

import type { FastifyReply, FastifyRequest } from "fastify";
import * as O from "fp-ts/Option";
import { createHash, type Hash } from "node:crypto";
import {
  type Claim,
  type ClaimOutcome,
  type ClaimResult,
  type Claims,
  claimsKey,
  ClaimState,
  OutcomeKind,
} from "../claims/mod.ts";
import { type Kernel, Reason, Refusal, Verdict } from "../kernel/mod.ts";
import type { Admitted } from "./request_admission.ts";
import { type Gateway, gatewayKey } from "./mod.ts";

const IDEMPOTENCY_KEY_HEADER = "idempotency-key";
const MAX_KEY_CHARS = 255;
/** Responses up to this size are kept and replayed to resends. */
const MAX_REPLAYABLE_BYTES = 4 * 1024;

/** Runs requests with an idempotency key at most once. */
export class IdempotencyGuard {
  readonly #claims: Claims;
  readonly #gateway: Gateway;

  constructor(options: { kernel: Kernel }) {
    this.#claims = options.kernel.get(claimsKey);
    this.#gateway = options.kernel.get(gatewayKey);
  }

  /**
   * Claims the request if it needs a claim. Returns `None` if the response has
   * already been sent: a refusal, or the replayed outcome.
   */
  async claimRun(
    request: FastifyRequest,
    reply: FastifyReply,
    options: { admitted: Admitted; fingerprint: () => string },
  ): Promise<O.Option<RequestRun>> {
    const { route, caller } = options.admitted;
    const key = request.headers[IDEMPOTENCY_KEY_HEADER];
    if (route.repeatable || key === undefined) return O.some(UNCLAIMED_RUN);
    if (typeof key !== "string" || key === "" || key.length > MAX_KEY_CHARS) {
      this.#gateway.refuse(reply, INVALID_KEY, { route: route.name });
      return O.none;
    }
    const claimed = await this.#claims.claim(
      { organisation: caller.organisation, route: route.name, key },
      options.fingerprint(),
    );
    if (claimed.err) {
      this.#gateway.refuse(reply, claimed.val, { route: route.name });
      return O.none;
    }
    if (claimed.val.standing === ClaimState.Granted) {
      return O.some(new ClaimedRun(this.#claims, claimed.val.claim));
    }
    this.#answerResend(reply, claimed.val, route.name);
    return O.none;
  }

  #answerResend(
    reply: FastifyReply,
    claimed: Exclude<ClaimResult, { standing: ClaimState.Granted }>,
    route: string,
  ) {
    if (claimed.standing === ClaimState.Mismatch) {
      this.#gateway.refuse(reply, FINGERPRINT_MISMATCH, { route, status: 422 });
      return;
    }
    if (claimed.standing === ClaimState.Held) {
      this.#gateway.refuse(reply, CLAIM_HELD, { route });
      return;
    }
    const { outcome } = claimed;
    if (outcome.ending === OutcomeKind.Answered && outcome.whole) {
      replay(reply, outcome);
      return;
    }
    const lost = outcome.ending === OutcomeKind.Lost;
    this.#gateway.refuse(reply, lost ? ANSWER_LOST : ANSWER_NOT_KEPT, {
      route,
    });
  }
}

/** One run of a request, which settles or releases its claim at the end. */
export interface RequestRun {
  /** Whether the run holds a claim. */
  readonly claimed: boolean;
  /** Creates a recorder for the response if the outcome is to be kept. */
  createRecorder(): ResponseRecorder | undefined;
  /** Settles the claim with the outcome of a completed response. */
  answered(outcome: ClaimOutcome): void;
  /** Releases the claim if the request did not run, else settles it as lost. */
  failed(verdict: Verdict): void;
}

const UNCLAIMED_RUN: RequestRun = {
  claimed: false,
  createRecorder: () => undefined,
  answered: () => {},
  failed: () => {},
};

class ClaimedRun implements RequestRun {
  readonly claimed = true;
  readonly #claims: Claims;
  readonly #claim: Claim;
  #ended = false;

  constructor(claims: Claims, claim: Claim) {
    this.#claims = claims;
    this.#claim = claim;
  }

  createRecorder(): ResponseRecorder {
    return new ResponseRecorder();
  }

  answered(outcome: ClaimOutcome) {
    if (this.#ended) return;
    this.#ended = true;
    this.#claims.settle(this.#claim, outcome);
  }

  failed(verdict: Verdict) {
    if (this.#ended) return;
    this.#ended = true;
    if (verdict === Verdict.NotRun) this.#claims.release(this.#claim);
    else this.#claims.settle(this.#claim, LOST_OUTCOME);
  }
}

/** Records a response as sent: the body of a small one, else its digest. */
export class ResponseRecorder {
  readonly #hash: Hash = createHash("sha256");
  #chunks: Uint8Array[] = [];
  #bytes = 0;

  /** Records the next chunk of the body. */
  add(chunk: Uint8Array) {
    this.#hash.update(chunk);
    this.#bytes += chunk.length;
    if (this.#bytes <= MAX_REPLAYABLE_BYTES) this.#chunks.push(chunk);
    else this.#chunks = [];
  }

  /** The outcome of the complete body; may be called only once. */
  outcome(status: number, contentType: string): ClaimOutcome {
    const body = Buffer.concat(this.#chunks);
    const text = body.toString("utf8");
    // The body is stored as text, so only valid UTF-8 can be replayed.
    const whole = this.#bytes <= MAX_REPLAYABLE_BYTES &&
      Buffer.from(text).equals(body);
    return {
      ending: OutcomeKind.Answered,
      status,
      contentType,
      body: whole ? text : "",
      whole,
      digest: this.#hash.digest("hex"),
    };
  }
}

function replay(reply: FastifyReply, outcome: ClaimOutcome) {
  reply.code(outcome.status).header("x-idempotent-replay", "true");
  if (outcome.contentType !== "") {
    reply.header("content-type", outcome.contentType);
  }
  reply.send(Buffer.from(outcome.body));
}

const LOST_OUTCOME: ClaimOutcome = {
  ending: OutcomeKind.Lost,
  status: 0,
  contentType: "",
  body: "",
  whole: false,
  digest: "",
};

const INVALID_KEY = new Refusal({
  verdict: Verdict.NotRun,
  reason: Reason.BadRequest,
  message: `An idempotency key has 1 to ${MAX_KEY_CHARS} characters`,
});

const FINGERPRINT_MISMATCH = new Refusal({
  verdict: Verdict.NotRun,
  reason: Reason.IdempotencyConflict,
  message: "The idempotency key came with another request before",
});

const CLAIM_HELD = new Refusal({
  verdict: Verdict.MayHaveRun,
  reason: Reason.IdempotencyConflict,
  message: "A request with this idempotency key runs, or ran and was lost",
  retryAfterMs: 1000,
});

const ANSWER_LOST = new Refusal({
  verdict: Verdict.MayHaveRun,
  reason: Reason.IdempotencyConflict,
  message: "The request with this idempotency key broke off; it may have run",
});

const ANSWER_NOT_KEPT = new Refusal({
  verdict: Verdict.MayHaveRun,
  reason: Reason.IdempotencyConflict,
  message: "The request has run; its answer was too large to keep",
});
