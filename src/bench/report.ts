/**
 * The report of a bench run, as written to its result file.
 *
 * @module
 */

import { build, type Histogram } from "hdr-histogram-js";

/** Length of the windows in which goodput is counted. */
export const GOODPUT_WINDOW_MS = 10_000;

/** A distribution of times, in milliseconds. */
export interface TimeDistribution {
  readonly count: number;
  readonly mean: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly max: number;
}

/** Number of requests that were refused or lost for one reason. */
export interface RefusalCount {
  readonly reason: string;
  readonly verdict: string;
  readonly count: number;
}

/** Results of one caller. */
export interface CallerReport {
  readonly name: string;
  readonly tenant: string;
  readonly sent: number;
  readonly answered: number;
  /** Time to first token; streamed answers only. */
  readonly firstToken: TimeDistribution;
  readonly wholeAnswer: TimeDistribution;
  readonly refusal: TimeDistribution;
  readonly refusals: readonly RefusalCount[];
}

/** Complete answers of an organisation in one window. */
export interface WindowGoodput {
  readonly answers: number;
  readonly tokens: number;
}

/** Goodput of an organisation by window. */
export interface OrganisationReport {
  readonly tenant: string;
  readonly windows: readonly WindowGoodput[];
}

/** A step run by a trainer. */
export interface StepReport {
  readonly totalMs: number;
  /** Time during which the trainer had no sample to train on. */
  readonly idleMs: number;
  readonly samples: number;
  readonly tokens: number;
  /** Whether all of its samples arrived before the run ended. */
  readonly whole: boolean;
}

/** Results of one trainer. */
export interface TrainerReport {
  readonly name: string;
  readonly steps: readonly StepReport[];
  /** Samples by their age on arrival, in weight versions. */
  readonly staleness: Readonly<Record<string, number>>;
  readonly retries: Readonly<Record<string, number>>;
}

/** Content of the result file of a run. */
export interface BenchReport {
  readonly seed: number;
  readonly seconds: number;
  readonly windowMs: number;
  readonly callers: readonly CallerReport[];
  readonly tenants: readonly OrganisationReport[];
  readonly trainers: readonly TrainerReport[];
  /** Delay of the bench's own sends against the schedule. */
  readonly sendLag: TimeDistribution;
  /** Increase of each counter during the run, summed over entries. */
  readonly counters: Readonly<Record<string, number>>;
}

/** A histogram of times. */
export class TimeHistogram {
  readonly #histogram: Histogram = build({
    highestTrackableValue: 3_600_000_000,
    numberOfSignificantValueDigits: 3,
  });

  /** Records a time in milliseconds. */
  add(ms: number): void {
    this.#histogram.recordValue(Math.max(0, Math.round(ms * 1000)));
  }

  /** Distribution of the times recorded so far. */
  get distribution(): TimeDistribution {
    const at = (percentile: number) =>
      microsToMs(this.#histogram.getValueAtPercentile(percentile));
    const { totalCount, mean, maxValue } = this.#histogram;
    return {
      count: totalCount,
      mean: totalCount === 0 ? 0 : microsToMs(mean),
      p50: at(50),
      p90: at(90),
      p99: at(99),
      max: microsToMs(maxValue),
    };
  }
}

function microsToMs(micros: number): number {
  return Math.round(micros / 10) / 100;
}

/** Collects the results of one caller. */
export class CallerTally {
  readonly #name: string;
  readonly #organisation: string;
  readonly #firstToken = new TimeHistogram();
  readonly #wholeAnswer = new TimeHistogram();
  readonly #refusal = new TimeHistogram();
  readonly #refusals = new Map<string, RefusalCount>();
  readonly #windows: WindowGoodput[];
  #sent = 0;
  #answered = 0;

  constructor(
    options: { name: string; organisation: string; seconds: number },
  ) {
    this.#name = options.name;
    this.#organisation = options.organisation;
    const windows = Math.ceil(options.seconds * 1000 / GOODPUT_WINDOW_MS);
    this.#windows = Array.from(
      { length: windows },
      () => ({ answers: 0, tokens: 0 }),
    );
  }

  /** Counts a sent request. */
  sent(): void {
    this.#sent++;
  }

  /** Records the time to the first token of a streamed answer. */
  receivedFirstToken(ms: number): void {
    this.#firstToken.add(ms);
  }

  /** Records a complete answer; `endMs` counts from the start of the run. */
  answered(ms: number, end: { endMs: number; tokens: number }): void {
    this.#answered++;
    this.#wholeAnswer.add(ms);
    const at = Math.floor(end.endMs / GOODPUT_WINDOW_MS);
    const window = this.#windows[at];
    if (window === undefined) return;
    this.#windows[at] = {
      answers: window.answers + 1,
      tokens: window.tokens + end.tokens,
    };
  }

  /** Records a request that was refused, truncated or lost. */
  refused(ms: number, refusal: { reason: string; verdict: string }): void {
    this.#refusal.add(ms);
    const { reason, verdict } = refusal;
    const name = `${reason} ${verdict}`;
    const count = (this.#refusals.get(name)?.count ?? 0) + 1;
    this.#refusals.set(name, { reason, verdict, count });
  }

  /** Results of the caller so far. */
  get report(): CallerReport {
    return {
      name: this.#name,
      tenant: this.#organisation,
      sent: this.#sent,
      answered: this.#answered,
      firstToken: this.#firstToken.distribution,
      wholeAnswer: this.#wholeAnswer.distribution,
      refusal: this.#refusal.distribution,
      refusals: [...this.#refusals.values()],
    };
  }

  /** Goodput of the caller so far, by window. */
  get goodput(): OrganisationReport {
    return { tenant: this.#organisation, windows: this.#windows };
  }
}

/** Sums goodput by organisation. */
export function goodputByOrganisation(
  goodputs: readonly OrganisationReport[],
): readonly OrganisationReport[] {
  const organisations = [...new Set(goodputs.map(({ tenant }) => tenant))];
  return organisations.map((tenant) => {
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
