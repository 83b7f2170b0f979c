/**
 * Faults that the platform stand-in injects into the calls that it serves.
 *
 * @module
 */

import type { FastifyReply, FastifyRequest } from "fastify";
import { setTimeout as sleep } from "node:timers/promises";
import { HashRandom } from "./hash_random.ts";

/** Ways in which a call to the platform goes wrong. */
export enum FaultKind {
  /** The call is served `delayMs` late. */
  Delay = "delay",
  /** The connection is destroyed before the call is served. */
  Outage = "outage",
  /** The call takes effect and its answer is destroyed. */
  Lost = "lost",
}

/** A fault to inject into calls. */
export interface FaultInjection {
  readonly kind: FaultKind;
  /** The operation hit, such as `swap`; `*` stands for all. */
  readonly operation: string;
  /** Chance to hit a call, 0 to 1; 1 by default. */
  readonly probability?: number;
  /** Number of calls hit before the fault ends; unbounded by default. */
  readonly count?: number;
  readonly delayMs?: number;
  readonly seed?: number;
}

interface Active {
  readonly injection: FaultInjection;
  readonly random: HashRandom;
  left: number;
}

/** The faults in force, and the count of calls by operation. */
export class Faults {
  #active: readonly Active[] = [];
  readonly #calls = new Map<string, number>();
  readonly #waiting = new Set<FastifyReply>();

  /** Calls so far by operation; a watch counts as one. */
  get calls(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.#calls);
  }

  /** Replaces the faults in force; an outage cuts waiting watches too. */
  inject(injections: readonly FaultInjection[]): void {
    this.#active = injections.map((injection) => ({
      injection,
      random: new HashRandom({ seed: injection.seed ?? 0 }),
      left: injection.count ?? Infinity,
    }));
    const outage = injections.some((injection) =>
      injection.kind === FaultKind.Outage &&
      (injection.probability ?? 1) >= 1 &&
      ["*", "watch"].includes(injection.operation)
    );
    if (!outage) return;
    for (const reply of this.#waiting) reply.raw.destroy();
  }

  /** Serves one call of `operation` under the faults in force. */
  async serve(
    operation: string,
    call: {
      request: FastifyRequest;
      reply: FastifyReply;
      run: () => unknown;
    },
  ): Promise<unknown> {
    this.#calls.set(operation, (this.#calls.get(operation) ?? 0) + 1);
    const hits = this.#draw(operation);
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

  #draw(operation: string): readonly FaultInjection[] {
    const hits: FaultInjection[] = [];
    for (const active of this.#active) {
      const { injection } = active;
      const applies = injection.operation === "*" ||
        injection.operation === operation;
      if (!applies || active.left <= 0) continue;
      if (active.random.next() >= (injection.probability ?? 1)) continue;
      active.left -= 1;
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
