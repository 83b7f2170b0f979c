/**
 * HTTP client of one service. Each call has a timeout; a failure states whether
 * the call may have taken effect. No call is sent twice.
 *
 * @module
 */

import { Err, Ok, type Result } from "ts-results";
import type { Socket } from "node:net";
import type { Readable } from "node:stream";
import { type buildConnector, errors, Pool } from "undici";
import { faultReportingConnector } from "./fault_reporting_connector.ts";
import type { ZodType } from "zod";
import { parseJson } from "../kernel/mod.ts";
import { AnswerLimits } from "./answer_limits.ts";
import { isExpired } from "./expiry.ts";
import { type Failure, Fault } from "./mod.ts";

const CONNECT_TIMEOUT_MS = 1000;
const CALL_TIMEOUT_MS = 1000;
const IDLE_TIMEOUT_MS = 4000;

/**
 * Limit on the answer to a call. A page of the platform's key-value service has
 * up to 1 MB or one value of 1 MiB, and a watch the history of seconds.
 */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/** A request to an endpoint. */
export interface HttpRequest {
  readonly method: "GET" | "POST" | "DELETE";
  readonly path: string;
  /** A string is sent unchanged, anything else as JSON. */
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeoutMs?: number;
  readonly signal?: AbortSignal;
}

/** A request with the schema of its answer. */
export interface HttpCall<T> extends HttpRequest {
  /** Schema of the answer. */
  readonly answer: ZodType<T>;
}

/** The answer of an endpoint, with any status. */
export interface HttpReply {
  readonly status: number;
  readonly text: string;
}

/** Where a service is, and what its answers may hold. */
export interface EndpointOptions {
  readonly url: string;
  /** Shared with the other clients of the daemon. */
  readonly limits?: AnswerLimits;
}

/** An HTTP service and its connections. */
export class HttpEndpoint {
  readonly #base: URL;
  readonly #limits: AnswerLimits;
  readonly #maxConnections: number | null;
  #pool: Pool;

  constructor(options: EndpointOptions & { connections?: number | null }) {
    this.#base = new URL(options.url);
    this.#limits = options.limits ?? new AnswerLimits();
    this.#maxConnections = options.connections ?? null;
    this.#pool = this.#connect();
  }

  /** Makes a call; succeeds only with status 200 and a valid answer. */
  async call<T>(call: HttpCall<T>): Promise<Result<T, Failure>> {
    const reply = await this.request(call);
    if (reply.err) return reply;
    const { status, text } = reply.val;
    if (status !== 200) return Err(refusal(status, text));
    const answer = call.answer.safeParse(parseJson(text));
    if (answer.success) return Ok(answer.data);
    return Err({ fault: Fault.Unknown, message: answer.error.message });
  }

  /** Sends a request; an answer with any status is a success. */
  async request(request: HttpRequest): Promise<Result<HttpReply, Failure>> {
    const timeout = new CallTimeout(
      request.timeoutMs ?? CALL_TIMEOUT_MS,
      request.signal,
    );
    try {
      return Ok(await this.#send(request, timeout.signal));
    } catch (error) {
      this.#limits.report(error, this.#base.host);
      if (timeout.timedOut) this.#replacePool();
      return Err(failure(error, timeout.timedOut));
    } finally {
      timeout.end();
    }
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  async #send(request: HttpRequest, signal: AbortSignal): Promise<HttpReply> {
    const { headers, body } = contentOf(request);
    const response = await this.#pool.request({
      method: request.method,
      path: this.#base.pathname.replace(/\/$/, "") + request.path,
      headers: { ...headers, ...request.headers },
      body,
      signal,
    });
    const { statusCode: status, body: answer } = response;
    if (!isFinalStatus(status)) {
      answer.on("error", () => {}).destroy();
      throw new RangeError(`Status "${status}" is none of HTTP`);
    }
    const content = await this.#limits.read(answer, MAX_ANSWER_BYTES);
    return { status, text: content.toString() };
  }

  #connect(): Pool {
    return new Pool(this.#base.origin, {
      connections: this.#maxConnections,
      pipelining: 1,
      connect: resettingConnector(CONNECT_TIMEOUT_MS),
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
    });
  }

  // After a call timed out, idle connections may be silent too: new calls get
  // new connections, while running calls finish on the old ones.
  #replacePool(): void {
    const old = this.#pool;
    this.#pool = this.#connect();
    old.close().catch(() => old.destroy());
  }
}

/** The headers and the body of a call. */
function contentOf({ body, signal }: HttpRequest): {
  headers?: Record<string, string>;
  body?: Buffer | Readable;
} {
  if (body === undefined) return {};
  const text = typeof body === "string";
  const content = Buffer.from(text ? body : JSON.stringify(body));
  return {
    headers: {
      "content-type": text ? "application/octet-stream" : "application/json",
      "content-length": `${content.length}`,
    },
    body: signal
      ? contentUnlessExpired(content, () => isExpired(signal))
      : content,
  };
}

/** Fails a call whose time was over when it was about to be written. */
export class ExpiredCall extends Error {
  constructor() {
    super("Call expired before it was sent");
  }
}

/**
 * Yields the content when it is about to be written; if the call has expired by
 * then, nothing of it is written. Needs a content-length header.
 */
export function contentUnlessExpired(
  content: Buffer,
  expired: () => boolean,
): Readable {
  async function* check() {
    if (expired()) throw new ExpiredCall();
    yield content;
  }
  // undici accepts async iterables too, but its types don't include them.
  return check() as unknown as Readable;
}

/**
 * Makes connections on which an aborted call can't reach the other end late.
 * Destroying a connection resets it, which discards data not yet sent. A call
 * starts one timer turn after connecting: if the process was paused meanwhile,
 * overdue timers run first and abort the call.
 */
export function resettingConnector(
  timeoutMs: number,
): buildConnector.connector {
  const connect = faultReportingConnector(timeoutMs);
  return (options, callback) =>
    connect(options, (...[error, socket]) => {
      if (error !== null) return callback(error, null);
      (socket as ResettableSocket).resetAndClosing = true;
      setTimeout(() => callback(null, socket), 1);
    });
}

/** A Node.js socket with its internal flag to reset when destroyed. */
type ResettableSocket = Socket & { resetAndClosing: boolean };

/** A signal that aborts with `outer` or after a timeout. */
export class CallTimeout {
  readonly #abort = new AbortController();
  readonly #timer: NodeJS.Timeout;
  readonly #outer: AbortSignal | undefined;
  readonly #abortWithOuter = () => this.#abort.abort();
  #timedOut = false;

  constructor(timeoutMs: number, outer?: AbortSignal) {
    this.#timer = setTimeout(() => {
      this.#timedOut = true;
      this.#abort.abort();
    }, timeoutMs);
    this.#outer = outer;
    if (outer?.aborted) this.#abort.abort();
    outer?.addEventListener("abort", this.#abortWithOuter, { once: true });
  }

  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  get timedOut(): boolean {
    return this.#timedOut;
  }

  /** Stops the timer and the listener on the outer signal. */
  end(): void {
    clearTimeout(this.#timer);
    this.#outer?.removeEventListener("abort", this.#abortWithOuter);
  }
}

/** Whether HTTP has a status of this class for the end of an exchange. */
export function isFinalStatus(status: number): boolean {
  return status >= 200 && status < 600;
}

/** Whether the status reports a failure of the server. */
export function isFailureStatus(status: number): boolean {
  return status >= 500;
}

/** Whether this status means that the call had no effect. */
export function isRejectedStatus(status: number): boolean {
  return status >= 400 && status < 500 && status !== 408;
}

/**
 * Whether the error shows that no connection was established. Errors of an
 * established connection have another syscall, whatever their code.
 */
export function isConnectError(error: unknown): boolean {
  if (error instanceof errors.ConnectTimeoutError) return true;
  if (error instanceof AggregateError) {
    return error.errors.length > 0 && error.errors.every(isConnectError);
  }
  return error instanceof Error &&
    (error as NodeJS.ErrnoException).syscall === "connect";
}

/** The error's message, or the value itself as text. */
export function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

function refusal(status: number, body: string): Failure {
  const fault = isRejectedStatus(status) ? Fault.Refused : Fault.Unknown;
  return { fault, message: `Answer ${status}: ${body.slice(0, 200)}` };
}

function failure(error: unknown, timedOut: boolean): Failure {
  if (timedOut) return { fault: Fault.Unknown, message: "No answer in time" };
  const fault = isConnectError(error) ? Fault.NotSent : Fault.Unknown;
  return { fault, message: messageOf(error) };
}
