/**
 * Forwards the response of one attempt at an upstream to the caller. An
 * incomplete response is reported as such, never ended as if complete.
 *
 * @module
 */

import type { FastifyReply } from "fastify";
import type { Dispatcher } from "undici";
import { Outcome } from "../dispatch/mod.ts";
import { Reason, Verdict } from "../kernel/mod.ts";
import { isFailureStatus, isFinalStatus } from "../outside/http_endpoint.ts";
import type { ResponseRecorder } from "./idempotency.ts";
import { BodyRefusedError, responseHeaders } from "./forwarded_request.ts";

/** How an attempt ended without a complete response. */
export interface ForwardAttemptEnd {
  readonly reason: Reason;
  readonly outcome: Outcome;
  readonly verdict: Verdict;
  readonly message: string;
}

/** Headers of an upstream's response, with names in lower case. */
export type ResponseHeaders = Record<string, string | string[] | undefined>;

/** Undici handler that forwards the response of one attempt. */
export class ResponseForwarder implements Dispatcher.DispatchHandler {
  /** Resolves to `undefined` once the complete response has been sent. */
  readonly ended: Promise<ForwardAttemptEnd | undefined>;
  readonly #reply: FastifyReply;
  readonly #record: (status: number, contentType: string) => Promise<void>;
  readonly #recorder: ResponseRecorder | undefined;
  readonly #onHead: (headers: ResponseHeaders) => void;
  #resolve!: (end: ForwardAttemptEnd | undefined) => void;
  #controller: Dispatcher.DispatchController | undefined;
  #cancelled = false;
  #status = 0;
  #contentType = "";
  /** Bytes of the body not yet received; `undefined` if it has no length. */
  #remainingBytes: number | undefined;
  /** The last chunk, held back until the usage has been recorded. */
  #heldChunk: Buffer | undefined;

  constructor(options: {
    reply: FastifyReply;
    /** Awaited before the last byte is sent. */
    record: (status: number, contentType: string) => Promise<void>;
    recorder?: ResponseRecorder;
    /** Called with the headers of the upstream's response. */
    onHead?: (headers: ResponseHeaders) => void;
  }) {
    this.#onHead = options.onHead ?? (() => {});
    this.#reply = options.reply;
    this.#record = options.record;
    this.#recorder = options.recorder;
    this.ended = new Promise((resolve) => this.#resolve = resolve);
  }

  /** Whether the response reports a failure of the upstream. */
  get upstreamFailed(): boolean {
    return isFailureStatus(this.#status);
  }

  onRequestStart(controller: Dispatcher.DispatchController) {
    // A second start is a retry by undici, which would send the request again.
    const isRetry = this.#controller !== undefined;
    this.#controller = controller;
    if (isRetry || this.#cancelled) controller.abort(new Error("Cancelled"));
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: ResponseHeaders,
  ) {
    if (status < 200) return;
    if (!isFinalStatus(status)) {
      return controller.abort(new Error(`Status "${status}" is none of HTTP`));
    }
    this.#onHead(headers);
    if (this.#cancelled) return;
    this.#status = status;
    this.#contentType = String(headers["content-type"] ?? "");
    const length = headers["content-length"];
    this.#remainingBytes = length === undefined ? undefined : Number(length);
    this.#reply.hijack();
    this.#reply.raw.writeHead(status, responseHeaders(headers));
    if (this.#remainingBytes === undefined) this.#reply.raw.flushHeaders();
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer) {
    this.#recorder?.add(chunk);
    if (this.#remainingBytes !== undefined) {
      this.#remainingBytes -= chunk.length;
      // The last bytes are held back until the usage has been recorded.
      if (this.#remainingBytes <= 0) {
        this.#heldChunk = chunk;
        return;
      }
    }
    const { raw } = this.#reply;
    if (raw.write(chunk)) return;
    controller.pause();
    raw.once("drain", () => controller.resume());
  }

  async onResponseEnd() {
    if (this.#cancelled) return;
    await this.#record(this.#status, this.#contentType);
    if (this.#cancelled) return;
    this.#reply.raw.end(this.#heldChunk);
    this.#resolve(undefined);
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ) {
    this.failed(error);
  }

  /** Ends the attempt with an error of the connection or the body. */
  failed(error: Error) {
    this.#resolve(this.#endOf(error));
  }

  /** Cancels the attempt; a request that has not started is never sent. */
  cancel() {
    this.#cancelled = true;
    const requestStarted = this.#controller !== undefined;
    this.#resolve({
      reason: Reason.Cancelled,
      outcome: Outcome.Cancelled,
      verdict: requestStarted ? Verdict.MayHaveRun : Verdict.NotRun,
      message: "The request was cancelled",
    });
    this.#controller?.abort(new Error("Cancelled"));
  }

  #endOf(error: Error): ForwardAttemptEnd {
    if (error instanceof BodyRefusedError) {
      return {
        reason: error.refusal.reason,
        outcome: Outcome.Cancelled,
        verdict: Verdict.MayHaveRun,
        message: error.message,
      };
    }
    // Undici calls `onRequestStart` before it writes the first byte.
    if (this.#controller === undefined) return CONNECT_FAILED;
    const { code } = error as NodeJS.ErrnoException;
    return TIMEOUT_CODES.has(code ?? "") ? UPSTREAM_SILENT : CONNECTION_BROKEN;
  }
}

const TIMEOUT_CODES: ReadonlySet<string> = new Set([
  "UND_ERR_HEADERS_TIMEOUT",
  "UND_ERR_BODY_TIMEOUT",
]);

const CONNECT_FAILED: ForwardAttemptEnd = {
  reason: Reason.ConnectFailed,
  outcome: Outcome.Unreachable,
  verdict: Verdict.NotRun,
  message: "No connection to the upstream could be made",
};

const CONNECTION_BROKEN: ForwardAttemptEnd = {
  reason: Reason.UpstreamCrashed,
  outcome: Outcome.Broken,
  verdict: Verdict.MayHaveRun,
  message: "The connection to the upstream broke",
};

const UPSTREAM_SILENT: ForwardAttemptEnd = {
  reason: Reason.UpstreamSilent,
  outcome: Outcome.Silent,
  verdict: Verdict.MayHaveRun,
  message: "The upstream went silent",
};
