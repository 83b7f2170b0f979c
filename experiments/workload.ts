/**
 * Generates the requests of several organisations over time from one seed.
 *
 * @module
 */

import { Priority } from "../src/tables/mod.ts";
import { BLOCK_TOKENS } from "./engine_model.ts";
import { Random } from "../src/bench/random.ts";

/** Weights of the organisations: a few are large. */
export const ORGANISATION_WEIGHTS: Readonly<Record<string, number>> = {
  t1: 4,
  t2: 3,
  t3: 2,
  t4: 1,
  t5: 1,
  t6: 1,
  t7: 1,
  t8: 1,
};

/** The organisation that sends the flood. */
export const FLOODING_ORGANISATION = "t8";

/** A class of requests. */
interface WorkClass {
  readonly priority: Priority;
  /** Fraction of the tokens of an organisation. */
  readonly part: number;
  readonly medianTokens: number;
  readonly sigma: number;
  readonly maxTokens: number;
  readonly deadlineMs: number;
  /** Number of requests with the same prompt that arrive together. */
  readonly group: number;
}

/** Request classes of each organisation. */
export const WORK_MIX: readonly WorkClass[] = [
  {
    priority: Priority.Interactive,
    part: 0.25,
    medianTokens: 30,
    sigma: 0.5,
    maxTokens: 128,
    deadlineMs: 10_000,
    group: 1,
  },
  {
    priority: Priority.Standard,
    part: 0.15,
    medianTokens: 100,
    sigma: 0.6,
    maxTokens: 512,
    deadlineMs: 30_000,
    group: 1,
  },
  {
    priority: Priority.Training,
    part: 0.5,
    medianTokens: 200,
    sigma: 0.9,
    maxTokens: 1024,
    deadlineMs: 120_000,
    group: 8,
  },
  {
    priority: Priority.Batch,
    part: 0.1,
    medianTokens: 200,
    sigma: 0.7,
    maxTokens: 1024,
    deadlineMs: 300_000,
    group: 1,
  },
];

/** A generated request. */
export interface SimulatedRequest {
  readonly id: string;
  readonly at: number;
  readonly entry: number;
  readonly organisation: string;
  readonly priority: Priority;
  readonly promptTokens: number;
  readonly prefixes: readonly string[];
  readonly outputTokens: number;
  readonly maxTokens: number;
  readonly deadlineMs: number;
  readonly fingerprint: string;
}

/** Load of a simulation run. */
export interface WorkloadPlan {
  readonly seed: number;
  readonly durationMs: number;
  readonly entries: number;
  /** Requested tokens per second of all organisations, divided by weight. */
  readonly tokensPerSecond: number;
  /** Extra load of the flooding organisation from `from` until `to`. */
  readonly flood?: {
    readonly tokensPerSecond: number;
    readonly from: number;
    readonly to: number;
    /** Priority of the flood; all classes of the mix by default. */
    readonly priority?: Priority;
  };
}

/** Number of prompt templates per organisation and class. */
const TEMPLATES_PER_CLASS = 12;

/** Generates all requests of a plan in order of arrival. */
export function generateRequests(
  plan: WorkloadPlan,
): readonly SimulatedRequest[] {
  const requests: SimulatedRequest[] = [];
  const total = Object.values(ORGANISATION_WEIGHTS).reduce(
    (sum, one) => sum + one,
    0,
  );
  Object.entries(ORGANISATION_WEIGHTS).forEach(
    ([organisation, weight], row) => {
      WORK_MIX.forEach((work, column) => {
        const random = new Random({
          seed: plan.seed * 1000 + row * 10 + column,
        });
        const rate = plan.tokensPerSecond * weight / total * work.part;
        requests.push(...stream(random, {
          plan,
          organisation,
          work,
          rate,
          from: 0,
          to: plan.durationMs,
        }));
      });
    },
  );
  requests.push(...floodRequests(plan));
  return requests.sort((a, b) => a.at - b.at);
}

function floodRequests(plan: WorkloadPlan): readonly SimulatedRequest[] {
  const { flood } = plan;
  if (flood === undefined) return [];
  return WORK_MIX.flatMap((work, column) => {
    if (flood.priority !== undefined && work.priority !== flood.priority) {
      return [];
    }
    const random = new Random({ seed: plan.seed * 1000 + 500 + column });
    const part = flood.priority === undefined ? work.part : 1;
    return stream(random, {
      plan,
      organisation: FLOODING_ORGANISATION,
      work,
      rate: flood.tokensPerSecond * part,
      from: flood.from,
      to: flood.to,
      entry: 0,
    });
  });
}

function stream(random: Random, options: {
  plan: WorkloadPlan;
  organisation: string;
  work: WorkClass;
  /** Tokens per second. */
  rate: number;
  from: number;
  to: number;
  entry?: number;
}): readonly SimulatedRequest[] {
  const { plan, organisation, work, from, to } = options;
  const meanTokens = work.medianTokens * Math.exp(work.sigma ** 2 / 2);
  const meanGapMs = meanTokens * work.group / options.rate * 1000;
  const requests: SimulatedRequest[] = [];
  let count = 0;
  for (
    let at = from + random.exponential(meanGapMs);
    at < to;
    at += random.exponential(meanGapMs)
  ) {
    count += 1;
    const prompt = drawPrompt(random, { organisation, work, count });
    const entry = options.entry ?? Math.floor(random.next() * plan.entries);
    for (let sample = 0; sample < work.group; sample++) {
      const drawn = Math.round(random.lognormal(work.medianTokens, work.sigma));
      requests.push({
        ...prompt,
        id: `${organisation}/${work.priority}/${from}/${count}/${sample}`,
        at,
        entry,
        organisation,
        priority: work.priority,
        outputTokens: Math.max(1, Math.min(work.maxTokens, drawn)),
        maxTokens: work.maxTokens,
        deadlineMs: work.deadlineMs,
      });
    }
  }
  return requests;
}

/** Draws a prompt: blocks of a shared template, then unique blocks. */
function drawPrompt(random: Random, options: {
  organisation: string;
  work: WorkClass;
  count: number;
}): Pick<SimulatedRequest, "promptTokens" | "prefixes" | "fingerprint"> {
  const { organisation, work, count } = options;
  // Squaring makes the first templates much more frequent than the others.
  const template = Math.floor(TEMPLATES_PER_CLASS * random.next() ** 2);
  const shared = 6;
  const own = 2 + Math.floor(random.next() * 4);
  const name = `${organisation}.${work.priority}`;
  const prefixes = Array.from(
    { length: shared + own },
    (_, block) =>
      block < shared
        ? `${name}.${template}.${block}`
        : `${name}.${template}.${count}.${block}`,
  );
  return {
    prefixes,
    promptTokens: prefixes.length * BLOCK_TOKENS,
    fingerprint: `${name}.${count}`,
  };
}
