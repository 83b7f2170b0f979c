/**
 * Forwards a streamed response to the caller. Nothing is sent before the first
 * event, so that another upstream may take over until then. After it, another
 * upstream continues the stream only if the route's streams are resumable, and
 * only with the event that follows the last one forwarded.
 *
 * @module
 */

import { Err, Ok, type Result } from "ts-results";
import { Outcome, type Permit } from "../dispatch/mod.ts";
import type { Refusal } from "../kernel/mod.ts";
import {
  Loss,
  type LostRequest,
  type StreamEvent,
  type UpstreamResponse,
  type UpstreamStream,
} from "../outside/mod.ts";
import type { AttemptRunner, StartedAnswer } from "./attempts.ts";
import {
  ATTEMPT_TIMED_OUT,
  type AttemptTimeout,
  type RequestProgress,
} from "./request_progress.ts";
import type { Requester, StreamedResponse } from "./mod.ts";

/** A stream whose first event has arrived. */
interface StartedStream {
  readonly flow: UpstreamStream;
  /** Undefined if the stream is complete without an event. */
  readonly first: StreamEvent | undefined;
  readonly timeout: AttemptTimeout;
}

/** One streamed response, over all the upstreams that produce it. */
export class StreamForwarder {
  readonly #attemptRunner: AttemptRunner;
  readonly #progress: RequestProgress;
  readonly #requester: Requester;
  readonly #ended: (result: Result<unknown, Refusal>) => void;

  constructor(options: {
    attemptRunner: AttemptRunner;
    progress: RequestProgress;
    requester: Requester;
    /** Called once with the result when the stream has ended. */
    ended: (result: Result<unknown, Refusal>) => void;
  }) {
    this.#attemptRunner = options.attemptRunner;
    this.#progress = options.progress;
    this.#requester = options.requester;
    this.#ended = options.ended;
  }

  /** Sends until a first event or another response arrives. */
  async open(): Promise<Result<StreamedResponse | UpstreamResponse, Refusal>> {
    const started = await this.#startStream();
    if (started.err || "body" in started.val) {
      this.#ended(started);
      return started as Result<UpstreamResponse, Refusal>;
    }
    const { status, fields } = started.val.answer.flow;
    return Ok({ status, fields, parts: this.#parts(started.val) });
  }

  async *#parts(
    first: StartedAnswer<StartedStream>,
  ): AsyncGenerator<Result<string, Refusal>, void, void> {
    let current = first;
    let result: Result<string, Refusal> = Ok("");
    try {
      for (;;) {
        const lost = yield* this.#forwardFromUpstream(current);
        if (lost === undefined) return;
        const retry = this.#attemptRunner.lost(
          this.#progress,
          current.permit,
          lost,
        );
        const next = retry ? await this.#startStream() : undefined;
        if (next?.ok && !("body" in next.val)) {
          current = next.val;
          continue;
        }
        result = Err(next?.err ? next.val : this.#progress.failed(lost));
        yield result;
        return;
      }
    } finally {
      this.#ended(result);
    }
  }

  /** Forwards one upstream's events; returns the loss unless complete. */
  async *#forwardFromUpstream(
    { answer: { flow, first, timeout }, permit }: StartedAnswer<StartedStream>,
  ): AsyncGenerator<Result<string, Refusal>, LostRequest | undefined, void> {
    // The reader may stop at any event.
    let end = Outcome.Cancelled;
    let lost: LostRequest | undefined;
    try {
      if (first !== undefined) yield this.#forwardedText(first);
      for await (const event of flow.events) {
        if (event.err) lost = event.val;
        else if (!this.#isNextEvent(event.val)) lost = outOfOrder(event.val);
        if (event.err || lost !== undefined) break;
        yield this.#forwardedText(event.val);
      }
      if (lost !== undefined) return lost;
      const tail = flow.remainder();
      if (tail !== "") yield Ok(tail);
      end = Outcome.Served;
      return undefined;
    } finally {
      timeout.end();
      if (lost === undefined) permit.release(end, this.#tokens);
    }
  }

  #forwardedText({ number, raw }: StreamEvent): Result<string, Refusal> {
    this.#progress.after = number;
    return Ok(raw);
  }

  #isNextEvent({ number }: StreamEvent): boolean {
    const { after } = this.#progress;
    return after === undefined || number === after + 1;
  }

  get #tokens(): number {
    return Math.max(1, this.#progress.request.prompt?.tokens ?? 1);
  }

  async #startStream(): Promise<
    Result<StartedAnswer<StartedStream> | UpstreamResponse, Refusal>
  > {
    const started = await this.#attemptRunner.run(
      this.#progress,
      this.#requester,
      (permit) => this.#startAttempt(permit),
    );
    if (started.ok && !("body" in started.val)) {
      // A stream counts as running from its first event on.
      this.#attemptRunner.count(this.#progress, this.#requester);
    }
    return started;
  }

  async #startAttempt(
    permit: Permit,
  ): Promise<Result<StartedStream, LostRequest>> {
    const progress = this.#progress;
    const timeout = progress.attempt();
    // A stream that can't resume elsewhere stays, even if its upstream leaves
    // or is silent.
    const retryable = progress.mayRetry(Loss.Silent);
    const signal = retryable
      ? AbortSignal.any([timeout.signal, permit.leaving])
      : timeout.signal;
    const request = this.#attemptRunner.buildRequest(
      progress,
      this.#requester,
      { retryable },
    );
    const flow = await this.#attemptRunner.transport
      .stream(permit.target, request, signal);
    const first = flow.err ? flow : await this.#firstEvent(flow.val);
    if (first.err || flow.err) {
      timeout.end();
      return Err(
        timeout.timedOut ? ATTEMPT_TIMED_OUT : first.val as LostRequest,
      );
    }
    timeout.cancelTimeout();
    return Ok({ flow: flow.val, first: first.val, timeout });
  }

  async #firstEvent(
    { events }: UpstreamStream,
  ): Promise<Result<StreamEvent | undefined, LostRequest>> {
    const next = await events.next();
    if (next.done) return Ok(undefined);
    if (next.value.err || this.#isNextEvent(next.value.val)) return next.value;
    await events.return();
    return Err(outOfOrder(next.value.val));
  }
}

function outOfOrder({ number }: StreamEvent): LostRequest {
  return { loss: Loss.Broken, message: `Event ${number} is out of place` };
}
