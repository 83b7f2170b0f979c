/**
 * Interface of the relay plug-in, which forwards requests to upstreams byte for
 * byte, within the attempts and the deadline that their route allows.
 *
 * @module
 */

import type { Option } from "fp-ts/Option";
import type { Result } from "ts-results";
import { Plugin, PluginKey, type Refusal } from "../kernel/mod.ts";
import type { HeaderFields, UpstreamResponse } from "../outside/mod.ts";
import type { ExchangeRoute } from "./routing.ts";

/** A request as received from a caller. */
export interface RelayRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly host: string;
  readonly fields: HeaderFields;
  readonly body: Buffer;
  /** Time left until the caller's deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Number of the last event the caller has, to resume a stream after it. */
  readonly after?: number;
  /** See `Demand.crashLimit`. */
  readonly crashLimit?: number;
  /** The model and the size of the prompt, if the request names a model. */
  readonly prompt?: Prompt;
  /** Checked right before each send; the request isn't sent if it is false. */
  readonly mayStart?: () => boolean;
}

/** The model and prompt size of a request. */
export interface Prompt {
  readonly model: string;
  /** Tokens of the prompt plus the maximum of output tokens. */
  readonly tokens: number;
  /** Names of the prompt's parts, in order. */
  readonly prefixes: readonly string[];
}

/** The organisation that a request runs for, and the request's rank. */
export interface Requester {
  /** Empty if the route is open and the caller sent no key. */
  readonly organisation: string;
  readonly rank?: number;
  /** Regions in which its requests may run; absent for all. */
  readonly allowedRegions?: readonly string[];
}

/** Forwards requests to upstreams. */
export abstract class RequestRelay extends Plugin {
  /** The route of a request; `None` before the first configuration, too. */
  abstract route(host: string, path: string): Option<ExchangeRoute>;

  /** All exchange and batch routes of a host. */
  abstract routes(host: string): readonly ExchangeRoute[];

  /** Calls `listener` after the routes changed; returns a function to stop. */
  abstract onChange(listener: () => void): () => void;

  /**
   * Runs a request within the route's limits. The answer is the upstream's
   * complete response; a refusal says whether the request may have run.
   */
  abstract serve(
    route: ExchangeRoute,
    requester: Requester,
    request: RelayRequest,
    signal: AbortSignal,
  ): Promise<RelayResult>;

  /**
   * Runs a request whose response is forwarded as it arrives. Another upstream
   * may take over until the first event, and after it only if the route's
   * streams are resumable.
   */
  abstract stream(
    route: ExchangeRoute,
    requester: Requester,
    request: RelayRequest,
    signal: AbortSignal,
  ): Promise<Result<StreamedResponse | UpstreamResponse, Refusal>>;
}

/** A response that is forwarded as it arrives. */
export interface StreamedResponse {
  readonly status: number;
  readonly fields: HeaderFields;
  /** Must be read to the end; an error as the last part means truncation. */
  readonly parts: AsyncGenerator<Result<string, Refusal>, void, void>;
}

/** The result of a request, and how often upstreams failed to run it. */
export interface RelayResult {
  readonly answer: Result<UpstreamResponse, Refusal>;
  readonly upstreamFailures: number;
}

/** The key of the relay plug-in. */
export const relayKey = new PluginKey<RequestRelay>("relay");

export { drawPool, type ExchangeRoute, Routing } from "./routing.ts";
