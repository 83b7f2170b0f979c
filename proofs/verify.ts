/**
 * All checkers over the outcome of a run.
 *
 * @module
 */

import {
  groupBy,
  type History,
  Promised,
  select,
  type Violation,
} from "./events.ts";
import {
  billedTokens,
  configuration,
  leavingUpstream,
  oneOrderer,
  oneReport,
  quarantine,
} from "./platform.ts";
import {
  atMostOnce,
  keySecrecy,
  notRun,
  ownKey,
  wholeAnswer,
  withdrawal,
} from "./requests.ts";
import { exactlyOnce, staleness, versionLabels } from "./samples.ts";
import { type Outcome, POISON } from "./scenario.ts";

/** Longest time from a withdrawal to the key's last admission. */
const WITHDRAWAL_MS = 3_000;
/** Longest time from an edit to its being in force everywhere. */
const IN_FORCE_MS = 6_000;
/** Longest time from leaving, as the lagging list tells it, to new work. */
const LEAVING_MS = 3_300;
/** Most upstreams that one request may take down. */
const QUARANTINE_BOUND = 2;

/** What a run breaks. */
export function verify(outcome: Outcome): readonly Violation[] {
  const { history, secrets } = outcome;
  return [
    ...versionLabels(history),
    ...staleness(history),
    ...exactlyOnce(history),
    ...ownKey(history),
    ...keySecrecy(history, secrets),
    ...wordsKeepSecrets(outcome),
    ...withdrawal(history, WITHDRAWAL_MS),
    ...oneOrderer(history),
    ...oneReport(history),
    ...wholeAnswer(history),
    ...notRun(history),
    ...atMostOnce(history),
    ...leavingUpstream(history, LEAVING_MS),
    ...configuration(history, {
      boundMs: IN_FORCE_MS,
      daemons: undisturbed(history),
    }),
    ...quarantine(history, { marker: POISON, bound: QUARANTINE_BOUND }),
    ...stepsEnd(outcome),
  ];
}

/** What callers and trainers got against what was billed, by tenant. */
export function billing(
  history: History,
): readonly { tenant: string; got: number; billed: number }[] {
  const tenantOf = new Map(
    select(history, "asked").map(({ id, tenant }) => [id, tenant] as const),
  );
  const got = new Map<string, number>([["trainer", trainedTokens(history)]]);
  for (const { id, outputTokens, replayed } of select(history, "answered")) {
    const tenant = tenantOf.get(id) ?? "";
    if (!replayed) got.set(tenant, (got.get(tenant) ?? 0) + outputTokens);
  }
  return [...got].map(([tenant, tokens]) => ({
    tenant,
    got: tokens,
    billed: billedTokens(history, tenant),
  }));
}

function trainedTokens(history: History): number {
  return select(history, "pulled").flatMap(({ samples }) => samples)
    .reduce((sum, { tokens }) => sum + tokens, 0);
}

/** Daemons that no fault of the run kept from following an edit. */
function undisturbed(history: History): readonly string[] {
  const faults = select(history, "fault").map(({ fault }) => fault);
  const outage = faults.some((fault) =>
    /platform|kill entry|pause entry|restart entry/.test(fault)
  );
  if (outage) return [];
  const seen = groupBy(select(history, "in force"), ({ daemon }) => daemon);
  return [...seen.keys()];
}

function wordsKeepSecrets(outcome: Outcome): readonly Violation[] {
  const told = outcome.secrets.filter((secret) =>
    outcome.words.includes(secret)
  );
  return told.map((secret) => ({
    promise: Promised.KeySecrecy,
    message: `Logs, metrics, status or platform hold "${secret}"`,
    events: [],
  }));
}

function stepsEnd(outcome: Outcome): readonly Violation[] {
  return outcome.stuck.map((name) => ({
    promise: Promised.ExactlyOnce,
    message: `The last step of "${name}" did not end`,
    events: [],
  }));
}
