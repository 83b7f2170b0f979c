/**
 * Applies all checkers to the outcome of a run.
 *
 * @module
 */

import {
  type EventHistory,
  eventsOf,
  groupBy,
  Guarantee,
  type Violation,
} from "./events.ts";
import {
  billedTokens,
  configuration,
  leavingUpstream,
  oneOrderer,
  oneReport,
  quarantine,
} from "./platform_checkers.ts";
import {
  atMostOnce,
  keySecrecy,
  notRun,
  ownKey,
  wholeAnswer,
  withdrawal,
} from "./request_checkers.ts";
import { exactlyOnce, staleness, versionLabels } from "./sample_checkers.ts";
import { POISON, type ScenarioOutcome } from "./scenario.ts";

/** Longest time from a key's withdrawal to its last admission. */
const WITHDRAWAL_BOUND_MS = 3_000;
/** Longest time until an edit is in force on all daemons. */
const IN_FORCE_BOUND_MS = 6_000;
/** Longest time from leaving to the last new work, including the list's lag. */
const LEAVING_BOUND_MS = 3_300;
/** Maximum number of upstreams that one request may crash. */
const MAX_CRASHED_UPSTREAMS = 2;

/** All violations in a run. */
export function verify(outcome: ScenarioOutcome): readonly Violation[] {
  const { history, secrets } = outcome;
  return [
    ...versionLabels(history),
    ...staleness(history),
    ...exactlyOnce(history),
    ...ownKey(history),
    ...keySecrecy(history, secrets),
    ...diagnosticsWithoutSecrets(outcome),
    ...withdrawal(history, WITHDRAWAL_BOUND_MS),
    ...oneOrderer(history),
    ...oneReport(history),
    ...wholeAnswer(history),
    ...notRun(history),
    ...atMostOnce(history),
    ...leavingUpstream(history, LEAVING_BOUND_MS),
    ...configuration(history, {
      boundMs: IN_FORCE_BOUND_MS,
      daemons: undisturbedDaemons(history),
    }),
    ...quarantine(history, { marker: POISON, bound: MAX_CRASHED_UPSTREAMS }),
    ...unfinishedFinalSteps(outcome),
  ];
}

/** Tokens received by callers and trainers, and billed, by organisation. */
export function compareBilling(
  history: EventHistory,
): readonly { tenant: string; got: number; billed: number }[] {
  const organisationOf = new Map(
    eventsOf(history, "asked").map(({ id, tenant }) => [id, tenant] as const),
  );
  const got = new Map<string, number>([["trainer", trainedTokens(history)]]);
  for (const { id, outputTokens, replayed } of eventsOf(history, "answered")) {
    const tenant = organisationOf.get(id) ?? "";
    if (!replayed) got.set(tenant, (got.get(tenant) ?? 0) + outputTokens);
  }
  return [...got].map(([tenant, tokens]) => ({
    tenant,
    got: tokens,
    billed: billedTokens(history, tenant),
  }));
}

function trainedTokens(history: EventHistory): number {
  return eventsOf(history, "pulled").flatMap(({ samples }) => samples)
    .reduce((sum, { tokens }) => sum + tokens, 0);
}

/** The daemons, if no fault of the run can delay a configuration change. */
function undisturbedDaemons(history: EventHistory): readonly string[] {
  const faults = eventsOf(history, "fault").map(({ fault }) => fault);
  const outage = faults.some((fault) =>
    /platform|kill entry|pause entry|restart entry/.test(fault)
  );
  if (outage) return [];
  const seen = groupBy(eventsOf(history, "in force"), ({ daemon }) => daemon);
  return [...seen.keys()];
}

function diagnosticsWithoutSecrets(
  outcome: ScenarioOutcome,
): readonly Violation[] {
  const leaked = outcome.secrets.filter((secret) =>
    outcome.diagnostics.includes(secret)
  );
  return leaked.map((secret) => ({
    guarantee: Guarantee.KeySecrecy,
    message: `Logs, metrics, status or platform contain "${secret}"`,
    events: [],
  }));
}

function unfinishedFinalSteps(outcome: ScenarioOutcome): readonly Violation[] {
  return outcome.unfinishedTrainers.map((name) => ({
    guarantee: Guarantee.ExactlyOnce,
    message: `The last step of "${name}" did not end`,
    events: [],
  }));
}
