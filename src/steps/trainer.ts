/**
 * Client for trainers: submits a step, pulls its samples through any entry, and
 * resubmits the step if its owner died. It takes the samples of a pull and the
 * cursor together, so that each sample is delivered once.
 *
 * @module
 */

import { Pool } from "undici";
import type { VersionSpan } from "./sample.ts";

/** A sample as a trainer receives it. */
export interface TrainerSample {
  readonly group: number;
  readonly index: number;
  readonly text: string;
  /** Weight versions that generated the tokens, in order. */
  readonly versions: readonly VersionSpan[];
  readonly tokens: number;
  readonly finishReason: string;
}

/** A step as a trainer submits it. */
export interface TrainerStep {
  readonly step: string;
  readonly groups: readonly { prompt: string; samples: number }[];
  readonly max_tokens: number;
  readonly temperature?: number;
  readonly seed?: number;
  readonly staleness_bound?: number;
}

/** The samples of one pull. */
export interface PulledSamples {
  readonly samples: readonly TrainerSample[];
  /** The trainer's version as sent with the pull. */
  readonly version: number;
  readonly done: boolean;
}

interface EntryResponse {
  readonly status: number;
  readonly body: Record<string, unknown>;
}

const PULL_WAIT_MS = 2_000;
const REQUEST_TIMEOUT_MS = 8_000;
const MIN_RETRY_DELAY_MS = 200;

/** Submits and pulls steps through a list of entries. */
export class Trainer {
  readonly #entries: readonly string[];
  readonly #route: string;
  readonly #key: string;
  readonly #version: () => number;
  readonly #pools = new Map<string, Pool>();
  readonly #onRetry: (why: string) => void;
  #at = 0;

  constructor(options: {
    /** Base URLs of entries. */
    entries: readonly string[];
    route: string;
    key: string;
    /** The weight version on which the trainer currently trains. */
    version: () => number;
    onRetry?: (why: string) => void;
  }) {
    this.#entries = options.entries;
    this.#route = options.route;
    this.#key = options.key;
    this.#version = options.version;
    this.#onRetry = options.onRetry ?? (() => {});
  }

  /** Yields a step's samples until the trainer holds all or `signal` aborts. */
  async *run(
    step: TrainerStep,
    signal: AbortSignal,
  ): AsyncGenerator<PulledSamples, void, void> {
    let cursor = await this.#submit(step, signal);
    while (!signal.aborted) {
      const version = this.#version();
      const path = `${this.#path()}/${step.step}/pull`;
      const body = { cursor, version, wait_ms: PULL_WAIT_MS };
      const answer = await this.#post(path, body, signal);
      if (isStepUnknown(answer)) {
        this.#onRetry("step_unknown");
        await this.#submit(step, signal);
      } else if (answer.status === 200) {
        cursor = answer.body.cursor as string;
        const done = answer.body.done === true;
        yield { samples: samplesOf(answer), version, done };
        if (done) return;
      } else await this.#backOff(answer, signal);
    }
  }

  /** Closes the trainer's connections. */
  async close(): Promise<void> {
    await Promise.all([...this.#pools.values()].map((pool) => pool.destroy()));
  }

  /** Submits the step until an entry accepts it; returns the first cursor. */
  async #submit(step: TrainerStep, signal: AbortSignal): Promise<string> {
    while (!signal.aborted) {
      const body = { ...step, version: this.#version() };
      const answer = await this.#post(this.#path(), body, signal);
      if (answer.status === 202) return answer.body.cursor as string;
      if (answer.status === 400) {
        throw new RangeError(
          `Step submission refused: ${JSON.stringify(answer.body)}`,
        );
      }
      await this.#backOff(answer, signal);
    }
    return "";
  }

  #path(): string {
    return `/v1/training/${this.#route}/steps`;
  }

  async #post(
    path: string,
    body: unknown,
    signal: AbortSignal,
  ): Promise<EntryResponse> {
    const entry = this.#entries[this.#at % this.#entries.length];
    try {
      const response = await this.#pool(entry).request({
        method: "POST",
        path,
        headers: {
          "content-type": "application/json",
          authorization: `Bearer ${this.#key}`,
        },
        body: JSON.stringify(body),
        signal: AbortSignal.any([
          signal,
          AbortSignal.timeout(REQUEST_TIMEOUT_MS),
        ]),
      });
      const answer = await response.body.json();
      return {
        status: response.statusCode,
        body: answer as Record<string, unknown>,
      };
    } catch (error) {
      // Safe to retry in any case: the cursor states what the trainer holds.
      return { status: 0, body: { error: String(error) } };
    }
  }

  #pool(entry: string): Pool {
    const pool = this.#pools.get(entry) ?? new Pool(entry, { connections: 2 });
    this.#pools.set(entry, pool);
    return pool;
  }

  /** Waits as long as the refusal asks for, then switches to the next entry. */
  async #backOff(answer: EntryResponse, signal: AbortSignal): Promise<void> {
    const error = answer.body.error as
      | { reason?: string; retry_after_ms?: number }
      | undefined;
    this.#onRetry(error?.reason ?? "unreachable");
    this.#at++;
    const waitMs = Math.max(MIN_RETRY_DELAY_MS, error?.retry_after_ms ?? 0);
    await new Promise<void>((resolve) => {
      const done = () => {
        clearTimeout(timer);
        signal.removeEventListener("abort", done);
        resolve();
      };
      const timer = setTimeout(done, waitMs);
      signal.addEventListener("abort", done, { once: true });
    });
  }
}

function isStepUnknown(answer: EntryResponse): boolean {
  const error = answer.body.error as { reason?: string } | undefined;
  return error?.reason === "step_unknown";
}

type RawSample = Omit<TrainerSample, "finishReason"> & {
  readonly finish_reason: string;
};

function samplesOf(answer: EntryResponse): readonly TrainerSample[] {
  const samples = answer.body.samples as readonly RawSample[];
  return samples.map(({ finish_reason, ...sample }) => ({
    ...sample,
    finishReason: finish_reason,
  }));
}
