/**
 * A key-value service in memory whose calls can fail, for tests.
 *
 * @module
 */

import * as O from "fp-ts/Option";
import { Err, Ok, type Result } from "ts-results";
import {
  type Failure,
  Fault,
  KeyValue,
  type KeyValueEntry,
  type KeyValueLease,
  type SwapResult,
} from "../outside/mod.ts";

/** How a call of the fake service goes. */
export type CallFate =
  | "answered"
  | "lost before"
  | "lost after"
  | "refused"
  | "late";

/** A key-value service whose calls meet the fates that a test gives. */
export class UnreliableKeyValue extends KeyValue {
  readonly entries = new Map<string, KeyValueEntry>();
  writes = 0;
  /** With `false`, swaps write whatever the revision. */
  comparing = true;
  fate: () => CallFate = () => "answered";
  turn: () => Promise<unknown> = () => Promise.resolve();
  #revision = 0;

  get(key: string): Promise<Result<O.Option<KeyValueEntry>, Failure>> {
    return this.#call(() => Ok(O.fromNullable(this.entries.get(key))));
  }

  range(
    prefix: string,
    options: { after?: string; limit?: number } = {},
  ): Promise<Result<readonly KeyValueEntry[], Failure>> {
    const { after = "", limit = 1000 } = options;
    return this.#call(() =>
      Ok(
        [...this.entries.values()]
          .filter(({ key }) => key.startsWith(prefix) && key > after)
          .sort((a, b) => a.key < b.key ? -1 : 1)
          .slice(0, limit),
      )
    );
  }

  swap(
    key: string,
    options: { value: string; expected: number },
  ): Promise<Result<SwapResult, Failure>> {
    return this.#call((): Result<SwapResult, Failure> => {
      const current = this.entries.get(key);
      const same = (current?.revision ?? 0) === options.expected;
      if (this.comparing && !same) {
        return Ok({ applied: false, current: O.fromNullable(current) });
      }
      const revision = ++this.#revision;
      this.writes++;
      this.entries.set(key, { key, value: options.value, revision });
      return Ok({ applied: true, revision });
    });
  }

  remove(): Promise<Result<SwapResult, Failure>> {
    return Promise.resolve(Err(FAILED));
  }

  grant(): Promise<Result<KeyValueLease, Failure>> {
    return Promise.resolve(Err(FAILED));
  }

  renew(): Promise<Result<KeyValueLease, Failure>> {
    return Promise.resolve(Err(FAILED));
  }

  revoke(): Promise<Result<true, Failure>> {
    return Promise.resolve(Err(FAILED));
  }

  watch(): Promise<Result<O.Option<KeyValueEntry>, Failure>> {
    return Promise.resolve(Err(FAILED));
  }

  async #call<T>(run: () => Result<T, Failure>): Promise<Result<T, Failure>> {
    const fate = this.fate();
    await this.turn();
    if (fate === "refused") return Err({ ...FAILED, fault: Fault.Refused });
    if (fate === "lost before") return Err(FAILED);
    if (fate === "late") {
      // Takes effect some time after its caller has given up on it.
      void this.turn().then(run);
      return Err(FAILED);
    }
    const answer = run();
    await this.turn();
    return fate === "lost after" ? Err(FAILED) : answer;
  }
}

const FAILED: Failure = { fault: Fault.Unknown, message: "No answer" };
