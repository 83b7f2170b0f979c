/**
 * A client on a plain socket: one request on a new connection, and whether its
 * answer was whole by its framing.
 *
 * @module
 */

import { request as send } from "node:http";
import { API_KEY, HOST, sleep } from "./site.ts";

/** Clients read results about twice a second. */
const READ_INTERVAL_MS = 500;

/** What a client saw. */
export interface ClientAnswer {
  /** 0 if the connection ended without the head of an answer. */
  readonly status: number;
  readonly fields: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Buffer;
  /** Whether the answer was whole by its framing. */
  readonly whole: boolean;
}

/** Sends a request on a new connection and reads its answer to the end. */
export function call(
  { ip, port }: { ip: string; port: number },
  options: {
    id: string;
    path: string;
    method?: string;
    deadlineMs?: number;
    fields?: Readonly<Record<string, string>>;
    body?: string | Buffer;
  },
): Promise<ClientAnswer> {
  return new Promise((resolve) => {
    const lost: ClientAnswer = {
      status: 0,
      fields: {},
      body: Buffer.alloc(0),
      whole: false,
    };
    const request = send({
      host: ip,
      port,
      method: options.method ?? "POST",
      path: options.path,
      agent: false,
      headers: {
        host: HOST,
        "x-request-id": options.id,
        "x-deadline-ms": `${options.deadlineMs ?? 2000}`,
        "x-api-key": API_KEY,
        ...options.fields,
      },
    }, (response) => {
      const parts: Buffer[] = [];
      const end = (whole: boolean) =>
        resolve({
          status: response.statusCode ?? 0,
          fields: response.headers,
          body: Buffer.concat(parts),
          whole,
        });
      response.on("data", (part) => parts.push(part));
      response.on("end", () => end(response.complete));
      response.on("error", () => end(false));
    });
    request.on("error", () => resolve(lost));
    request.end(options.body ?? "");
  });
}

/** Opens a stream with a model's headers and reads it to its end. */
export function openStream(
  daemon: { ip: string; port: number },
  options: { id: string; path: string },
): Promise<ClientAnswer> {
  return call(daemon, {
    ...options,
    deadlineMs: 12_000,
    fields: {
      "x-model": "m",
      "x-token-usage": "10,1000",
      "x-prompt-prefix": "aa:10",
    },
  });
}

/** A listed result of a batch submission. */
export interface ListedResult {
  readonly id: string;
  readonly state: string;
  readonly text: string;
}

/**
 * Reads the results of a batch submission at a daemon about twice a second,
 * each time from the position after the last one, until `count` are listed or
 * the time is up.
 */
export async function readResults(
  daemon: { ip: string; port: number },
  options: { batch: string; count: number; timeoutMs: number },
): Promise<readonly ListedResult[]> {
  const { batch, count, timeoutMs } = options;
  const endsAt = performance.now() + timeoutMs;
  const results: ListedResult[] = [];
  while (results.length < count && performance.now() < endsAt) {
    await sleep(READ_INTERVAL_MS);
    const page = await call(daemon, {
      id: `read-${batch}-${Math.round(performance.now())}`,
      method: "GET",
      path: `/-/lots/${batch}?after=${results.length}`,
    });
    if (page.status !== 200) continue;
    results.push(...JSON.parse(page.body.toString()).results);
  }
  return results;
}
