/**
 * Dispatches requests from peers to the plug-ins' handlers.
 *
 * @module
 */

import { Err, Ok, type Result } from "ts-results";
import { type PeerHandler, Reason, Refusal, Verdict } from "../kernel/mod.ts";
import type { Link } from "./link.ts";
import { FrameKind } from "./peer_metrics.ts";

/** The handlers of all plug-ins by request kind. */
export class RequestHandlers {
  readonly #handlers = new Map<string, PeerHandler>();

  /** Registers the only handler of a kind. */
  add(kind: string, handler: PeerHandler): void {
    if (this.#handlers.has(kind)) {
      throw new RangeError(`Peer handler "${kind}" is registered twice`);
    }
    this.#handlers.set(kind, handler);
  }

  /** Runs the handler of a request; whatever it throws becomes a refusal. */
  async run(
    kind: string,
    body: unknown,
    { from, linkEnd }: { from: string; linkEnd: AbortSignal },
  ): Promise<Result<unknown, Refusal>> {
    const handler = this.#handlers.get(kind);
    if (handler === undefined) return Err(unknownKind(kind));
    try {
      return Ok(await handler(body, from, linkEnd));
    } catch (error) {
      return Err(error instanceof Refusal ? error : failed(error));
    }
  }

  /** Handles a request received over a link and sends the answer. */
  async answer(
    link: Link,
    request: { id: number; name: string; body: unknown },
  ): Promise<void> {
    const { id, name, body } = request;
    const answer = await this.run(name, body, {
      from: link.peer.vm,
      linkEnd: link.signal,
    });
    try {
      if (answer.ok) {
        link.send({ kind: FrameKind.Answer, id, body: answer.val });
        return;
      }
      link.send({ kind: FrameKind.Refuse, id, refusal: { ...answer.val } });
    } catch (error) {
      // The handler ran, but its answer can't be encoded or is too large.
      link.send({ kind: FrameKind.Refuse, id, refusal: { ...failed(error) } });
    }
  }
}

function unknownKind(kind: string): Refusal {
  return new Refusal({
    verdict: Verdict.NotRun,
    reason: Reason.PeerFailed,
    message: `The peer does not know requests of kind "${kind}"`,
  });
}

function failed(error: unknown): Refusal {
  return new Refusal({
    verdict: Verdict.MayHaveRun,
    reason: Reason.PeerFailed,
    message: error instanceof Error ? error.message : String(error),
  });
}
