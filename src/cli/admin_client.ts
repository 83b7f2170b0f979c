/**
 * HTTP client of the daemons' admin pages.
 *
 * @module
 */

import { Err, Ok, type Result } from "ts-results";
import { request } from "undici";
import { z } from "zod";
import type { Clock } from "../kernel/mod.ts";

const REQUEST_TIMEOUT_MS = 3_000;
const MAX_PAGE_BYTES = 16_777_216;
const POLL_MS = 200;

const inForcePageSchema = z.object({
  revision: z.number(),
  members: z.array(z.object({
    vm: z.string(),
    revision: z.number().nullable(),
    ageMs: z.number().nullable(),
  })),
  /** `null` if the platform's list could not be read. */
  missing: z.array(z.string()).nullable(),
});

/** The configuration revisions in force on all daemons. */
export type InForcePage = z.infer<typeof inForcePageSchema>;

/** A daemon that isn't known to have a revision in force. */
export interface Laggard {
  readonly vm: string;
  /** `null` if the daemon did not answer. */
  readonly revision: number | null;
  /** Whether the platform lists it as live but it isn't a member. */
  readonly missing: boolean;
}

/** The result of waiting until a revision is in force on all daemons. */
export interface Arrival {
  readonly inForce: boolean;
  readonly waitedMs: number;
  readonly laggards: readonly Laggard[];
  /** Number of daemons that have it in force. */
  readonly daemons: number;
  /** Why the daemons could not be queried; empty if they were. */
  readonly fault: string;
}

/** Requests admin pages from the first daemon that answers. */
export class AdminClient {
  readonly #entries: readonly string[];
  readonly #token: string;
  readonly #clock: Clock;

  constructor(options: {
    entries: readonly string[];
    clock: Clock;
    token?: string;
  }) {
    this.#entries = options.entries;
    this.#clock = options.clock;
    this.#token = options.token ?? "";
  }

  /** The status of one daemon, or of all of them. */
  async status(
    options: { all: boolean },
  ): Promise<Result<unknown, string>> {
    return await this.#get(`/admin/status${options.all ? "?all=1" : ""}`);
  }

  /**
   * The revision each daemon has in force. Daemons already known to have
   * `wanted` are not queried again.
   */
  async inForcePage(wanted?: number): Promise<Result<InForcePage, string>> {
    const search = wanted === undefined ? "" : `?revision=${wanted}`;
    const page = await this.#get(`/admin/in-force${search}`);
    if (page.err) return page;
    const parsed = inForcePageSchema.safeParse(page.val);
    return parsed.success
      ? Ok(parsed.data)
      : Err("The daemon's answer can't be read");
  }

  /** Waits until every daemon has `revision` or a newer revision in force. */
  async arrival(revision: number, waitMs: number): Promise<Arrival> {
    const start = this.#clock.now();
    for (;;) {
      const answer = await this.inForcePage(revision);
      const waitedMs = Math.round(this.#clock.now() - start);
      const arrival = arrivalOf(answer, revision, waitedMs);
      if (arrival.inForce || waitedMs + POLL_MS > waitMs) return arrival;
      await this.#clock.sleep(POLL_MS);
    }
  }

  /** Requests a page from the daemons in turn until one answers with 200. */
  async #get(path: string): Promise<Result<unknown, string>> {
    let fault = "No daemon's URL is set";
    for (const entry of this.#entries) {
      const answer = await this.#fetchPage(new URL(path, entry));
      if (answer.ok) return answer;
      fault = answer.val;
    }
    return Err(fault);
  }

  async #fetchPage(url: URL): Promise<Result<unknown, string>> {
    const headers = this.#token === ""
      ? {}
      : { authorization: `Bearer ${this.#token}` };
    try {
      const { statusCode, body } = await request(url, {
        headers,
        headersTimeout: REQUEST_TIMEOUT_MS,
        bodyTimeout: REQUEST_TIMEOUT_MS,
        signal: AbortSignal.timeout(2 * REQUEST_TIMEOUT_MS),
      });
      const text = await readBounded(body);
      if (statusCode === 200) return Ok(JSON.parse(text) as unknown);
      return Err(`${url.origin} answered "${statusCode}"`);
    } catch (error) {
      const message = error instanceof Error ? error.message : "";
      return Err(`${url.origin} gave no answer (${message})`);
    }
  }
}

async function readBounded(body: AsyncIterable<Buffer>): Promise<string> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += chunk.length;
    if (bytes > MAX_PAGE_BYTES) throw new RangeError("page too large");
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString("utf8");
}

function arrivalOf(
  answer: Result<InForcePage, string>,
  revision: number,
  waitedMs: number,
): Arrival {
  if (answer.err) {
    const fault = answer.val;
    return { inForce: false, waitedMs, laggards: [], daemons: 0, fault };
  }
  const behind = answer.val.members
    .filter((member) => member.revision === null || member.revision < revision)
    .map(({ vm, revision }) => ({ vm, revision, missing: false }));
  const missing = (answer.val.missing ?? [])
    .map((vm) => ({ vm, revision: null, missing: true }));
  const laggards = [...behind, ...missing];
  return {
    inForce: laggards.length === 0,
    waitedMs,
    laggards,
    daemons: answer.val.members.length - behind.length,
    fault: "",
  };
}
