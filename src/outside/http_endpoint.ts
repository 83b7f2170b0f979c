/**
 * Calls to one HTTP service, each with a bound on its time and a careful
 * verdict on its failure. Nothing is sent twice.
 *
 * @module
 */

import { Err, Ok, type Result } from "ts-results";
import type { Socket } from "node:net";
import type { Readable } from "node:stream";
import { buildConnector, errors, Pool } from "undici";
import type { ZodType } from "zod";
import { parseJson } from "../kernel/mod.ts";
import { isExpired } from "./expiry.ts";
import { type Failure, Fault } from "./mod.ts";

const CONNECT_TIMEOUT_MS = 1000;
const CALL_TIMEOUT_MS = 1000;
const IDLE_TIMEOUT_MS = 4000;

/** What is sent to an endpoint. */
export interface HttpRequest {
  readonly method: "GET" | "POST" | "DELETE";
  readonly path: string;
  /** Sent as JSON, or as it is if it is text. */
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeoutMs?: number;
  readonly signal?: AbortSignal;
}

/** One call to an endpoint. */
export interface HttpCall<T> extends HttpRequest {
  /** What the answer must look like. */
  readonly answer: ZodType<T>;
}

/** What an endpoint answered, whatever the status. */
export interface HttpReply {
  readonly status: number;
  readonly text: string;
}

/** An HTTP service and the connections to it. */
export class HttpEndpoint {
  readonly #base: URL;
  readonly #connections: number | null;
  #pool: Pool;

  constructor(options: { url: string; connections?: number | null }) {
    this.#base = new URL(options.url);
    this.#connections = options.connections ?? null;
    this.#pool = this.#connect();
  }

  /** Makes one call. */
  async call<T>(call: HttpCall<T>): Promise<Result<T, Failure>> {
    const reply = await this.request(call);
    if (reply.err) return reply;
    const { status, text } = reply.val;
    if (status !== 200) return Err(refusal(status, text));
    const answer = call.answer.safeParse(parseJson(text));
    if (answer.success) return Ok(answer.data);
    return Err({ fault: Fault.Unknown, message: answer.error.message });
  }

  /** Asks and takes any status for an answer. */
  async request(question: HttpRequest): Promise<Result<HttpReply, Failure>> {
    const bound = new Bound(
      question.timeoutMs ?? CALL_TIMEOUT_MS,
      question.signal,
    );
    try {
      return Ok(await this.#send(question, bound.signal));
    } catch (error) {
      if (bound.timedOut) this.#renew();
      return Err(failure(error, bound.timedOut));
    } finally {
      bound.end();
    }
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  async #send(question: HttpRequest, signal: AbortSignal): Promise<HttpReply> {
    const { headers, body } = contentOf(question);
    const response = await this.#pool.request({
      method: question.method,
      path: this.#base.pathname.replace(/\/$/, "") + question.path,
      headers: { ...headers, ...question.headers },
      body,
      signal,
    });
    const text = await response.body.text();
    return { status: response.statusCode, text };
  }

  #connect(): Pool {
    return new Pool(this.#base.origin, {
      connections: this.#connections,
      pipelining: 1,
      connect: abortive(CONNECT_TIMEOUT_MS),
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
    });
  }

  // After a call that timed out, idle connections may be silent too: new
  // calls get new ones, running calls end on theirs.
  #renew(): void {
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
    // The library takes async iterables too; its types don't tell.
    body: signal ? unexpired(content, signal) as unknown as Readable : content,
  };
}

/** Gives the content when it is about to be written, if it still may be. */
async function* unexpired(content: Buffer, signal: AbortSignal) {
  if (isExpired(signal)) throw new Error("Call expired before it was sent");
  yield content;
}

/**
 * Makes connections on which an aborted call doesn't reach the other end
 * late. What the network didn't take yet is discarded, by a reset instead of
 * an orderly end. And a process that was paused while it connected runs its
 * overdue timers, which abort the call, before it sends.
 */
function abortive(timeoutMs: number): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMs });
  return (options, callback) =>
    connect(options, (...[error, socket]) => {
      if (error !== null) return callback(error, null);
      (socket as ResettableSocket).resetAndClosing = true;
      setTimeout(() => callback(null, socket), 1);
    });
}

/** A socket of Node that is reset when it is destroyed. */
type ResettableSocket = Socket & { resetAndClosing: boolean };

/** A signal that aborts with `outer` or after a time. */
export class Bound {
  readonly #abort = new AbortController();
  readonly #timer: NodeJS.Timeout;
  readonly #outer: AbortSignal | undefined;
  readonly #follow = () => this.#abort.abort();
  #timedOut = false;

  constructor(timeoutMs: number, outer?: AbortSignal) {
    this.#timer = setTimeout(() => {
      this.#timedOut = true;
      this.#abort.abort();
    }, timeoutMs);
    this.#outer = outer;
    if (outer?.aborted) this.#abort.abort();
    outer?.addEventListener("abort", this.#follow, { once: true });
  }

  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  get timedOut(): boolean {
    return this.#timedOut;
  }

  /** Releases the timer and the outer signal. */
  end(): void {
    clearTimeout(this.#timer);
    this.#outer?.removeEventListener("abort", this.#follow);
  }
}

/** Whether an answer with this status says that nothing was done. */
export function isRejectedStatus(status: number): boolean {
  return status >= 400 && status < 500 && status !== 408;
}

/**
 * Whether the error shows that no connection was made. An error of an
 * established connection has another syscall, whatever its code.
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
