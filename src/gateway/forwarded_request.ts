/**
 * What of a request reaches an upstream: headers without the caller's key,
 * and the body, small ones kept so that they can be sent again.
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

/** Bodies up to this size are kept until the request is answered. */
const MAX_KEPT_BYTES = 64 * 1024;

/** Prefix of the headers that the daemon itself sets for upstreams. */
const OWN_PREFIX = "x-toucanwind-";

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

/** The headers for the upstream, as name and value in turn. */
export function forwardedHeaders(
  request: FastifyRequest,
  admitted: Admitted,
): string[] {
  const named = connectionNames(request.headers.connection);
  const { rawHeaders } = request.raw;
  const headers: string[] = [];
  for (let i = 0; i < rawHeaders.length; i += 2) {
    const name = rawHeaders[i].toLowerCase();
    if (NOT_FORWARDED.has(name) || named.has(name) || ours(name)) continue;
    headers.push(name, rawHeaders[i + 1]);
  }
  const length = request.headers["content-length"];
  if (length !== undefined) headers.push("content-length", length);
  headers.push(`${OWN_PREFIX}tenant`, admitted.caller.organisation);
  headers.push(`${OWN_PREFIX}request-id`, admitted.id);
  return headers;
}

/** The headers of an upstream's answer that are passed on to the caller. */
export function answeredHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string | string[]> {
  const { connection } = headers;
  const named = connectionNames(
    Array.isArray(connection) ? connection.join(",") : connection,
  );
  const passed: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP.has(name)) continue;
    if (!named.has(name)) passed[name] = value;
  }
  return passed;
}

/** Names under which a caller might claim to be a tenant. */
function ours(name: string): boolean {
  return name.startsWith(OWN_PREFIX) || name.startsWith("x-tenant");
}

function connectionNames(value: string | undefined): ReadonlySet<string> {
  if (value === undefined || value === "keep-alive") return NONE;
  return new Set(value.split(",").map((name) => name.trim().toLowerCase()));
}

const NONE: ReadonlySet<string> = new Set();

/** A request's body on its way to upstreams. */
export interface RequestBody {
  /** Whether all of the body can be sent by another `open`. */
  readonly whole: boolean;
  /** The body's bytes if they were kept; else empty. */
  readonly bytes: Uint8Array;
  /** The body for one attempt; `null` if there is none. */
  open(): Buffer | Readable | null;
}

/** Reads a small body whole; a larger one is left to be streamed. */
export async function readBody(
  request: FastifyRequest,
  admitted: Admitted,
): Promise<Result<RequestBody, Refusal>> {
  const { raw, headers } = request;
  const length = Number(headers["content-length"] ?? 0);
  const chunked = headers["transfer-encoding"] !== undefined;
  if (length === 0 && !chunked) return Ok(EMPTY);
  const key = O.toUndefined(admitted.key) ?? "";
  const { maxBodyBytes } = admitted.route;
  if (chunked || length > MAX_KEPT_BYTES) {
    return Ok(new StreamedBody(raw, { key, maxBodyBytes }));
  }
  const bytes = await read(raw);
  if (bytes.err) return bytes;
  if (key !== "" && bytes.val.includes(key)) return Err(KEY_IN_BODY);
  return Ok({ whole: true, bytes: bytes.val, open: () => bytes.val });
}

const EMPTY: RequestBody = {
  whole: true,
  bytes: new Uint8Array(),
  open: () => null,
};

function read(raw: IncomingMessage): Promise<Result<Buffer, Refusal>> {
  const chunks: Buffer[] = [];
  return new Promise((resolve) => {
    raw.on("data", (chunk: Buffer) => chunks.push(chunk));
    raw.once("end", () => {
      const [first] = chunks;
      resolve(Ok(chunks.length === 1 ? first : Buffer.concat(chunks)));
    });
    // The caller went away, or was cut for sending too slowly. After the end
    // of the body this has no effect.
    raw.once("close", () => resolve(BODY_CUT));
  });
}

// Made once, because `Err` records where it was made, which is slow.
const BODY_CUT = Err(
  new Refusal({
    verdict: Verdict.NotRun,
    reason: Reason.Cancelled,
    message: "The request's body ended early",
  }),
);

/** A body that is sent as it comes, once. */
class StreamedBody implements RequestBody {
  readonly bytes = new Uint8Array();
  whole = true;
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
    return Readable.from(this.#pieces(), { objectMode: false });
  }

  async *#pieces(): AsyncGenerator<Uint8Array, void, void> {
    this.whole = false;
    let total = 0;
    let kept: Uint8Array = new Uint8Array();
    for await (const chunk of this.#raw) {
      total += chunk.length;
      if (total > this.#maxBodyBytes) throw new BodyRefused(TOO_LARGE);
      const next = this.#scan(Buffer.concat([kept, chunk]));
      kept = next.kept;
      if (next.free.length > 0) yield next.free;
    }
    if (kept.length > 0) yield kept;
  }

  /** Keeps back what could be the beginning of the caller's key. */
  #scan(bytes: Buffer): { free: Uint8Array; kept: Uint8Array } {
    if (this.#key.length === 0) return { free: bytes, kept: NO_BYTES };
    if (bytes.includes(this.#key)) throw new BodyRefused(KEY_IN_BODY);
    const cut = Math.max(0, bytes.length - this.#key.length + 1);
    return { free: bytes.subarray(0, cut), kept: bytes.subarray(cut) };
  }
}

const NO_BYTES = new Uint8Array();

/** Stops a body that may not be sent on, for the refusal it carries. */
export class BodyRefused extends Error {
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
