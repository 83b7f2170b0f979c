/**
 * The events of a run, as written by clients and stand-ins, with the fields
 * that the checkers read.
 *
 * @module
 */

import type { HistoryEvent } from "../stand_ins/history.ts";
import type { Order, Vm } from "../src/outside/mod.ts";
import type { VersionSpan } from "../src/steps/mod.ts";

/** A caller sends a request. */
export interface Asked {
  /** The request's marker, which its prompt or path also holds. */
  readonly id: string;
  readonly route: string;
  /** Tenant of the key shown; empty without a good key. */
  readonly tenant: string;
  /** Public name of the key shown; empty without one. */
  readonly keyId: string;
  /** Empty without one. */
  readonly idempotencyKey: string;
  /** The text that a whole answer holds; empty where it isn't known. */
  readonly expected: string;
}

/** A caller has its whole answer. */
export interface Answered {
  readonly id: string;
  readonly text: string;
  readonly outputTokens: number;
  /** Whether it is the outcome of an earlier run. */
  readonly replayed: boolean;
}

/** A caller is refused, at the start or in the middle of a stream. */
export interface Refused {
  readonly id: string;
  readonly status: number;
  readonly verdict: string;
  readonly reason: string;
  /** Milliseconds from the request to the refusal. */
  readonly afterMs: number;
}

/** A caller's connection failed before an answer began. */
export interface Lost {
  readonly id: string;
  readonly why: string;
}

/** A caller's answer began and ended without its end. */
export interface Cut {
  readonly id: string;
  readonly why: string;
  /** Whether it looked like a regular end. */
  readonly clean: boolean;
}

/** A trainer submits a step. */
export interface Submitted {
  readonly step: string;
  readonly groups: readonly number[];
  readonly stalenessBound: number;
}

/** A sample as its trainer took it. */
export interface PulledSample {
  readonly group: number;
  readonly index: number;
  readonly tokens: number;
  readonly versions: readonly VersionSpan[];
  readonly text: string;
  readonly expected: string;
  /** Whether the trainer was told that it is not going to be made. */
  readonly quarantined: boolean;
}

/** A trainer takes the samples of one pull. */
export interface Pulled {
  readonly step: string;
  /** The version that the trainer named in the pull. */
  readonly version: number;
  readonly samples: readonly PulledSample[];
  readonly done: boolean;
}

/** An operator's edit is accepted. */
export interface Accepted {
  readonly revision: number;
  readonly attempt: string;
  /** Public names of keys that the edit withdraws. */
  readonly withdraws: readonly string[];
}

/** A daemon tells which revision it has in force. */
export interface InForce {
  readonly daemon: string;
  /** Differs between runs of the daemon. */
  readonly pid: number;
  readonly revision: number;
}

/** A fault begins, or ends. */
export interface FaultEvent {
  readonly fault: string;
  readonly target: string;
  readonly phase: "begin" | "end";
}

/** An engine has a generation. */
export interface Received {
  readonly id: string;
  readonly prompt: string;
  /** Characters of text to resume from. */
  readonly resumed: number;
  readonly rawHeaders: readonly string[];
}

/** An engine's work on a generation ended. */
export interface Ended {
  readonly id: string;
  /** Whether the generation was ever in a batch. */
  readonly ran: boolean;
  readonly versions: readonly { version: number; tokens: number }[];
  readonly position: number;
}

/** A plain service ran a request. */
export interface Ran {
  readonly path: string;
  readonly idempotencyKey: string;
  readonly rawHeaders: readonly string[];
  readonly body: unknown;
}

/** The platform has an order. */
export interface Ordered {
  readonly order: Order;
  readonly accepted: boolean;
  readonly repeat: boolean;
}

/** The platform has a usage report. */
export interface Reported {
  readonly id: string;
  readonly body: string;
}

/** The true list of VMs changed. */
export interface Vms {
  readonly vms: readonly Vm[];
}

/** The fields of each kind of event. */
export interface Fields {
  readonly asked: Asked;
  readonly answered: Answered;
  readonly refused: Refused;
  readonly lost: Lost;
  readonly cut: Cut;
  readonly submitted: Submitted;
  readonly pulled: Pulled;
  readonly accepted: Accepted;
  readonly "in force": InForce;
  readonly fault: FaultEvent;
  readonly received: Received;
  readonly finished: Ended;
  readonly cancelled: Ended;
  readonly broken: Ended;
  readonly truncated: Ended;
  readonly crashed: Ended;
  readonly ran: Ran;
  readonly ordered: Ordered;
  readonly reported: Reported;
  readonly vms: Vms;
  readonly down: object;
}

/** An event of one kind. */
export type Event<K extends keyof Fields> = HistoryEvent & Fields[K];

/** The events of a run, by time. */
export type History = readonly HistoryEvent[];

/** The events of one kind, in order of time. */
export function select<K extends keyof Fields>(
  history: History,
  kind: K,
): readonly Event<K>[] {
  return history
    .filter((event) => event.kind === kind)
    .map((event) => event as Event<K>)
    .sort((a, b) => a.t - b.t);
}

/** The promises that a history can break. */
export enum Promised {
  VersionLabels = "version labels",
  Staleness = "staleness",
  ExactlyOnce = "exactly once",
  OwnKey = "own key",
  KeySecrecy = "key secrecy",
  Withdrawal = "withdrawal",
  OneOrderer = "one orderer",
  OneReport = "one report",
  WholeAnswer = "whole answer",
  NotRun = "not run",
  AtMostOnce = "at most once",
  LeavingUpstream = "leaving upstream",
  GracefulShutdown = "graceful shutdown",
  Configuration = "configuration",
  Quarantine = "quarantine",
}

/** How a history breaks a promise. */
export interface Violation {
  readonly promise: Promised;
  readonly message: string;
  /** The shortest part of the history that shows it. */
  readonly events: History;
}

/** Reads a history and names what it breaks. */
export type Checker = (history: History) => readonly Violation[];

/** Groups values by a key, in order of appearance. */
export function groupBy<T>(
  values: readonly T[],
  key: (value: T) => string,
): ReadonlyMap<string, readonly T[]> {
  const groups = new Map<string, T[]>();
  for (const value of values) {
    const group = groups.get(key(value));
    if (group === undefined) groups.set(key(value), [value]);
    else group.push(value);
  }
  return groups;
}
