/**
 * Events of a run, as recorded by clients and stand-ins, with the fields that
 * the checkers read.
 *
 * @module
 */

import type { HistoryEvent } from "../stand_ins/history.ts";
import type { Order, Vm } from "../src/outside/mod.ts";
import type { VersionSpan } from "../src/steps/mod.ts";

/** A caller sends a request. */
export interface AskedFields {
  /** Also part of the request's prompt or path; see `requestMarker`. */
  readonly id: string;
  readonly route: string;
  /** Organisation of the key sent; empty without a valid key. */
  readonly tenant: string;
  /** Public id of the key sent; empty without one. */
  readonly keyId: string;
  /** Empty without one. */
  readonly idempotencyKey: string;
  /** The text of a complete answer; empty if it isn't known. */
  readonly expected: string;
}

/** A caller received a complete answer. */
export interface AnsweredFields {
  readonly id: string;
  readonly text: string;
  readonly outputTokens: number;
  /** Whether the answer is the stored outcome of an earlier request. */
  readonly replayed: boolean;
}

/** A caller's request is refused, before the answer or within its stream. */
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

/** A caller's answer began and is incomplete. */
export interface CutFields {
  readonly id: string;
  readonly why: string;
  /** Whether the connection ended without an error. */
  readonly clean: boolean;
}

/** A trainer submits a step. */
export interface SubmittedFields {
  readonly step: string;
  readonly groups: readonly number[];
  readonly stalenessBound: number;
}

/** A sample as its trainer received it. */
export interface PulledSample {
  readonly group: number;
  readonly index: number;
  readonly tokens: number;
  readonly versions: readonly VersionSpan[];
  readonly text: string;
  readonly expected: string;
  /** Whether the trainer was notified that the sample won't be generated. */
  readonly quarantined: boolean;
}

/** A trainer receives the samples of one pull. */
export interface PulledFields {
  readonly step: string;
  /** The weight version that the trainer sent with the pull. */
  readonly version: number;
  readonly samples: readonly PulledSample[];
  readonly done: boolean;
}

/** An operator's edit is accepted. */
export interface AcceptedFields {
  readonly revision: number;
  readonly attempt: string;
  /** Public ids of the keys that the edit withdraws. */
  readonly withdraws: readonly string[];
}

/** The revision that a daemon has in force, as read from its metrics. */
export interface InForceFields {
  readonly daemon: string;
  /** Changes when the daemon is restarted. */
  readonly pid: number;
  readonly revision: number;
}

/** A fault begins or ends. */
export interface FaultFields {
  readonly fault: string;
  readonly target: string;
  readonly phase: "begin" | "end";
}

/** An engine received a generation. */
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
  /** Whether the engine ever ran the generation in a batch. */
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

/** The platform received an order. */
export interface OrderedFields {
  readonly order: Order;
  readonly accepted: boolean;
  readonly repeat: boolean;
}

/** The platform received a usage report. */
export interface ReportedFields {
  readonly id: string;
  readonly body: string;
}

/** The platform's list of VMs changed; daemons may see it later. */
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

/** The events of a run. */
export type EventHistory = readonly HistoryEvent[];

/** The events of one kind, ordered by time. */
export function eventsOf<K extends keyof KindFields>(
  history: EventHistory,
  kind: K,
): readonly EventOf<K>[] {
  return history
    .filter((event) => event.kind === kind)
    .map((event) => event as EventOf<K>)
    .sort((a, b) => a.t - b.t);
}

/** Guarantees that the checkers verify. */
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

/** A violation of a guarantee. */
export interface Violation {
  readonly guarantee: Guarantee;
  readonly message: string;
  /** The events that show it. */
  readonly events: EventHistory;
}

/** Finds the violations in a history. */
export type Checker = (history: EventHistory) => readonly Violation[];

/** Groups values by a key, in order of first occurrence. */
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
