/**
 * What a run measured, as written to its result file.
 *
 * @module
 */

import { build, type Histogram } from "hdr-histogram-js";

/** Length of a window of goodput. */
export const WINDOW_MS = 10_000;

/** A distribution of times, in milliseconds. */
export interface Times {
  readonly count: number;
  readonly mean: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly max: number;
}

/** How often requests were refused or lost for one reason. */
export interface RefusalCount {
  readonly reason: string;
  readonly verdict: string;
  readonly count: number;
}

/** What one caller got. */
export interface CallerReport {
  readonly name: string;
  readonly tenant: string;
  readonly sent: number;
  readonly answered: number;
  /** Until the first token; streamed answers only. */
  readonly firstToken: Times;
  readonly wholeAnswer: Times;
  readonly refusal: Times;
  readonly refusals: readonly RefusalCount[];
}

/** Whole answers' output of a tenant in one window. */
export interface Goodput {
  readonly answers: number;
  readonly tokens: number;
}

/** What a tenant got, window by window. */
export interface TenantReport {
  readonly tenant: string;
  readonly windows: readonly Goodput[];
}

/** A step that a trainer ran. */
export interface StepReport {
  readonly totalMs: number;
  /** Time in which the trainer had no sample to work on. */
  readonly idleMs: number;
  readonly samples: number;
  readonly tokens: number;
  /** Whether all of its samples came before the run ended. */
  readonly whole: boolean;
}

/** What one trainer got. */
export interface TrainerReport {
  readonly name: string;
  readonly steps: readonly StepReport[];
  /** Samples by how many versions old they were on arrival. */
  readonly staleness: Readonly<Record<string, number>>;
  readonly retries: Readonly<Record<string, number>>;
}

/** A run's result file. */
export interface BenchReport {
  readonly seed: number;
  readonly seconds: number;
  readonly windowMs: number;
  readonly callers: readonly CallerReport[];
  readonly tenants: readonly TenantReport[];
  readonly trainers: readonly TrainerReport[];
  /** How late the bench itself sent its requests. */
  readonly sendLag: Times;
  /** What the entries' counters rose by, summed over entries. */
  readonly counters: Readonly<Record<string, number>>;
}

/** A histogram of times. */
export class Timing {
  readonly #histogram: Histogram = build({
    highestTrackableValue: 3_600_000_000,
    numberOfSignificantValueDigits: 3,
  });

  /** Records a time in milliseconds. */
  add(ms: number): void {
    this.#histogram.recordValue(Math.max(0, Math.round(ms * 1000)));
  }

  /** The distribution so far. */
  get times(): Times {
    const at = (percentile: number) =>
      inMs(this.#histogram.getValueAtPercentile(percentile));
    const { totalCount, mean, maxValue } = this.#histogram;
    return {
      count: totalCount,
      mean: totalCount === 0 ? 0 : inMs(mean),
      p50: at(50),
      p90: at(90),
      p99: at(99),
      max: inMs(maxValue),
    };
  }
}

function inMs(us: number): number {
  return Math.round(us / 10) / 100;
}

/** Collects what one caller gets. */
export class CallerTally {
  readonly #name: string;
  readonly #tenant: string;
  readonly #firstToken = new Timing();
  readonly #wholeAnswer = new Timing();
  readonly #refusal = new Timing();
  readonly #refusals = new Map<string, RefusalCount>();
  readonly #windows: Goodput[];
  #sent = 0;
  #answered = 0;

  constructor(options: { name: string; tenant: string; seconds: number }) {
    this.#name = options.name;
    this.#tenant = options.tenant;
    const windows = Math.ceil(options.seconds * 1000 / WINDOW_MS);
    this.#windows = Array.from(
      { length: windows },
      () => ({ answers: 0, tokens: 0 }),
    );
  }

  /** A request was sent. */
  sent(): void {
    this.#sent++;
  }

  /** A streamed answer's first token came. */
  began(ms: number): void {
    this.#firstToken.add(ms);
  }

  /** A whole answer came, `endMs` after the start of the run. */
  answered(ms: number, end: { endMs: number; tokens: number }): void {
    this.#answered++;
    this.#wholeAnswer.add(ms);
    const at = Math.floor(end.endMs / WINDOW_MS);
    const window = this.#windows[at];
    if (window === undefined) return;
    this.#windows[at] = {
      answers: window.answers + 1,
      tokens: window.tokens + end.tokens,
    };
  }

  /** A request was refused, cut or lost. */
  refused(ms: number, why: { reason: string; verdict: string }): void {
    this.#refusal.add(ms);
    const { reason, verdict } = why;
    const name = `${reason} ${verdict}`;
    const count = (this.#refusals.get(name)?.count ?? 0) + 1;
    this.#refusals.set(name, { reason, verdict, count });
  }

  /** The caller's part of the result. */
  get report(): CallerReport {
    return {
      name: this.#name,
      tenant: this.#tenant,
      sent: this.#sent,
      answered: this.#answered,
      firstToken: this.#firstToken.times,
      wholeAnswer: this.#wholeAnswer.times,
      refusal: this.#refusal.times,
      refusals: [...this.#refusals.values()],
    };
  }

  /** The caller's goodput. */
  get goodput(): TenantReport {
    return { tenant: this.#tenant, windows: this.#windows };
  }
}

/** Goodput summed by tenant. */
export function byTenant(
  goodputs: readonly TenantReport[],
): readonly TenantReport[] {
  const tenants = [...new Set(goodputs.map(({ tenant }) => tenant))];
  return tenants.map((tenant) => {
    const own = goodputs.filter((goodput) => goodput.tenant === tenant);
    const windows = own[0].windows.map((_, at) => ({
      answers: sum(own.map(({ windows }) => windows[at].answers)),
      tokens: sum(own.map(({ windows }) => windows[at].tokens)),
    }));
    return { tenant, windows };
  });
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
