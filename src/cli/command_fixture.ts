/**
 * Test fixture of the command line: an in-memory key-value service with
 * injected faults, and a function that runs commands against it.
 *
 * @module
 */

import { fromNullable, type Option } from "fp-ts/Option";
import { PassThrough } from "node:stream";
import { Err, Ok, type Result } from "ts-results";
import { Clock } from "../kernel/mod.ts";
import {
  type Failure,
  Fault,
  KeyValue,
  type KeyValueEntry,
  type KeyValueLease,
  type SwapResult,
} from "../outside/mod.ts";
import { run } from "./mod.ts";

/** The result of one call to the in-memory service. */
export enum CallResult {
  Answered = "answered",
  /** The call is not sent. */
  NotSent = "not sent",
  /** The answer is lost; the call has no effect. */
  Dropped = "dropped",
  /** The answer is lost; the call takes effect. */
  AnswerLost = "answer lost",
  /** The answer is lost; the call takes effect later. */
  Late = "late",
}

/** Determines the result of a call. */
export type CallPlan = (
  operation: "get" | "range" | "swap",
  key: string,
) => CallResult;

const LATE_EFFECT_TURNS = 8;

/** An in-memory key-value service. */
export class MemoryKeyValue extends KeyValue {
  readonly entries = new Map<string, KeyValueEntry>();
  planCall: CallPlan;
  #revision = 0;

  constructor(options: { planCall?: CallPlan } = {}) {
    super();
    this.planCall = options.planCall ?? (() => CallResult.Answered);
  }

  async get(key: string): Promise<Result<Option<KeyValueEntry>, Failure>> {
    return await this.#call(
      this.planCall("get", key),
      () => fromNullable(this.entries.get(key)),
    );
  }

  async range(
    prefix: string,
    options: { after?: string; limit?: number } = {},
  ): Promise<Result<readonly KeyValueEntry[], Failure>> {
    return await this.#call(
      this.planCall("range", prefix),
      () =>
        [...this.entries.values()]
          .filter(({ key }) => key.startsWith(prefix))
          .filter(({ key }) => key > (options.after ?? ""))
          .sort((a, b) => a.key < b.key ? -1 : 1)
          .slice(0, options.limit),
    );
  }

  async swap(
    key: string,
    options: { value: string; expected: number },
  ): Promise<Result<SwapResult, Failure>> {
    return await this.#call(this.planCall("swap", key), () => {
      const { value, expected } = options;
      return this.#replace(key, expected, (revision) => {
        this.entries.set(key, { key, value, revision });
      });
    });
  }

  async remove(
    key: string,
    expected: number,
  ): Promise<Result<SwapResult, Failure>> {
    return await this.#call(
      CallResult.Answered,
      () =>
        this.#replace(key, expected, () => {
          this.entries.delete(key);
        }),
    );
  }

  grant(): Promise<Result<KeyValueLease, Failure>> {
    throw new RangeError("The command line takes no leases");
  }

  renew(): Promise<Result<KeyValueLease, Failure>> {
    throw new RangeError("The command line takes no leases");
  }

  revoke(): Promise<Result<true, Failure>> {
    throw new RangeError("The command line takes no leases");
  }

  watch(): Promise<Result<Option<KeyValueEntry>, Failure>> {
    throw new RangeError("The command line watches nothing");
  }

  #replace(
    key: string,
    expected: number,
    write: (revision: number) => void,
  ): SwapResult {
    const current = this.entries.get(key);
    if ((current?.revision ?? 0) !== expected) {
      return { applied: false, current: fromNullable(current) };
    }
    write(++this.#revision);
    return { applied: true, revision: this.#revision };
  }

  async #call<T>(
    call: CallResult,
    effect: () => T,
  ): Promise<Result<T, Failure>> {
    await nextTurn();
    if (call === CallResult.NotSent) return Err(failure(Fault.NotSent));
    if (call === CallResult.Dropped) return Err(failure(Fault.Unknown));
    if (call === CallResult.Late) {
      void waitTurns(LATE_EFFECT_TURNS).then(effect);
      return Err(failure(Fault.Unknown));
    }
    const answer = effect();
    await nextTurn();
    if (call === CallResult.AnswerLost) return Err(failure(Fault.Unknown));
    return Ok(answer);
  }
}

function failure(fault: Fault): Failure {
  return { fault, message: "as planned" };
}

function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

async function waitTurns(count: number): Promise<void> {
  for (let at = 0; at < count; at++) await nextTurn();
}

/** A clock that advances at once by the delay of each wait. */
export class InstantClock extends Clock {
  #now = 0;

  now(): number {
    return this.#now;
  }

  wall(): number {
    return Date.UTC(2026, 11, 4) + this.#now;
  }

  after(delayMs: number, task: () => void): () => void {
    const timer = setImmediate(() => {
      this.#now += delayMs;
      task();
    });
    return () => clearImmediate(timer);
  }
}

/** A command's output and exit code. */
export interface CommandOutput {
  readonly exit: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** A function that runs commands against a key-value service. */
export function commandRunner(
  keyValue: KeyValue,
  env: Readonly<Record<string, string>> = {},
): (...args: readonly string[]) => Promise<CommandOutput> {
  return async (...args) => {
    const stdout = new PassThrough();
    const stderr = new PassThrough();
    const exit = await run(args, {
      env: { TOUCANWIND_PLATFORM: "http://127.0.0.1:1", ...env },
      stdin: new PassThrough(),
      stdout,
      stderr,
      colorDepth: 1,
      clock: new InstantClock(),
      connect: () => keyValue,
    });
    return { exit, stdout: readAll(stdout), stderr: readAll(stderr) };
  };
}

function readAll(stream: PassThrough): string {
  return String(stream.read() ?? "");
}
