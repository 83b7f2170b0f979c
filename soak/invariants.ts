/**
 * Checks the invariants of a soak run from what callers received and what
 * upstreams recorded. The daemons' own status is not used as evidence.
 *
 * @module
 */

import type {
  PlatformProtocolStandIn,
  PlatformUpstreamStandIn,
} from "../stand_ins/platform_protocol.ts";
import { API_KEY } from "../platform/fixture_test.ts";
import type {
  AttemptResult,
  ObservedResult,
  SubmittedBatch,
} from "./soak_workload.ts";

/** Everything that was recorded in a run. */
export interface RunRecord {
  readonly attempts: readonly AttemptResult[];
  readonly observedResults: readonly ObservedResult[];
  readonly batches: readonly SubmittedBatch[];
  readonly missing: readonly string[];
  readonly upstreams: readonly PlatformUpstreamStandIn[];
  readonly platform: PlatformProtocolStandIn;
  readonly crashes: readonly string[];
}

/** All violations, as sentences. */
export function findViolations(record: RunRecord): readonly string[] {
  return [
    ...answers(record),
    ...singleExecution(record),
    ...refusals(record),
    ...keysAndOrganisations(record),
    ...stablePositions(record),
    ...completedTexts(record),
    ...refusedBatches(record),
    ...leaseHolders(record),
    ...record.missing.map((one) => `An accepted batch is missing: ${one}`),
    ...record.crashes.map((one) => `A daemon ended unexpectedly: ${one}`),
  ];
}

/** A 200 response is the upstream's complete answer to this very request. */
function answers({ attempts }: RunRecord): readonly string[] {
  return attempts
    .filter(({ status }) => status === 200)
    .filter(({ id, path, body, seal }) =>
      body !== `answer to ${path}` || seal !== `seal-${id}`
    )
    .map(({ id }) => `A caller got a wrong answer: ${id}`);
}

/** A request that may not be repeated runs at most once. */
function singleExecution({ upstreams }: RunRecord): readonly string[] {
  const counts = new Map<string, number>();
  for (const { id, path } of upstreams.flatMap(({ executed }) => executed)) {
    if (path.startsWith("/orders/")) counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  return [...counts].filter(([, count]) => count > 1)
    .map(([id, count]) =>
      `A request that may not be repeated ran ${count} times: ${id}`
    );
}

/** A non-repeatable request that was answered as not run has not run. */
function refusals({ attempts, upstreams }: RunRecord): readonly string[] {
  const ran = new Set(
    upstreams.flatMap(({ executed }) => executed.map(({ id }) => id)),
  );
  return attempts
    .filter(({ path, status }) =>
      path.startsWith("/orders/") && [408, 421, 429, 503].includes(status)
    )
    .filter(({ id }) => ran.has(id))
    .map(({ id, status }) => `A request answered ${status} had run: ${id}`);
}

/** No upstream sees an API key, and each sees the right organisation. */
function keysAndOrganisations({ upstreams }: RunRecord): readonly string[] {
  return upstreams.flatMap(({ executed }) => executed).flatMap((ran) => {
    const leaked = JSON.stringify(ran.fields).includes(API_KEY);
    const open = ran.path.startsWith("/score/");
    const wrong = !open && ran.organisation !== "acme";
    return [
      ...leaked ? [`An upstream saw an API key: ${ran.id}`] : [],
      ...wrong
        ? [
          `A request ran for the wrong organisation "${ran.organisation}": ${ran.id}`,
        ]
        : [],
    ];
  });
}

/** The result at a position never changes, and no item has two positions. */
function stablePositions(
  { observedResults, batches }: RunRecord,
): readonly string[] {
  const found: string[] = [];
  const resultByPosition = new Map<string, string>();
  const positionById = new Map<string, number>();
  for (const { batch, position, result, total } of observedResults) {
    const positionKey = `${batch}/${position}`;
    const before = resultByPosition.get(positionKey) ?? result;
    resultByPosition.set(positionKey, result);
    if (before !== result) found.push(`A position changed: ${positionKey}`);
    const { id } = JSON.parse(result);
    const known = positionById.get(id) ?? position;
    positionById.set(id, position);
    if (known !== position) found.push(`An item has two positions: ${id}`);
    const items = batches.find((one) => one.id === batch)?.items ?? [];
    if (total !== items.length) found.push(`A total is wrong: ${batch}`);
    if (!items.includes(id)) found.push(`A foreign item: ${id} in ${batch}`);
  }
  return found;
}

/** A completed item has its full text, its score and correct labels. */
function completedTexts(
  { observedResults, upstreams, batches }: RunRecord,
): readonly string[] {
  const results = new Map(
    observedResults.map((
      { result },
    ) => [JSON.parse(result).id, JSON.parse(result)]),
  );
  const emitted = upstreams.flatMap((upstream) => upstream.emitted);
  const events = Math.max(...upstreams.map((upstream) => upstream.events));
  const found: string[] = [];
  for (const { id, state, text, versions, score } of results.values()) {
    if (state !== "completed") {
      found.push(`An item did not complete: ${id}`);
      continue;
    }
    const lines = Array.from({ length: events }, (_, n) => `${id}.${n + 1}`);
    if (text !== lines.join("\n")) found.push(`A text is incomplete: ${id}`);
    if (score !== `seal-score-${id}`) found.push(`A score is wrong: ${id}`);
    const known = emitted.filter((one) => one.id === id);
    const foreign = versions.filter((version: number) =>
      !known.some((one) => one.version === version)
    );
    if (foreign.length > 0) found.push(`A version emitted no event: ${id}`);
    const unlabelled = Array.from({ length: events }, (_, n) => n + 1)
      .filter((number) =>
        !known.some((one) =>
          one.number === number && versions.includes(one.version)
        )
      );
    if (unlabelled.length > 0) found.push(`A label lacks a version: ${id}`);
  }
  for (const { id, items, accepted } of batches) {
    const listed = items.filter((item) => results.has(item)).length;
    if (accepted && listed < items.length) {
      found.push(`A batch was not read fully: ${id}, ${listed} items`);
    }
  }
  return found;
}

/** No item runs of a batch that was refused at every attempt. */
function refusedBatches({ batches, upstreams }: RunRecord): readonly string[] {
  const ran = new Set(
    upstreams.flatMap(({ executed }) => executed.map(({ id }) => id)),
  );
  return batches.filter(({ accepted, unsure }) => !accepted && !unsure)
    .filter(({ items }) => items.some((item) => ran.has(item)))
    .map(({ id }) => `A refused batch ran: ${id}`);
}

/** A fencing token has one holder; reports of a usage window are identical. */
function leaseHolders({ platform, upstreams }: RunRecord): readonly string[] {
  const found: string[] = [];
  const reportHolders = new Map<string, string>();
  const windows = new Map<number, string>();
  for (const { window, counts, fence, holder } of platform.reports) {
    const content = JSON.stringify(counts);
    if ((windows.get(window) ?? content) !== content) {
      found.push(`A usage window has two contents: ${window}`);
    }
    windows.set(window, content);
    if ((reportHolders.get(fence) ?? holder) !== holder) {
      found.push(`Two holders report under fencing token ${fence}`);
    }
    reportHolders.set(fence, holder);
  }
  const orders = new Map<number, string>();
  for (const { fence, holder } of upstreams.flatMap(({ orders }) => orders)) {
    if ((orders.get(fence) ?? holder) !== holder) {
      found.push(`Two holders order under fencing token ${fence}`);
    }
    orders.set(fence, holder);
  }
  return found;
}
