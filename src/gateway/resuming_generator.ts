/**
 * Runs generations on upstreams granted by dispatch. After a failed attempt the
 * generation resumes on another upstream from the text so far, within the
 * deadline and the retry budget.
 *
 * @module
 */

import { Err, Ok, type Result } from "ts-results";
import {
  type Demand,
  type Dispatch,
  dispatchKey,
  Outcome,
  type Permit,
} from "../dispatch/mod.ts";
import { RetryBudget } from "../dispatch/retry_budget.ts";
import {
  type Kernel,
  Reason,
  Refusal,
  register,
  Verdict,
  worseVerdict,
} from "../kernel/mod.ts";
import {
  type Chunk,
  type EngineFailure,
  EngineFault,
  type Generation,
} from "../outside/mod.ts";
import { Generator, generatorKey } from "./generator.ts";

const MAX_ATTEMPTS = 6;

/** The generator on the upstreams of the dispatch plug-in. */
export class ResumingGenerator extends Generator {
  readonly #kernel: Kernel;
  readonly #dispatch: Dispatch;
  readonly #retryBudget: RetryBudget;
  readonly #retries;

  constructor(options: { kernel: Kernel; budget?: RetryBudget }) {
    super();
    this.#kernel = options.kernel;
    this.#dispatch = options.kernel.get(dispatchKey);
    this.#retryBudget = options.budget ?? new RetryBudget();
    this.#retries = this.#kernel.counter(
      "toucanwind_generation_retries_total",
      "Attempts of generations that went on elsewhere, by reason",
      ["reason"],
    );
  }

  async *run(
    demand: Demand,
    generation: Generation,
    signal: AbortSignal,
    options: { atMostOnce?: boolean } = {},
  ): AsyncGenerator<Result<Chunk, Refusal>, void, void> {
    const { clock } = this.#kernel;
    const deadlineAt = clock.now() + demand.remainingMs;
    const scope = new CancelScope(signal);
    const cancelTimer = clock.after(demand.remainingMs, () => scope.expire());
    const progress = new GenerationProgress(generation);
    this.#retryBudget.fresh(demand.route);
    try {
      for (let attempt = 0;; attempt++) {
        const permit = await this.#dispatch.acquire({
          ...demand,
          exclude: [...demand.exclude, ...progress.triedUpstreams],
          attempt: demand.attempt + attempt,
          remainingMs: Math.max(0, deadlineAt - clock.now()),
        }, scope.signal);
        if (permit.err) {
          const refusal = scope.refusal ?? permit.val;
          yield Err(refusal.withEarlierVerdict(progress.verdict));
          return;
        }
        const end = yield* this.#attempt(permit.val, progress, scope, options);
        if (end === undefined) return;
        const refusal = this.#refusal(end, {
          route: demand.route,
          progress,
          attempt,
          scope,
        });
        if (refusal !== undefined) {
          yield Err(refusal);
          return;
        }
        if (progress.isComplete) {
          yield Ok(progress.lengthFinish());
          return;
        }
        this.#retries.inc({ reason: end.reason });
      }
    } finally {
      cancelTimer();
      scope.release();
    }
  }

  /** Runs one attempt; returns how it ended, or `undefined` if it finished. */
  async *#attempt(
    permit: Permit,
    progress: GenerationProgress,
    scope: CancelScope,
    { atMostOnce = false }: { atMostOnce?: boolean },
  ): AsyncGenerator<
    Result<Chunk, Refusal>,
    GenerationAttemptEnd | undefined,
    void
  > {
    const before = progress.tokens;
    const abort = new AbortController();
    const stop = () => abort.abort();
    const onLeaving = () => {
      if (!atMostOnce) abort.abort();
    };
    scope.signal.addEventListener("abort", stop);
    permit.leaving.addEventListener("abort", onLeaving);
    if (scope.signal.aborted) stop();
    if (permit.leaving.aborted) onLeaving();
    // The outcome if the consumer stops reading early.
    let outcome = Outcome.Cancelled;
    progress.triedUpstreams.push(permit.target.id);
    try {
      const stream = this.#kernel.platform.engine
        .generate(permit.target, progress.next(), abort.signal);
      let end: GenerationAttemptEnd = TRUNCATED;
      for await (const item of stream) {
        if (item.err) {
          end = endOf(item.val, { leaving: permit.leaving.aborted });
          break;
        }
        // The connection has mixed up the responses of two requests.
        if (item.val.id !== progress.id) {
          end = OTHER_REQUEST_ANSWERED;
          break;
        }
        const chunk = progress.addChunk(item.val);
        if (chunk.finishReason !== "") {
          outcome = Outcome.Served;
          yield Ok(chunk);
          return undefined;
        }
        yield Ok(chunk);
      }
      outcome = end.outcome;
      progress.raiseVerdict(end.verdict);
      const final = atMostOnce && end.verdict === Verdict.MayHaveRun;
      // New tokens are kept, so resuming after them repeats no work.
      const unbudgeted = end.unbudgeted || progress.tokens > before;
      return { ...end, unbudgeted, retryable: end.retryable && !final };
    } finally {
      // A stream that finished has nothing left to abort.
      if (outcome !== Outcome.Served) abort.abort();
      scope.signal.removeEventListener("abort", stop);
      permit.leaving.removeEventListener("abort", onLeaving);
      permit.release(outcome, progress.tokens - before);
    }
  }

  /** The refusal to end with, or `undefined` if the generation continues. */
  #refusal(
    end: GenerationAttemptEnd,
    options: {
      route: string;
      progress: GenerationProgress;
      attempt: number;
      scope: CancelScope;
    },
  ): Refusal | undefined {
    const { route, progress, attempt, scope } = options;
    const { verdict } = progress;
    if (scope.refusal !== undefined) {
      return scope.refusal.withEarlierVerdict(verdict);
    }
    if (!end.retryable || attempt + 1 >= MAX_ATTEMPTS) {
      return new Refusal({
        verdict,
        reason: end.reason,
        message: end.message,
        retryAfterMs: 1000,
      });
    }
    if (end.unbudgeted || this.#retryBudget.spend(route)) return undefined;
    return new Refusal({
      verdict,
      reason: Reason.RetryBudgetSpent,
      message: `${end.message}, and the retry budget is spent`,
      retryAfterMs: 1000,
    });
  }
}

/** How an attempt ended without a finish reason. */
interface GenerationAttemptEnd {
  readonly reason: Reason;
  readonly outcome: Outcome;
  readonly verdict: Verdict;
  readonly message: string;
  readonly retryable: boolean;
  /** Whether a retry is not charged to the retry budget. */
  readonly unbudgeted: boolean;
}

const TRUNCATED: GenerationAttemptEnd = {
  reason: Reason.Truncated,
  outcome: Outcome.Broken,
  verdict: Verdict.MayHaveRun,
  message: "The upstream's answer ended early",
  retryable: true,
  unbudgeted: false,
};

const OTHER_REQUEST_ANSWERED: GenerationAttemptEnd = {
  ...TRUNCATED,
  reason: Reason.UpstreamCrashed,
  message: "The upstream answered another request",
};

const END_OF_FAULT: Readonly<Record<EngineFault, GenerationAttemptEnd>> = {
  [EngineFault.Connect]: {
    reason: Reason.ConnectFailed,
    outcome: Outcome.Unreachable,
    verdict: Verdict.NotRun,
    message: "No connection to the upstream could be made",
    retryable: true,
    unbudgeted: false,
  },
  [EngineFault.Refused]: {
    reason: Reason.UpstreamRefused,
    outcome: Outcome.Refused,
    verdict: Verdict.NotRun,
    message: "The upstream refused the request",
    retryable: true,
    unbudgeted: false,
  },
  [EngineFault.Broken]: {
    ...TRUNCATED,
    reason: Reason.UpstreamCrashed,
    message: "The connection to the upstream broke",
  },
  [EngineFault.Silent]: {
    ...TRUNCATED,
    reason: Reason.UpstreamSilent,
    outcome: Outcome.Silent,
    message: "The upstream went silent",
  },
  [EngineFault.Truncated]: TRUNCATED,
  [EngineFault.Cancelled]: {
    reason: Reason.Cancelled,
    outcome: Outcome.Cancelled,
    verdict: Verdict.MayHaveRun,
    message: "The request was cancelled",
    retryable: false,
    unbudgeted: false,
  },
};

const UPSTREAM_LEAVING: GenerationAttemptEnd = {
  ...END_OF_FAULT[EngineFault.Cancelled],
  reason: Reason.UpstreamLeaving,
  message: "The upstream is leaving",
  retryable: true,
  // Upstreams leave when the platform says so: no risk of a retry storm.
  unbudgeted: true,
};

function endOf(
  failure: EngineFailure,
  options: { leaving: boolean },
): GenerationAttemptEnd {
  const cancelled = failure.kind === EngineFault.Cancelled;
  return cancelled && options.leaving
    ? UPSTREAM_LEAVING
    : END_OF_FAULT[failure.kind];
}

/** What a generation has produced over all its attempts. */
class GenerationProgress {
  readonly id: string;
  readonly triedUpstreams: string[] = [];
  tokens = 0;
  verdict = Verdict.NotRun;
  readonly #generation: Generation;
  #text = "";
  #weightVersion = 0;

  constructor(generation: Generation) {
    this.id = generation.id;
    this.#generation = generation;
  }

  /** The generation for the next attempt: the text so far, the tokens left. */
  next(): Generation {
    if (this.tokens === 0) return this.#generation;
    const { resume, maxTokens } = this.#generation;
    return {
      ...this.#generation,
      resume: resume + this.#text,
      maxTokens: maxTokens - this.tokens,
    };
  }

  addChunk(chunk: Chunk): Chunk {
    this.#text += chunk.text;
    this.tokens += chunk.tokens;
    this.#weightVersion = chunk.weightVersion;
    this.verdict = Verdict.MayHaveRun;
    return chunk;
  }

  /** Whether all tokens were received, though perhaps no finish reason. */
  get isComplete(): boolean {
    return this.tokens >= this.#generation.maxTokens;
  }

  /** The last chunk where the engine's own was lost after all tokens. */
  lengthFinish(): Chunk {
    return {
      id: this.id,
      text: "",
      tokens: 0,
      weightVersion: this.#weightVersion,
      finishReason: "length",
      promptTokens: 0,
    };
  }

  raiseVerdict(verdict: Verdict) {
    this.verdict = worseVerdict(this.verdict, verdict);
  }
}

/** Cancels a generation when its consumer aborts or its deadline passes. */
class CancelScope {
  readonly #abort = new AbortController();
  readonly #callerSignal: AbortSignal;
  readonly #cancel = () => this.#end(CANCELLED);
  refusal: Refusal | undefined;

  constructor(callerSignal: AbortSignal) {
    this.#callerSignal = callerSignal;
    callerSignal.addEventListener("abort", this.#cancel);
    if (callerSignal.aborted) this.#cancel();
  }

  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  expire() {
    this.#end(DEADLINE_EXCEEDED);
  }

  release() {
    this.#callerSignal.removeEventListener("abort", this.#cancel);
  }

  #end(refusal: Refusal) {
    this.refusal ??= refusal;
    this.#abort.abort();
  }
}

// The verdict of the attempts replaces that of these refusals.
const CANCELLED = new Refusal({
  verdict: Verdict.NotRun,
  reason: Reason.Cancelled,
  message: "The request was cancelled",
});

const DEADLINE_EXCEEDED = new Refusal({
  verdict: Verdict.NotRun,
  reason: Reason.DeadlineExceeded,
  message: "The request's deadline passed",
});

register({
  key: generatorKey,
  requires: [dispatchKey],
  create: (kernel) => new ResumingGenerator({ kernel }),
});
