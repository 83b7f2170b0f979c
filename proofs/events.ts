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
export interface AskedFields {
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
export interface AnsweredFields {
  readonly id: string;
  readonly text: string;
  readonly outputTokens: number;
  /** Whether it is the outcome of an earlier run. */
  readonly replayed: boolean;
}

/** A caller is refused, at the start or in the middle of a stream. */
export interface RefusedFields {
  readonly id: string;
  readonly status: number;
  readonly verdict: string;
  readonly reason: string;
  /** Milliseconds from the request to the refusal. */
  readonly afterMs: number;
}

/** A caller's connection failed before an answer began. */
export interface LostFields {
  readonly id: string;
  readonly why: string;
}

/** A caller's answer began and ended without its end. */
export interface CutFields {
  readonly id: string;
  readonly why: string;
  /** Whether it looked like a regular end. */
  readonly clean: boolean;
}

/** A trainer submits a step. */
export interface SubmittedFields {
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
export interface PulledFields {
  readonly step: string;
  /** The version that the trainer named in the pull. */
  readonly version: number;
  readonly samples: readonly PulledSample[];
  readonly done: boolean;
}

/** An operator's edit is accepted. */
export interface AcceptedFields {
  readonly revision: number;
  readonly attempt: string;
  /** Public names of keys that the edit withdraws. */
  readonly withdraws: readonly string[];
}

/** A daemon tells which revision it has in force. */
export interface InForceFields {
  readonly daemon: string;
  /** Differs between runs of the daemon. */
  readonly pid: number;
  readonly revision: number;
}

/** A fault begins, or ends. */
export interface FaultFields {
  readonly fault: string;
  readonly target: string;
  readonly phase: "begin" | "end";
}

/** An engine has a generation. */
export interface ReceivedFields {
  readonly id: string;
  readonly prompt: string;
  /** Characters of text to resume from. */
  readonly resumed: number;
  readonly rawHeaders: readonly string[];
}

/** An engine's work on a generation ended. */
export interface EndedFields {
  readonly id: string;
  /** Whether the generation was ever in a batch. */
  readonly ran: boolean;
  readonly versions: readonly { version: number; tokens: number }[];
  readonly position: number;
}

/** A plain service ran a request. */
export interface RanFields {
  readonly path: string;
  readonly idempotencyKey: string;
  readonly rawHeaders: readonly string[];
  readonly body: unknown;
}

/** The platform has an order. */
export interface OrderedFields {
  readonly order: Order;
  readonly accepted: boolean;
  readonly repeat: boolean;
}

/** The platform has a usage report. */
export interface ReportedFields {
  readonly id: string;
  readonly body: string;
}

/** The true list of VMs changed. */
export interface VmsFields {
  readonly vms: readonly Vm[];
}

/** The fields of each kind of event. */
export interface KindFields {
  readonly asked: AskedFields;
  readonly answered: AnsweredFields;
  readonly refused: RefusedFields;
  readonly lost: LostFields;
  readonly cut: CutFields;
  readonly submitted: SubmittedFields;
  readonly pulled: PulledFields;
  readonly accepted: AcceptedFields;
  readonly "in force": InForceFields;
  readonly fault: FaultFields;
  readonly received: ReceivedFields;
  readonly finished: EndedFields;
  readonly cancelled: EndedFields;
  readonly broken: EndedFields;
  readonly truncated: EndedFields;
  readonly crashed: EndedFields;
  readonly ran: RanFields;
  readonly ordered: OrderedFields;
  readonly reported: ReportedFields;
  readonly vms: VmsFields;
  readonly down: object;
}

/** An event of one kind. */
export type EventOf<K extends keyof KindFields> = HistoryEvent & KindFields[K];

/** The events of a run, by time. */
export type EventHistory = readonly HistoryEvent[];

/** The events of one kind, in order of time. */
export function eventsOf<K extends keyof KindFields>(
  history: EventHistory,
  kind: K,
): readonly EventOf<K>[] {
  return history
    .filter((event) => event.kind === kind)
    .map((event) => event as EventOf<K>)
    .sort((a, b) => a.t - b.t);
}

/** The promises that a history can break. */
export enum Guarantee {
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
  readonly guarantee: Guarantee;
  readonly message: string;
  /** The shortest part of the history that shows it. */
  readonly events: EventHistory;
}

/** Reads a history and names what it breaks. */
export type Checker = (history: EventHistory) => readonly Violation[];

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
