/**
 * Requests that are passed on byte for byte, with the attempts and the time
 * that their route allows.
 *
 * @module
 */

import type { Option } from "fp-ts/Option";
import type { Result } from "ts-results";
import { Plugin, PluginKey, type Refusal } from "../kernel/mod.ts";
import type { Delivery, Fields } from "../outside/mod.ts";
import type { ExchangeRoute } from "./routing.ts";

/** A request as a caller sent it. */
export interface RelayRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly host: string;
  readonly fields: Fields;
  readonly body: Buffer;
  /** Time that the caller waits, in milliseconds. */
  readonly remainingMs: number;
  /** Number of the event after which the caller wants a stream to go on. */
  readonly after?: number;
  /** What is asked of a model, where the request names one. */
  readonly prompt?: Prompt;
}

/** What a request asks of a model. */
export interface Prompt {
  readonly model: string;
  /** Tokens of the prompt and at most of the output together. */
  readonly tokens: number;
  /** Prompt's parts by name, the first part first. */
  readonly prefixes: readonly string[];
}

/** On whose behalf a request runs. */
export interface Requester {
  /** Empty where the route is open and no key came. */
  readonly organisation: string;
  readonly rank?: number;
}

/** Passes requests on. */
export abstract class RequestRelay extends Plugin {
  /** The route of a request; `None` also before the first configuration. */
  abstract route(host: string, path: string): Option<ExchangeRoute>;

  /** All exchange and batch routes of a host. */
  abstract routes(host: string): readonly ExchangeRoute[];

  /**
   * Runs a request within the route's bounds. The answer is an upstream's own,
   * whole; a refusal says whether the request may have run.
   */
  abstract serve(
    route: ExchangeRoute,
    requester: Requester,
    request: RelayRequest,
    signal: AbortSignal,
  ): Promise<RelayResult>;

  /**
   * Runs a request whose answer is passed on as it arrives. Until its first
   * event another upstream may take over, and after it where the route's
   * streams can be resumed.
   */
  abstract stream(
    route: ExchangeRoute,
    requester: Requester,
    request: RelayRequest,
    signal: AbortSignal,
  ): Promise<Result<StreamedResponse | Delivery, Refusal>>;
}

/** An answer that is passed on as it arrives. */
export interface StreamedResponse {
  readonly status: number;
  readonly fields: Fields;
  /** Must be read to the end; an error is last, and means: not whole. */
  readonly parts: AsyncGenerator<Result<string, Refusal>, void, void>;
}

/** How a request ended, and how often upstreams failed at it. */
export interface RelayResult {
  readonly answer: Result<Delivery, Refusal>;
  readonly upstreamFailures: number;
}

/** The key of the relay plug-in. */
export const relayKey = new PluginKey<RequestRelay>("relay");

export { drawPool, type ExchangeRoute, Routing } from "./routing.ts";
