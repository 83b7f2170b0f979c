/**
 * Callers and trainers that record the response to each attempt.
 *
 * @module
 */

import { Agent, request as send } from "node:http";
import { once } from "node:events";
import { API_KEY, batch } from "../platform/fixture_test.ts";
import type { DaemonProcess } from "./daemons.ts";

/** The outcome of one attempt; status 0 means no complete response. */
export interface AttemptResult {
  readonly id: string;
  readonly path: string;
  readonly status: number;
  readonly body: string;
  readonly seal: string | undefined;
  readonly at: number;
}

/** A result that a reader got at a position of a batch. */
export interface ObservedResult {
  readonly batch: string;
  readonly position: number;
  readonly result: string;
  readonly total: number;
  readonly at: number;
}

/** A batch as its trainer submitted it. */
export interface SubmittedBatch {
  readonly id: string;
  readonly items: readonly string[];
  accepted: boolean;
  /** Whether an attempt without a 202 may nevertheless have been accepted. */
  unsure: boolean;
}

const CALLER_COUNT = 6;
const TRAINER_COUNT = 2;
const READ_INTERVAL_MS = 250;
const MAX_SUBMIT_ATTEMPTS = 40;

/** All callers and trainers of one run. */
export class SoakWorkload {
  readonly attempts: AttemptResult[] = [];
  readonly observedResults: ObservedResult[] = [];
  readonly batches: SubmittedBatch[] = [];
  /** Reads of an accepted batch that were answered with 404. */
  readonly missing: string[] = [];
  readonly #daemons: readonly DaemonProcess[];
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 64 });
  #count = 0;
  #stopped = false;
  #tasks: readonly Promise<void>[] = [];

  constructor(options: { daemons: readonly DaemonProcess[] }) {
    this.#daemons = options.daemons;
  }

  start(): void {
    this.#tasks = [
      ...Array.from({ length: CALLER_COUNT }, () => this.#runCaller()),
      ...Array.from({ length: TRAINER_COUNT }, () => this.#runTrainer()),
    ];
  }

  /** Stops sending; resolves when all submitted batches have been read. */
  async stop(): Promise<void> {
    this.#stopped = true;
    await Promise.all(this.#tasks);
    this.#agent.destroy();
  }

  /** Sends a request to a daemon once. */
  async attempt(daemon: DaemonProcess, options: {
    id: string;
    method?: string;
    path: string;
    body?: string;
    keepAlive?: boolean;
    waitMs?: number;
  }): Promise<AttemptResult> {
    const { id, path, method = "POST", body = "" } = options;
    const [host, port] = daemon.front.split(":");
    const abort = AbortSignal.timeout(4000);
    try {
      const message = send({
        host,
        port,
        method,
        path,
        agent: options.keepAlive ? this.#agent : false,
        signal: abort,
        headers: {
          host: "shop.example",
          "x-request-id": id,
          "x-deadline-ms": "1500",
          "x-api-key": API_KEY,
          "x-wait-ms": `${options.waitMs ?? 0}`,
        },
      });
      message.on("error", () => {});
      message.end(body);
      const [response] = await once(message, "response");
      const parts: Buffer[] = [];
      for await (const part of response) parts.push(part);
      return {
        id,
        path,
        status: response.statusCode,
        body: Buffer.concat(parts).toString(),
        seal: response.headers["x-response-seal"],
        at: Date.now(),
      };
    } catch {
      // Without a complete response, nothing is known about the outcome.
      return { id, path, status: 0, body: "", seal: undefined, at: Date.now() };
    }
  }

  #randomDaemon(): DaemonProcess {
    return this.#daemons[Math.floor(Math.random() * this.#daemons.length)];
  }

  async #runCaller(): Promise<void> {
    while (!this.#stopped) {
      this.#count += 1;
      const kind = this.#count % 3 === 0 ? "orders" : "lots";
      const id = `${kind}-${this.#count}`;
      const keepAlive = this.#count % 2 === 0;
      this.attempts.push(
        await this.attempt(this.#randomDaemon(), {
          id,
          path: `/${kind}/${id}`,
          keepAlive,
        }),
      );
      await sleep(30);
    }
  }

  async #runTrainer(): Promise<void> {
    while (!this.#stopped) {
      this.#count += 1;
      const id = `batch-${this.#count}`;
      const items = Array.from({ length: 6 }, (_, n) => `${id}.${n}`);
      const submitted = { id, items, accepted: false, unsure: false };
      this.batches.push(submitted);
      await this.#submit(submitted);
      if (submitted.accepted) await this.#readToEnd(submitted);
      await sleep(200);
    }
  }

  async #submit(submitted: SubmittedBatch): Promise<void> {
    const body = batch({ items: submitted.items });
    const path = "/rollouts/";
    for (let attempt = 0; attempt < MAX_SUBMIT_ATTEMPTS; attempt++) {
      const { id } = submitted;
      const reply = await this.attempt(this.#randomDaemon(), {
        id,
        path,
        body,
      });
      if (reply.status === 202) submitted.accepted = true;
      if (reply.status === 202) return;
      if (reply.status !== 503 && reply.status !== 429) submitted.unsure = true;
      await sleep(150);
    }
  }

  /** Reads a batch at random daemons until it is complete. */
  async #readToEnd({ id, items }: SubmittedBatch): Promise<void> {
    let after = 0;
    const endsAt = Date.now() + 40_000;
    while (after < items.length && Date.now() < endsAt) {
      after = Math.max(
        after,
        await this.readOnce(this.#randomDaemon(), { id, after }),
      );
      await sleep(READ_INTERVAL_MS);
    }
  }

  /** Reads once from a position; returns the next position. */
  async readOnce(
    daemon: DaemonProcess,
    { id, after }: { id: string; after: number },
  ): Promise<number> {
    const path = `/-/lots/${id}?after=${after}`;
    const read = { id: `read-${id}`, method: "GET", path, waitMs: 300 };
    const reply = await this.attempt(daemon, read);
    if (reply.status === 404) this.missing.push(`${id} at ${daemon.node}`);
    if (reply.status !== 200) return after;
    const page = JSON.parse(reply.body);
    for (const [index, result] of page.results.entries()) {
      this.observedResults.push({
        batch: id,
        position: after + index,
        result: JSON.stringify(result),
        total: page.total,
        at: reply.at,
      });
    }
    return page.next;
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
