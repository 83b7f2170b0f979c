/**
 * Has complete outputs scored by their reward requests.
 *
 * @module
 */

import { isNone } from "fp-ts/Option";
import { Err, Ok, type Result } from "ts-results";
import { NO_CRASH_LIMIT } from "../dispatch/mod.ts";
import { logger, Reason } from "../kernel/mod.ts";
import { relayKey, type RequestRelay } from "../relay/mod.ts";
import type { Item, Reward } from "./mod.ts";
import { confirmedMsAgo, type RunContext } from "./run_context.ts";

const log = logger("batches");

/** Timeout of a reward request. */
const REWARD_TIMEOUT_MS = 3000;

/** First and longest delay before a refused reward request is made again. */
const MIN_REWARD_DELAY_MS = 40;
const MAX_REWARD_DELAY_MS = 1000;

/** Delay before the route of a reward request is looked up again. */
const NO_ROUTE_DELAY_MS = 400;

/** Sends the reward requests of one run. */
export class RewardScorer {
  readonly #context: RunContext;
  readonly #relay: RequestRelay;

  constructor(context: RunContext) {
    this.#context = context;
    this.#relay = context.kernel.get(relayKey);
  }

  /**
   * Returns the seal of the answer, or why the item must be given up; undefined
   * if the run ended first.
   */
  async score(
    item: Item,
    reward: Reward,
  ): Promise<Result<string, string> | undefined> {
    const { ownership, signal, kernel: { clock } } = this.#context;
    let failures = 0;
    while (!signal.aborted) {
      if (!ownership.valid) {
        await ownership.waitUntilValid();
        continue;
      }
      const route = this.#relay.route(reward.host, reward.path);
      if (this.#context.leftMs <= 0) return Err("retention");
      if (isNone(route)) {
        await clock.sleep(NO_ROUTE_DELAY_MS, signal);
        continue;
      }
      log("reward requested", {
        id: reward.id,
        item: item.id,
        batch: this.#context.submission.id,
        confirmedMsAgo: confirmedMsAgo(this.#context),
      });
      const served = await this.#relay.serve(route.value, {
        organisation: "",
      }, {
        id: reward.id,
        method: "POST",
        path: reward.path,
        host: reward.host,
        fields: [],
        body: Buffer.from(reward.body, "base64"),
        remainingMs: REWARD_TIMEOUT_MS,
        crashLimit: NO_CRASH_LIMIT,
        mayStart: () => ownership.valid,
      }, ownership.signal);
      if (signal.aborted) return undefined;
      const { answer } = served;
      if (answer.ok) {
        const { seal, status } = answer.val;
        if (seal !== undefined && status < 300) return Ok(seal);
      } else if (answer.val.reason === Reason.BadRequest) {
        return Err("reward request can't be sent");
      }
      failures += served.upstreamFailures;
      if (failures >= route.value.exchange.maxAttempts) {
        return Err("reward failed");
      }
      const retryAfterMs = answer.err ? answer.val.retryAfterMs : 0;
      await clock.sleep(
        Math.min(
          MAX_REWARD_DELAY_MS,
          Math.max(MIN_REWARD_DELAY_MS, retryAfterMs),
        ),
        signal,
      );
    }
    return undefined;
  }
}
