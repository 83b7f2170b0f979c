/**
 * Requests that are passed on byte for byte: what goes to an upstream, what
 * comes back, and what is known when nothing whole does.
 *
 * @module
 */

import type { Result } from "ts-results";
import type { Target } from "./mod.ts";

/** Header fields as they were sent, in order. */
export type HeaderFields = readonly (readonly [string, string])[];

/** A request to be passed on. */
export interface UpstreamRequest {
  /** The request's own marker, which comes back with its answer. */
  readonly id: string;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly path: string;
  readonly host: string;
  readonly fields: HeaderFields;
  readonly body: Buffer;
  /** Empty on a route open to all. */
  readonly organisation: string;
  /** Time left for the answer, in milliseconds. */
  readonly remainingMs: number;
  /** Number of the event after which a stream goes on; absent for a new one. */
  readonly after?: number;
  /** A stream silent for longer is given up; absent: never. */
  readonly silenceMs?: number;
  /** 0 is the most urgent; absent where the upstream shall not care. */
  readonly urgency?: number;
}

/** A whole answer. */
export interface UpstreamResponse {
  readonly status: number;
  /** The fields that concern the caller. */
  readonly fields: HeaderFields;
  readonly body: Buffer;
  /** Mark by which a caller proves who answered; absent without one. */
  readonly seal?: string;
}

/** A numbered event of a streamed answer. */
export interface StreamEvent {
  readonly number: number;
  readonly text: string;
  readonly weightVersion: number;
  /** The event as it came, with what stood between it and the one before. */
  readonly raw: string;
}

/** An answer that arrives event by event. */
export interface UpstreamStream {
  readonly status: number;
  /** The fields that concern the caller. */
  readonly fields: HeaderFields;
  /**
   * Events until the stream is whole; the last is an error if it isn't. Whoever
   * takes a flow reads it, or aborts its signal.
   */
  readonly events: AsyncGenerator<Result<StreamEvent, LostRequest>, void, void>;
  /** What followed the last event, once all were read. */
  remainder(): string;
}

/** How a request came to have no whole answer. */
export enum Loss {
  /** No connection was made: the upstream saw nothing. */
  Unreachable = "unreachable",
  /** The upstream says that it did not run the request. */
  NotRun = "not_run",
  /** Another upstream has the address. */
  Misdirected = "misdirected",
  /** The upstream ran the request and failed. */
  Failed = "failed",
  /** The upstream says that the request can never be done. */
  Impossible = "impossible",
  /** The connection broke, or what came is no answer to the request. */
  Broken = "broken",
  /** Nothing came for longer than the bound on silence. */
  Silent = "silent",
  /** The caller or a bound ended it. */
  Cancelled = "cancelled",
}

/** Whether an upstream surely ran nothing. */
export function isNotExecuted(loss: Loss): boolean {
  return loss === Loss.Unreachable || loss === Loss.NotRun ||
    loss === Loss.Misdirected;
}

/** A request without a whole answer. */
export interface LostRequest {
  readonly loss: Loss;
  readonly message: string;
  /** What the upstream said in place of a stream. */
  readonly answer?: UpstreamResponse;
}

/** Passes requests on to upstreams; sends nothing twice. */
export abstract class UpstreamTransport {
  /** Any answer of the upstream that is whole and says that it ran. */
  abstract send(
    target: Target,
    parcel: UpstreamRequest,
    signal: AbortSignal,
  ): Promise<Result<UpstreamResponse, LostRequest>>;

  /** An answer from its first byte on; a loss may bring another answer. */
  abstract stream(
    target: Target,
    parcel: UpstreamRequest,
    signal: AbortSignal,
  ): Promise<Result<UpstreamStream, LostRequest>>;
}
