/**
 * Callers and trainers that record the response to each attempt.
 *
 * @module
 */

import { Agent, request as send } from "node:http";
import { once } from "node:events";
import { API_KEY, batch } from "../platform/fixture_test.ts";
import { HashRandom } from "../stand_ins/hash_random.ts";
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
  /** The service whose upstreams run it. */
  readonly service: string;
  readonly items: readonly string[];
  accepted: boolean;
  /** Whether an attempt without a 202 may nevertheless have been accepted. */
  unsure: boolean;
  /** When its end was first asked for, and when it was acknowledged. */
  endAskedAt?: number;
  endedAt?: number;
}

/** How many results a daemon listed at the end of a run. */
export interface FinalRead {
  readonly batch: string;
  readonly node: string;
  readonly listed: number;
}

/** The service that runs long batches. */
export const SLOW_SERVICE = "slow";
/** Prefix of the route of long batches. */
export const LONG_PREFIX = "/epics/";

const CALLER_COUNT = 6;
const TRAINER_COUNT = 2;
const READ_INTERVAL_MS = 250;
const MAX_SUBMIT_ATTEMPTS = 40;

/** Trainers whose batches are ended before they are complete. */
const LONG_TRAINER_COUNT = 3;
const MIN_LONG_ITEMS = 10;
const MAX_LONG_ITEMS = 120;
/** Longest time from the 202 on until a long batch is ended. */
const MAX_LONG_MS = 14_000;
const MAX_END_ATTEMPTS = 80;
const MAX_REPEATED_ENDS = 3;
/** Time in which requests of ended batches may still arrive. */
const LATE_REQUEST_MS = 6000;

/** All callers and trainers of one run. */
export class SoakWorkload {
  readonly attempts: AttemptResult[] = [];
  readonly observedResults: ObservedResult[] = [];
  readonly batches: SubmittedBatch[] = [];
  /** Reads of an accepted batch that were answered with 404. */
  readonly missing: string[] = [];
  readonly finalReads: FinalRead[] = [];
  /** When the last batch had been read; 0 before. */
  stoppedAt = 0;
  readonly #seed: number;
  readonly #daemons: readonly DaemonProcess[];
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 64 });
  #count = 0;
  #stopped = false;
  #tasks: readonly Promise<void>[] = [];

  constructor(options: { daemons: readonly DaemonProcess[]; seed: number }) {
    this.#daemons = options.daemons;
    this.#seed = options.seed;
  }

  start(): void {
    this.#tasks = [
      ...Array.from({ length: CALLER_COUNT }, () => this.#runCaller()),
      ...Array.from({ length: TRAINER_COUNT }, () => this.#runTrainer()),
      ...Array.from(
        { length: LONG_TRAINER_COUNT },
        (_, n) => this.#runLongTrainer(n),
      ),
    ];
  }

  /**
   * Stops sending; resolves when all submitted batches have been read or ended,
   * and late requests of those that ended would have arrived.
   */
  async stop(): Promise<void> {
    this.#stopped = true;
    await Promise.all(this.#tasks);
    this.stoppedAt = Date.now();
    const lastEndAt = Math.max(
      0,
      ...this.batches.map(({ endedAt }) => endedAt ?? 0),
    );
    await sleep(lastEndAt + LATE_REQUEST_MS - Date.now());
    this.#agent.destroy();
  }

  /** Reads every accepted batch from the start, at each daemon. */
  async readAllBatches(): Promise<void> {
    for (const { id, items, accepted, endAskedAt } of this.batches) {
      if (!accepted) continue;
      const waitMs = endAskedAt === undefined ? 300 : 0;
      for (const daemon of this.#daemons) {
        let after = 0;
        for (let reads = 0; reads < 20 && after < items.length; reads++) {
          after = await this.readOnce(daemon, { id, after, waitMs });
        }
        this.finalReads.push({ batch: id, node: daemon.node, listed: after });
      }
    }
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
      const service = "lm";
      const submitted = { id, service, items, accepted: false, unsure: false };
      this.batches.push(submitted);
      await this.#submit(submitted, "/rollouts/");
      if (submitted.accepted) await this.#readToEnd(submitted);
      await sleep(200);
    }
  }

  /** Submits batches that take long, and ends each at a time of its own. */
  async #runLongTrainer(number: number): Promise<void> {
    const random = new HashRandom({ seed: this.#seed + number / 100 });
    while (!this.#stopped) {
      this.#count += 1;
      const id = `long-${this.#count}`;
      const size = MIN_LONG_ITEMS +
        Math.floor((MAX_LONG_ITEMS - MIN_LONG_ITEMS) * random.next());
      const items = Array.from({ length: size }, (_, n) => `${id}.${n}`);
      const service = SLOW_SERVICE;
      const submitted = { id, service, items, accepted: false, unsure: false };
      this.batches.push(submitted);
      await this.#submit(submitted, LONG_PREFIX);
      if (submitted.accepted) {
        await this.#readToEnd(submitted, MAX_LONG_MS * random.next());
        await this.#end(
          submitted,
          Math.ceil(MAX_REPEATED_ENDS * random.next()),
        );
      }
      await sleep(200);
    }
  }

  /** Ends a batch at random daemons, `times` times after each other. */
  async #end(submitted: SubmittedBatch, times: number): Promise<void> {
    const { id } = submitted;
    submitted.endAskedAt = Date.now();
    let confirmed = 0;
    for (let n = 0; n < MAX_END_ATTEMPTS && confirmed < times; n++) {
      const daemon = this.#randomDaemon();
      const reply = await this.attempt(daemon, {
        id: `end-${id}`,
        method: "DELETE",
        path: `/-/lots/${id}`,
      });
      if (reply.status === 404) this.missing.push(`${id} at ${daemon.node}`);
      if (reply.status === 200) {
        confirmed += 1;
        submitted.endedAt ??= reply.at;
      }
      await sleep(150);
    }
  }

  async #submit(submitted: SubmittedBatch, path: string): Promise<void> {
    const body = batch({ items: submitted.items });
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
  async #readToEnd(
    { id, items }: SubmittedBatch,
    maxMs = 40_000,
  ): Promise<void> {
    let after = 0;
    const endsAt = Date.now() + maxMs;
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
    { id, after, waitMs = 300 }: {
      id: string;
      after: number;
      waitMs?: number;
    },
  ): Promise<number> {
    const path = `/-/lots/${id}?after=${after}`;
    const read = { id: `read-${id}`, method: "GET", path, waitMs };
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
  return new Promise((resolve) => setTimeout(resolve, Math.max(0, ms)));
}
