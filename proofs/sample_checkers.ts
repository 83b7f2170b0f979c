/**
 * Checkers of the guarantees for trainers.
 *
 * @module
 */

import {
  type EndedFields,
  type EventHistory,
  type EventOf,
  eventsOf,
  groupBy,
  Guarantee,
  type PulledFields,
  type PulledSample,
  type ReceivedFields,
  type Violation,
} from "./events.ts";

/** Characters per token of the engine stand-in. */
const TOKEN_CHARS = 5;

/** Each sample's labels name the weight version of every token. */
export function versionLabels(history: EventHistory): readonly Violation[] {
  const runs = engineRuns(history);
  return pulledSamples(history).flatMap(({ pull, sample }) => {
    if (sample.quarantined && sample.versions.length === 0) return [];
    const sampleRuns = runs
      .filter((run) => run.received.prompt.includes(promptMarker(pull, sample)))
      .filter((run) => sampleIdOfRun(run.received) === sampleId(pull, sample));
    const matched = matchesRunChain(sampleRuns, labelsOf(sample));
    if (matched) return [];
    return [{
      guarantee: Guarantee.VersionLabels,
      message: `Sample ${sampleId(pull, sample)} is labelled ` +
        `${JSON.stringify(sample.versions)}`,
      events: [pull, ...sampleRuns.flatMap((run) => [run.received, run.ended])],
    }];
  });
}

/** No sample exceeds its step's staleness bound when it is handed over. */
export function staleness(history: EventHistory): readonly Violation[] {
  const bounds = new Map(
    eventsOf(history, "submitted").map((event) =>
      [event.step, event.stalenessBound] as const
    ),
  );
  return pulledSamples(history).flatMap(({ pull, sample }) => {
    const oldest = Math.min(...sample.versions.map((span) => span.version));
    const bound = bounds.get(pull.step) ?? 0;
    if (oldest >= pull.version - bound) return [];
    return [{
      guarantee: Guarantee.Staleness,
      message: `Sample ${sampleId(pull, sample)} of version ${oldest} was ` +
        `handed over at version ${pull.version} with bound ${bound}`,
      events: [pull],
    }];
  });
}

/** Each sample is delivered to its trainer once and complete. */
export function exactlyOnce(history: EventHistory): readonly Violation[] {
  const submitted = eventsOf(history, "submitted");
  const steps = new Map(submitted.map((event) => [event.step, event]));
  return [...steps.values()].flatMap((step) => {
    const pulls = eventsOf(history, "pulled")
      .filter((pull) => pull.step === step.step);
    const delivered = pulls.flatMap((pull) =>
      pull.samples.map((sample) => ({ pull, sample }))
    );
    const bySampleId = groupBy(
      delivered,
      ({ pull, sample }) => sampleId(pull, sample),
    );
    const duplicates = [...bySampleId].filter(([, list]) => list.length > 1)
      .map(([id, list]) =>
        violation(`Sample ${id} was delivered ${list.length} times`, [
          step,
          ...list.map(({ pull }) => pull),
        ])
      );
    const done = pulls.some((pull) => pull.done);
    const total = step.groups.reduce((sum, count) => sum + count, 0);
    const missing = done && bySampleId.size !== total
      ? [violation(
        `Step ${step.step} ended with ${bySampleId.size} of ${total} samples`,
        [step, ...pulls],
      )]
      : [];
    const wrong = delivered
      .filter(({ sample }) =>
        sample.text !== (sample.quarantined ? "" : sample.expected)
      )
      .map(({ pull, sample }) =>
        violation(`Sample ${sampleId(pull, sample)} has a wrong text`, [pull])
      );
    return [...duplicates, ...missing, ...wrong];
  });
}

interface EngineRun {
  readonly received: EventOf<"received">;
  readonly ended: EventOf<"finished">;
}

const END_KINDS = new Set([
  "finished",
  "cancelled",
  "broken",
  "truncated",
  "crashed",
]);

/** Pairs each received generation with its next end at the same engine. */
function engineRuns(history: EventHistory): readonly EngineRun[] {
  const ends = history.filter((event) => END_KINDS.has(event.kind))
    .map((event) => event as EventOf<"finished">);
  const used = new Set<EventOf<"finished">>();
  return eventsOf(history, "received").flatMap((received) => {
    const ended = ends.find((end) =>
      !used.has(end) && end.at === received.at && end.id === received.id &&
      end.t >= received.t
    );
    if (ended === undefined) return [];
    used.add(ended);
    return [{ received, ended }];
  });
}

/**
 * Whether a sample's labels match a chain of runs: the first run begins at the
 * first token, and each next run resumes where the stream of an earlier run
 * ended.
 */
function matchesRunChain(
  runs: readonly EngineRun[],
  labels: readonly number[],
): boolean {
  const outputs = runs.map(({ received, ended }) => ({
    from: Math.floor(received.resumed / TOKEN_CHARS),
    generated: runLabels(ended),
  }));
  const fits = (output: typeof outputs[0], to: number) =>
    to >= output.from && to <= output.from + output.generated.length &&
    sameLabels(
      labels.slice(output.from, to),
      output.generated.slice(0, to - output.from),
    );
  const reached: boolean[] = [];
  outputs.forEach((output, i) => {
    reached[i] = output.from === 0 ||
      outputs.slice(0, i).some((earlier, j) =>
        reached[j] && fits(earlier, output.from)
      );
  });
  return outputs.some((output, i) => reached[i] && fits(output, labels.length));
}

function runLabels(ended: EndedFields): readonly number[] {
  return ended.versions.flatMap(({ version, tokens }) =>
    new Array<number>(tokens).fill(version)
  );
}

function labelsOf(sample: PulledSample): readonly number[] {
  return sample.versions.flatMap(({ version, from, to }) =>
    new Array<number>(to - from).fill(version)
  );
}

function sameLabels(a: readonly number[], b: readonly number[]): boolean {
  return a.length === b.length && a.every((label, i) => label === b[i]);
}

function pulledSamples(
  history: EventHistory,
): readonly { pull: EventOf<"pulled">; sample: PulledSample }[] {
  return eventsOf(history, "pulled").flatMap((pull) =>
    pull.samples.map((sample) => ({ pull, sample }))
  );
}

/** Part of the prompts of a sample's group. */
function promptMarker(pull: PulledFields, sample: PulledSample): string {
  return `[${pull.step}/${sample.group}+`;
}

function sampleId(pull: PulledFields, sample: PulledSample): string {
  return `${pull.step}/${sample.group}/${sample.index}`;
}

/** The sample's id, from the generation's prompt and id. */
function sampleIdOfRun(received: ReceivedFields): string {
  const group = /\[([^\]/]+)\/(\d+)\+(\d+)\]/.exec(received.prompt);
  const number = /\/(\d+)\/[^/]+$/.exec(received.id);
  if (group === null || number === null) return "";
  const index = Number(number[1]) - Number(group[3]);
  return `${group[1]}/${group[2]}/${index}`;
}

function violation(message: string, events: EventHistory): Violation {
  return { guarantee: Guarantee.ExactlyOnce, message, events };
}
