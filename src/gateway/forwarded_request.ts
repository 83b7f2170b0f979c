/**
 * Headers and body of a request as forwarded to an upstream. The caller's key
 * is removed from the headers and refused in the body. Small bodies are
 * buffered so that they can be sent again.
 *
 * @module
 */

import type { FastifyRequest } from "fastify";
import * as O from "fp-ts/Option";
import type { IncomingMessage } from "node:http";
import { Readable } from "node:stream";
import { Err, Ok, type Result } from "ts-results";
import { Reason, Refusal, Verdict } from "../kernel/mod.ts";
import { type Admitted, KEY_HEADERS, TOO_LARGE } from "./request_admission.ts";

/** Bodies up to this size are buffered until the request is answered. */
const MAX_BUFFERED_BYTES = 64 * 1024;

/** Prefix of the headers that the daemon sets on forwarded requests. */
const DAEMON_HEADER_PREFIX = "x-toucanwind-";

const HOP_BY_HOP: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

const NOT_FORWARDED: ReadonlySet<string> = new Set([
  ...HOP_BY_HOP,
  ...KEY_HEADERS,
  "content-length",
  "expect",
  "host",
  "x-deadline-ms",
]);

/** Headers for the upstream, with names and values alternating. */
export function forwardedHeaders(
  request: FastifyRequest,
  admitted: Admitted,
): string[] {
  const connectionHeaders = namesInConnection(request.headers.connection);
  const { rawHeaders } = request.raw;
  const headers: string[] = [];
  for (let i = 0; i < rawHeaders.length; i += 2) {
    const name = rawHeaders[i].toLowerCase();
    if (
      NOT_FORWARDED.has(name) || connectionHeaders.has(name) ||
      isReservedHeader(name)
    ) continue;
    headers.push(name, rawHeaders[i + 1]);
  }
  const length = request.headers["content-length"];
  if (length !== undefined) headers.push("content-length", length);
  headers.push(`${DAEMON_HEADER_PREFIX}tenant`, admitted.caller.organisation);
  headers.push(`${DAEMON_HEADER_PREFIX}request-id`, admitted.id);
  return headers;
}

/** Headers of an upstream's response that are forwarded to the caller. */
export function responseHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string | string[]> {
  const { connection } = headers;
  const connectionHeaders = namesInConnection(
    Array.isArray(connection) ? connection.join(",") : connection,
  );
  const forwarded: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP.has(name)) continue;
    if (!connectionHeaders.has(name)) forwarded[name] = value;
  }
  return forwarded;
}

/** Headers with which a caller might forge an organisation. */
function isReservedHeader(name: string): boolean {
  return name.startsWith(DAEMON_HEADER_PREFIX) || name.startsWith("x-tenant");
}

function namesInConnection(value: string | undefined): ReadonlySet<string> {
  if (value === undefined || value === "keep-alive") return NO_HEADERS;
  return new Set(value.split(",").map((name) => name.trim().toLowerCase()));
}

const NO_HEADERS: ReadonlySet<string> = new Set();

/** A request's body, as sent to upstreams. */
export interface RequestBody {
  /** Whether another `open` would return the complete body. */
  readonly canReopen: boolean;
  /** The bytes of a buffered body; empty if the body is streamed. */
  readonly bytes: Uint8Array;
  /** The body for one attempt; `null` if the request has no body. */
  open(): Buffer | Readable | null;
}

/** Buffers a small body; a larger or chunked one will be streamed. */
export async function readBody(
  request: FastifyRequest,
  admitted: Admitted,
): Promise<Result<RequestBody, Refusal>> {
  const { raw, headers } = request;
  const length = Number(headers["content-length"] ?? 0);
  const chunked = headers["transfer-encoding"] !== undefined;
  if (length === 0 && !chunked) return Ok(EMPTY_BODY);
  const key = O.toUndefined(admitted.key) ?? "";
  const { maxBodyBytes } = admitted.route;
  if (chunked || length > MAX_BUFFERED_BYTES) {
    return Ok(new StreamedBody(raw, { key, maxBodyBytes }));
  }
  const bytes = await readAll(raw);
  if (bytes.err) return bytes;
  if (key !== "" && bytes.val.includes(key)) return Err(KEY_IN_BODY);
  return Ok({ canReopen: true, bytes: bytes.val, open: () => bytes.val });
}

const EMPTY_BODY: RequestBody = {
  canReopen: true,
  bytes: new Uint8Array(),
  open: () => null,
};

function readAll(raw: IncomingMessage): Promise<Result<Buffer, Refusal>> {
  const chunks: Buffer[] = [];
  return new Promise((resolve) => {
    raw.on("data", (chunk: Buffer) => chunks.push(chunk));
    raw.once("end", () => {
      const [first] = chunks;
      resolve(Ok(chunks.length === 1 ? first : Buffer.concat(chunks)));
    });
    // The caller disconnected, or its connection was closed because it sent too
    // slowly. Has no effect after the end of the body.
    raw.once("close", () => resolve(BODY_ENDED_EARLY));
  });
}

// Created once, because each `Err` captures a stack trace, which is slow.
const BODY_ENDED_EARLY = Err(
  new Refusal({
    verdict: Verdict.NotRun,
    reason: Reason.Cancelled,
    message: "The request's body ended early",
  }),
);

/** A body that is streamed as it arrives and can be sent only once. */
class StreamedBody implements RequestBody {
  readonly bytes = new Uint8Array();
  canReopen = true;
  readonly #raw: IncomingMessage;
  readonly #key: Buffer;
  readonly #maxBodyBytes: number;

  constructor(
    raw: IncomingMessage,
    options: { key: string; maxBodyBytes: number },
  ) {
    this.#raw = raw;
    this.#key = Buffer.from(options.key);
    this.#maxBodyBytes = options.maxBodyBytes;
  }

  open(): Readable {
    return Readable.from(this.#checkedChunks(), { objectMode: false });
  }

  async *#checkedChunks(): AsyncGenerator<Uint8Array, void, void> {
    this.canReopen = false;
    let total = 0;
    let kept: Uint8Array = new Uint8Array();
    for await (const chunk of this.#raw) {
      total += chunk.length;
      if (total > this.#maxBodyBytes) throw new BodyRefusedError(TOO_LARGE);
      const next = this.#checkForKey(Buffer.concat([kept, chunk]));
      kept = next.kept;
      if (next.safe.length > 0) yield next.safe;
    }
    if (kept.length > 0) yield kept;
  }

  /** Holds back trailing bytes that could be the start of the caller's key. */
  #checkForKey(bytes: Buffer): { safe: Uint8Array; kept: Uint8Array } {
    if (this.#key.length === 0) return { safe: bytes, kept: NO_BYTES };
    if (bytes.includes(this.#key)) throw new BodyRefusedError(KEY_IN_BODY);
    const safeLength = Math.max(0, bytes.length - this.#key.length + 1);
    return {
      safe: bytes.subarray(0, safeLength),
      kept: bytes.subarray(safeLength),
    };
  }
}

const NO_BYTES = new Uint8Array();

/** Ends a body stream that may not be forwarded, with its refusal. */
export class BodyRefusedError extends Error {
  readonly refusal: Refusal;

  constructor(refusal: Refusal) {
    super(refusal.message);
    this.refusal = refusal;
  }
}

const KEY_IN_BODY = new Refusal({
  verdict: Verdict.NotRun,
  reason: Reason.BadRequest,
  message: "The key may not stand in the body",
});
