/**
 * An in-memory key-value service with injected failures, for tests.
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

/** How a call ends. */
export type CallFate =
  | "answered"
  | "lost before"
  | "lost after"
  | "refused"
  | "late";

/** An in-memory key-value service; a test decides how each call ends. */
export class UnreliableKeyValue extends KeyValue {
  readonly entries = new Map<string, KeyValueEntry>();
  writes = 0;
  /** If `false`, swaps ignore the expected revision. */
  comparesRevisions = true;
  fate: () => CallFate = () => "answered";
  pause: () => Promise<unknown> = () => Promise.resolve();
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
      if (this.comparesRevisions && !same) {
        return Ok({ applied: false, current: O.fromNullable(current) });
      }
      const revision = ++this.#revision;
      this.writes++;
      this.entries.set(key, { key, value: options.value, revision });
      return Ok({ applied: true, revision });
    });
  }

  remove(): Promise<Result<SwapResult, Failure>> {
    return Promise.resolve(Err(NO_ANSWER));
  }

  grant(): Promise<Result<KeyValueLease, Failure>> {
    return Promise.resolve(Err(NO_ANSWER));
  }

  renew(): Promise<Result<KeyValueLease, Failure>> {
    return Promise.resolve(Err(NO_ANSWER));
  }

  revoke(): Promise<Result<true, Failure>> {
    return Promise.resolve(Err(NO_ANSWER));
  }

  watch(): Promise<Result<O.Option<KeyValueEntry>, Failure>> {
    return Promise.resolve(Err(NO_ANSWER));
  }

  async #call<T>(run: () => Result<T, Failure>): Promise<Result<T, Failure>> {
    const fate = this.fate();
    await this.pause();
    if (fate === "refused") return Err({ ...NO_ANSWER, fault: Fault.Refused });
    if (fate === "lost before") return Err(NO_ANSWER);
    if (fate === "late") {
      // Takes effect after the failure of the call was returned.
      void this.pause().then(run);
      return Err(NO_ANSWER);
    }
    const answer = run();
    await this.pause();
    return fate === "lost after" ? Err(NO_ANSWER) : answer;
  }
}

const NO_ANSWER: Failure = { fault: Fault.Unknown, message: "No answer" };
