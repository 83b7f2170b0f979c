/**
 * Expected work of requests, in milliseconds at nominal speed, learned from the
 * time that they held their slots. Requests that look alike differ widely, so
 * each kind has a distribution, which also tells what is left of a request that
 * has run for longer than expected.
 *
 * @module
 */

import type { Demand } from "./mod.ts";

/** Work of a request whose kind has not been measured, if nothing has. */
const DEFAULT_WORK_MS = 50;

/** Requests of a kind before its own distribution is used. */
const MIN_MEASURED = 5;

/** Most kinds that are tracked; the least recently measured goes first. */
const MAX_KINDS = 512;

/** Lower bound of the first bucket, in milliseconds for each unit. */
const LEAST_MS = 0.01;

/** Buckets are a fifth wide, which is far less than requests differ. */
const BUCKETS_PER_DOUBLING = 4;

/** Covers up to 2^32 times `LEAST_MS`, which is half a day. */
const BUCKET_COUNT = 128;

/**
 * Weight at which all counts are halved, so that a kind whose work changes is
 * known again after some hundred requests.
 */
const MAX_WEIGHT = 1024;

/** Share of the requests that must have run longer to tell what is left. */
const MIN_TAIL_SHARE = 0.002;

/** What is left of a request that outlived nearly all, as a share of its run. */
const OUTLIER_RESIDUAL_SHARE = 0.5;

/** A distribution of work with bounded memory, which forgets. */
export class WorkDistribution {
  readonly #counts = new Float64Array(BUCKET_COUNT);
  readonly #sums = new Float64Array(BUCKET_COUNT);
  /** Counts and sums of a bucket and all above it. */
  readonly #tailCounts = new Float64Array(BUCKET_COUNT + 1);
  readonly #tailSums = new Float64Array(BUCKET_COUNT + 1);
  #weight = 0;
  #stale = false;

  /** Requests recorded, older ones counted in part. */
  get weight(): number {
    return this.#weight;
  }

  /** Mean work; 0 if nothing was recorded. */
  get mean(): number {
    this.#update();
    return this.#weight === 0 ? 0 : this.#tailSums[0] / this.#weight;
  }

  record(work: number): void {
    if (!Number.isFinite(work) || work < 0) return;
    const bucket = bucketOf(work);
    this.#counts[bucket] += 1;
    this.#sums[bucket] += work;
    this.#weight += 1;
    this.#stale = true;
    if (this.#weight < MAX_WEIGHT) return;
    for (let index = 0; index < BUCKET_COUNT; index++) {
      this.#counts[index] /= 2;
      this.#sums[index] /= 2;
    }
    this.#weight /= 2;
  }

  /** Expected work that is left after `done` of it; grows past the longest. */
  residual(done: number): number {
    this.#update();
    if (done <= 0) return this.mean;
    const bucket = bucketOf(done);
    const upper = upperBound(bucket);
    const lower = bucket === 0 ? 0 : upperBound(bucket - 1);
    const share = Math.min(1, Math.max(0, (upper - done) / (upper - lower)));
    const own = this.#counts[bucket] * share;
    const count = this.#tailCounts[bucket + 1] + own;
    if (count <= this.#weight * MIN_TAIL_SHARE) {
      return done * OUTLIER_RESIDUAL_SHARE;
    }
    const sum = this.#tailSums[bucket + 1] + own * (done + upper) / 2;
    return Math.max(0, sum / count - done);
  }

  #update(): void {
    if (!this.#stale) return;
    this.#stale = false;
    for (let index = BUCKET_COUNT - 1; index >= 0; index--) {
      this.#tailCounts[index] = this.#tailCounts[index + 1] +
        this.#counts[index];
      this.#tailSums[index] = this.#tailSums[index + 1] + this.#sums[index];
    }
  }
}

/** The work of one request. */
export interface RequestCost {
  /** Expected work before it has started. */
  readonly expectedMs: number;
  /** Expected work that is left after some of it was done. */
  residualMs(doneMs: number): number;
}

/** Expected work by kind: the route, the model, and the expected tokens. */
export class RequestCosts {
  readonly #kinds = new Map<string, WorkDistribution>();
  readonly #all = new WorkDistribution();

  /** Mean work of all requests. */
  get meanMs(): number {
    return this.#all.weight === 0 ? DEFAULT_WORK_MS : this.#all.mean;
  }

  /** The work of a request; what is measured later is taken into account. */
  costOf(demand: Demand): RequestCost {
    const units = unitsOf(demand);
    const distribution = () => {
      const known = this.#kinds.get(kindOf(demand));
      return known !== undefined && known.weight >= MIN_MEASURED
        ? known
        : undefined;
    };
    let measured = distribution();
    const all = this.#all;
    const meanMs = () => this.meanMs;
    return {
      get expectedMs() {
        measured ??= distribution();
        return measured === undefined ? meanMs() : measured.mean * units;
      },
      residualMs(doneMs) {
        measured ??= distribution();
        if (measured !== undefined) {
          return measured.residual(doneMs / units) * units;
        }
        return all.weight === 0 ? meanMs() : all.residual(doneMs);
      },
    };
  }

  /** Records the work of a request that was served. */
  record(demand: Demand, workMs: number): void {
    const kind = kindOf(demand);
    const known = this.#kinds.get(kind) ?? new WorkDistribution();
    known.record(workMs / unitsOf(demand));
    this.#kinds.delete(kind);
    this.#kinds.set(kind, known);
    if (this.#kinds.size > MAX_KINDS) {
      const [oldest] = this.#kinds.keys();
      this.#kinds.delete(oldest);
    }
    this.#all.record(workMs);
  }
}

/** Plain requests count as one token, items as the tokens that they expect. */
function unitsOf({ tokens }: Demand): number {
  return Number.isFinite(tokens) ? Math.max(1, tokens) : 1;
}

function kindOf({ route, model }: Demand): string {
  return model === undefined ? route : `${route} ${model}`;
}

function bucketOf(work: number): number {
  if (work <= LEAST_MS) return 0;
  const bucket = Math.floor(Math.log2(work / LEAST_MS) * BUCKETS_PER_DOUBLING);
  return Math.min(BUCKET_COUNT - 1, bucket);
}

const UPPER_BOUNDS = Array.from(
  { length: BUCKET_COUNT },
  (_, bucket) => LEAST_MS * 2 ** ((bucket + 1) / BUCKETS_PER_DOUBLING),
);

function upperBound(bucket: number): number {
  return UPPER_BOUNDS[bucket];
}
