/**
 * Runs one scenario from a seed and checks its history:
 * `node dist/proofs/run.js --seed N [--faults N] [--pairs] [--seconds N]
 * [--only FAULT] [--out FILE]`. Exits with 1 on any violation.
 *
 * @module
 */

import { writeFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { type EventHistory, eventsOf } from "./events.ts";
import { runScenario } from "./scenario.ts";
import { drawSchedule, type ScenarioFault } from "./schedule.ts";
import { compareBilling, verify } from "./verify.ts";

const MAX_EVENTS_SHOWN = 6;

async function main(): Promise<void> {
  const { values } = parseArgs({
    options: {
      seed: { type: "string", default: "1" },
      faults: { type: "string", default: "4" },
      seconds: { type: "string", default: "12" },
      pairs: { type: "boolean", default: false },
      only: { type: "string", default: "" },
      out: { type: "string", default: "" },
    },
  });
  const seed = Number(values.seed);
  const runMs = Number(values.seconds) * 1_000;
  const scheduledFaults = drawSchedule({
    seed,
    count: Number(values.faults),
    runMs,
    pairs: values.pairs,
    ...values.only !== "" &&
      { faults: values.only.split(",") as ScenarioFault[] },
  });
  const outcome = await runScenario({ seed, runMs, scheduledFaults });
  const violations = verify(outcome);
  if (values.out !== "") {
    const lines = outcome.history.map((event) => JSON.stringify(event));
    writeFileSync(values.out, lines.join("\n"));
  }
  const summary = {
    seed,
    faults: scheduledFaults.map(({ fault, atMs, durationMs }) =>
      `${fault} at ${atMs} for ${durationMs} ms`
    ),
    steps: outcome.steps,
    counts: countsOf(outcome.history),
    refusals: reasonsOf(outcome.history),
    billing: compareBilling(outcome.history),
    violations: violations.map(({ guarantee, message }) =>
      `${guarantee}: ${message}`
    ),
  };
  console.log(JSON.stringify(summary));
  for (const { message, events } of violations.slice(0, 3)) {
    console.error(message);
    for (const event of events.slice(0, MAX_EVENTS_SHOWN)) {
      console.error("  ", JSON.stringify(event).slice(0, 600));
    }
  }
  process.exitCode = violations.length > 0 ? 1 : 0;
}

function countsOf(history: EventHistory): Record<string, number> {
  const kinds = [
    "asked",
    "answered",
    "refused",
    "lost",
    "cut",
    "accepted",
    "received",
    "down",
    "reported",
  ];
  return Object.fromEntries(kinds.map((kind) => [
    kind,
    history.filter((event) => event.kind === kind).length,
  ]));
}

function reasonsOf(history: EventHistory): Record<string, number> {
  const reasons: Record<string, number> = {};
  for (const { reason, verdict } of eventsOf(history, "refused")) {
    const name = `${reason}, ${verdict}`;
    reasons[name] = (reasons[name] ?? 0) + 1;
  }
  return reasons;
}

void main();
