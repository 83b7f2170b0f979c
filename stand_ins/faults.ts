/**
 * Fault injection into the calls that the platform stand-in serves.
 *
 * @module
 */

import type { FastifyReply, FastifyRequest } from "fastify";
import { setTimeout as sleep } from "node:timers/promises";
import { HashRandom } from "./hash_random.ts";

/** Kinds of fault in a call to the platform. */
export enum FaultKind {
  /** The call is served after a delay of `delayMs`. */
  Delay = "delay",
  /** The connection is closed before the call is served. */
  Outage = "outage",
  /** The call takes effect, but its response is lost. */
  Lost = "lost",
}

/** A fault to inject into calls. */
export interface FaultInjection {
  readonly kind: FaultKind;
  /** The affected operation, such as `swap`; `*` matches all. */
  readonly operation: string;
  /** Probability of affecting a call, 0 to 1; 1 by default. */
  readonly probability?: number;
  /** Number of calls affected before the fault ends; unlimited by default. */
  readonly count?: number;
  readonly delayMs?: number;
  readonly seed?: number;
}

interface ActiveFault {
  readonly injection: FaultInjection;
  readonly random: HashRandom;
  remaining: number;
}

/** Active faults, and the number of calls by operation. */
export class FaultInjector {
  #active: readonly ActiveFault[] = [];
  readonly #calls = new Map<string, number>();
  readonly #waiting = new Set<FastifyReply>();

  /** Calls so far by operation; a watch counts as one. */
  get calls(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.#calls);
  }

  /** Replaces the active faults; an outage also closes pending watches. */
  inject(injections: readonly FaultInjection[]): void {
    this.#active = injections.map((injection) => ({
      injection,
      random: new HashRandom({ seed: injection.seed ?? 0 }),
      remaining: injection.count ?? Infinity,
    }));
    const outage = injections.some((injection) =>
      injection.kind === FaultKind.Outage &&
      (injection.probability ?? 1) >= 1 &&
      ["*", "watch"].includes(injection.operation)
    );
    if (!outage) return;
    for (const reply of this.#waiting) reply.raw.destroy();
  }

  /** Serves one call of `operation`, subject to the active faults. */
  async serve(
    operation: string,
    call: {
      request: FastifyRequest;
      reply: FastifyReply;
      run: () => unknown;
    },
  ): Promise<unknown> {
    this.#calls.set(operation, (this.#calls.get(operation) ?? 0) + 1);
    const hits = this.#drawHits(operation);
    const { reply } = call;
    for (const hit of hits) {
      if (hit.kind === FaultKind.Delay) await sleep(hit.delayMs ?? 0);
    }
    if (hits.some((hit) => hit.kind === FaultKind.Outage)) return drop(reply);
    const answer = await this.#run(call);
    if (hits.some((hit) => hit.kind === FaultKind.Lost)) return drop(reply);
    return answer;
  }

  async #run(call: { reply: FastifyReply; run: () => unknown }) {
    this.#waiting.add(call.reply);
    try {
      return await call.run();
    } finally {
      this.#waiting.delete(call.reply);
    }
  }

  #drawHits(operation: string): readonly FaultInjection[] {
    const hits: FaultInjection[] = [];
    for (const active of this.#active) {
      const { injection } = active;
      const applies = injection.operation === "*" ||
        injection.operation === operation;
      if (!applies || active.remaining <= 0) continue;
      if (active.random.next() >= (injection.probability ?? 1)) continue;
      active.remaining -= 1;
      hits.push(injection);
    }
    return hits;
  }
}

function drop(reply: FastifyReply): FastifyReply {
  reply.hijack();
  reply.raw.destroy();
  return reply;
}
