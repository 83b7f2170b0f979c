/**
 * Interface for requests that are forwarded to upstreams byte for byte: the
 * request, the response or stream, and the reason if neither is complete.
 *
 * @module
 */

import type { Result } from "ts-results";
import type { Target } from "./mod.ts";

/** Header fields in their original form and order. */
export type HeaderFields = readonly (readonly [string, string])[];

/** A request to be forwarded. */
export interface UpstreamRequest {
  /** Id of the request, which the response repeats. */
  readonly id: string;
  readonly method: string;
  /** Path and query, as sent by the caller. */
  readonly path: string;
  readonly host: string;
  readonly fields: HeaderFields;
  readonly body: Buffer;
  /** Empty on an open route. */
  readonly organisation: string;
  /** Time left until the deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Resumes a stream after the event of this number; absent for a new one. */
  readonly after?: number;
  /** Longest time without an event of a stream; absent for no limit. */
  readonly silenceMs?: number;
  /** 0 is the most urgent; absent if the upstream is to ignore urgency. */
  readonly urgency?: number;
  /**
   * Checked right before the request is written. If it is false, the request
   * isn't sent and counts as cancelled.
   */
  readonly mayStart?: () => boolean;
}

/** A complete response. */
export interface UpstreamResponse {
  readonly status: number;
  /** The fields meant for the caller. */
  readonly fields: HeaderFields;
  readonly body: Buffer;
  /** Seal by which a caller can verify who answered, if there is one. */
  readonly seal?: string;
}

/** A numbered event of a streamed response. */
export interface StreamEvent {
  readonly number: number;
  readonly text: string;
  readonly weightVersion: number;
  /** The event as received, with any text since the previous one. */
  readonly raw: string;
}

/** A response that arrives event by event. */
export interface UpstreamStream {
  readonly status: number;
  /** The fields meant for the caller. */
  readonly fields: HeaderFields;
  /**
   * The events; if the stream is incomplete, the last item is an error. The
   * receiver of a stream must read it to the end or abort its signal.
   */
  readonly events: AsyncGenerator<Result<StreamEvent, LostRequest>, void, void>;
  /** Text after the last event; call it once all events were read. */
  remainder(): string;
}

/** Why a request has no complete response. */
export enum Loss {
  /** The connection failed: the upstream received nothing. */
  Unreachable = "unreachable",
  /** The upstream states that it did not run the request. */
  NotRun = "not_run",
  /** Another upstream answered at the address. */
  Misdirected = "misdirected",
  /** The upstream ran the request and failed. */
  Failed = "failed",
  /** The upstream states that the request can never succeed. */
  Impossible = "impossible",
  /** It can't be written as HTTP: nothing was sent, and never can be. */
  Unsendable = "unsendable",
  /** The connection broke, or the response does not match the request. */
  Broken = "broken",
  /** The answer exceeded a limit, and its connection was closed. */
  Excessive = "excessive",
  /** No event arrived within the silence timeout. */
  Silent = "silent",
  /** The caller or a time limit cancelled it. */
  Cancelled = "cancelled",
}

/** Whether the request was certainly not executed. */
export function isNotExecuted(loss: Loss): boolean {
  return loss === Loss.Unreachable || loss === Loss.NotRun ||
    loss === Loss.Misdirected || loss === Loss.Unsendable;
}

/** Whether no upstream can ever run the request. */
export function isFinal(loss: Loss): boolean {
  return loss === Loss.Impossible || loss === Loss.Unsendable;
}

/** A request without a complete response. */
export interface LostRequest {
  readonly loss: Loss;
  readonly message: string;
  /** The response that the upstream sent instead of a stream. */
  readonly answer?: UpstreamResponse;
}

/** Forwards requests to upstreams; never sends a request twice. */
export abstract class UpstreamTransport {
  /** Returns any complete response of an upstream that ran the request. */
  abstract send(
    target: Target,
    request: UpstreamRequest,
    signal: AbortSignal,
  ): Promise<Result<UpstreamResponse, LostRequest>>;

  /** Returns the stream once it starts; a loss may carry another response. */
  abstract stream(
    target: Target,
    request: UpstreamRequest,
    signal: AbortSignal,
  ): Promise<Result<UpstreamStream, LostRequest>>;
}
