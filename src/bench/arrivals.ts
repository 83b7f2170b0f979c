/**
 * Send times and contents of a caller's requests. Both depend only on the
 * seed and the plan, so two runs send the same load.
 *
 * @module
 */

import type { Burst, CallerPlan } from "./bench_plan.ts";
import { Random } from "./random.ts";

/** A scheduled request. */
export interface Arrival {
  /** Milliseconds from the start of the run. */
  readonly atMs: number;
  readonly prompt: string;
  readonly seed: number;
}

const MAX_SEED = 2 ** 31;

/**
 * Yields the requests of a caller: a Poisson process whose rate varies with
 * the bursts, sampled at the highest rate and thinned.
 */
export function* arrivals(
  plan: CallerPlan,
  seed: number,
  options: { seconds: number },
): Generator<Arrival, void, void> {
  const random = new Random({ seed });
  const factors = plan.bursts.map(({ factor }) => factor);
  const highest = Math.max(1, ...factors);
  const meanMs = 1000 / (plan.ratePerS * highest);
  const endMs = options.seconds * 1000;
  let atMs = random.exponential(meanMs);
  for (let n = 0; atMs < endMs; n++) {
    const accepted = random.next() * highest < rateFactorAt(plan.bursts, atMs);
    if (accepted) yield { atMs, ...content(plan, random, `${seed}/${n}`) };
    atMs += random.exponential(meanMs);
  }
}

/** Returns the rate multiplier in effect `atMs` into the run. */
export function rateFactorAt(bursts: readonly Burst[], atMs: number): number {
  const burst = bursts.find(({ fromS, toS }) =>
    fromS * 1000 <= atMs && atMs < toS * 1000
  );
  return burst?.factor ?? 1;
}

function content(
  plan: CallerPlan,
  random: Random,
  name: string,
): Omit<Arrival, "atMs"> {
  const prefix = `${plan.name} ${random.integerBelow(plan.prefixes)}`;
  const shared = repeatToLength(prefix, plan.sharedChars);
  const unique = repeatToLength(name, plan.promptChars - shared.length);
  return {
    prompt: `${plan.instruction}${shared}${unique}`,
    seed: random.integerBelow(MAX_SEED),
  };
}

/** Repeats `name`, separated by spaces, up to a length of `chars`. */
export function repeatToLength(name: string, chars: number): string {
  const length = Math.max(0, chars);
  return `${name} `.repeat(Math.ceil(length / (name.length + 1)))
    .slice(0, length);
}
