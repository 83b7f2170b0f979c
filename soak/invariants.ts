/**
 * Checks the invariants of a soak run from what callers received and what
 * upstreams recorded. The daemons' own status is not used as evidence.
 *
 * @module
 */

import type {
  ArrivedRequest,
  ExecutedRequest,
  PlatformProtocolStandIn,
  PlatformUpstreamStandIn,
} from "../stand_ins/platform_protocol.ts";
import { API_KEY } from "../platform/fixture_test.ts";
import type { Announcement, Disturbance } from "./fault_plan.ts";
import type {
  AttemptResult,
  FinalRead,
  ObservedResult,
  SubmittedBatch,
} from "./soak_workload.ts";

/** Requests of an ended batch may reach upstreams for this long. */
const CANCEL_MS = 3000;

/** A daemon is in touch when no fault has held it up for this long. */
const CONTACT_MS = 3000;

/** A limit counts for a daemon this long after the first answer that named it. */
const HEARD_MS = 500;

/** An upstream gets no more in this time than its limit allows, and some. */
const LIMIT_WINDOW_MS = 4000;
const LIMIT_TOLERANCE = 1.5;
const LIMIT_MARGIN = 5;

/** Time from an answer that says that an upstream leaves to its last request. */
const DRAIN_MS = 2000;

/** An item may be at no upstream for this long while slots are free. */
const MAX_IDLE_MS = 5000;

/** Everything that was recorded in a run. */
export interface RunRecord {
  readonly attempts: readonly AttemptResult[];
  readonly observedResults: readonly ObservedResult[];
  readonly finalReads: readonly FinalRead[];
  readonly batches: readonly SubmittedBatch[];
  readonly missing: readonly string[];
  /** When the workload had read or ended all batches. */
  readonly stoppedAt: number;
  /** The faults that were injected. */
  readonly disturbances: readonly Disturbance[];
  /** What upstreams said of themselves. */
  readonly announcements: readonly Announcement[];
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
    ...endedBatches(record),
    ...listedResults(record),
    ...idleItems(record),
    ...exceededLimits(record),
    ...leftUpstreams(record),
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
    observedResults.map(({ batch, result }) => {
      const parsed = JSON.parse(result);
      return [parsed.id, { ...parsed, batch }];
    }),
  );
  const ended = new Set(
    batches.filter(({ endAskedAt }) => endAskedAt !== undefined)
      .map(({ id }) => id),
  );
  const emitted = upstreams.flatMap((upstream) => upstream.emitted);
  const events = Math.max(...upstreams.map((upstream) => upstream.events));
  const found: string[] = [];
  for (const { id, batch, state, text, versions, score } of results.values()) {
    if (state !== "completed") {
      if (!ended.has(batch)) found.push(`An item did not complete: ${id}`);
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
    if (accepted && !ended.has(id) && listed < items.length) {
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

/** A request that reached an upstream, which has this id. */
interface UpstreamRequest extends ExecutedRequest {
  readonly upstream: string;
}

/** Items and reward requests that ran too long after their batch's end. */
export function lateRequests(
  { batches, upstreams }: Pick<RunRecord, "batches" | "upstreams">,
): readonly UpstreamRequest[] {
  const endedAt = new Map(
    batches.flatMap(({ items, endedAt = Infinity }) =>
      items.flatMap((id) => [id, `score-${id}`].map((one) => [one, endedAt]))
    ) as [string, number][],
  );
  return upstreams.flatMap(({ id, executed }) =>
    executed.filter((ran) =>
      ran.at > (endedAt.get(ran.id) ?? Infinity) + CANCEL_MS
    ).map((ran) => ({ ...ran, upstream: id }))
  );
}

/** No daemon in touch sends anything of an ended batch; ends are confirmed. */
function endedBatches(record: RunRecord): readonly string[] {
  const late = lateRequests(record).filter(({ at, sender, upstream }) =>
    !record.disturbances.some(({ from, to, daemons, upstreams }) =>
      from <= at && at <= to + CONTACT_MS &&
      (daemons.includes(sender) || upstreams.includes(upstream))
    )
  ).map(({ id, sender, at }) =>
    `A request of an ended batch ran: ${id}, sent by ${sender} at ${at}`
  );
  const unconfirmed = record.batches
    .filter(({ endAskedAt, endedAt }) =>
      endAskedAt !== undefined && endedAt === undefined
    ).map(({ id }) => `The end of a batch was not acknowledged: ${id}`);
  return [...late, ...unconfirmed];
}

/** What was listed once, each daemon lists at the end of the run. */
function listedResults(
  { observedResults, finalReads }: RunRecord,
): readonly string[] {
  const counts = new Map<string, number>();
  for (const { batch, position } of observedResults) {
    counts.set(batch, Math.max(position + 1, counts.get(batch) ?? 0));
  }
  return finalReads
    .filter(({ batch, listed }) => listed < (counts.get(batch) ?? 0))
    .map(({ batch, node, listed }) =>
      `Results are listed no longer: ${batch}, ${listed} at ${node}`
    );
}

/** No upstream gets far more requests than the limit that it named. */
function exceededLimits(record: RunRecord): readonly string[] {
  return record.announcements.flatMap((announced) => {
    const { upstream, from, limitPerS } = announced;
    if (limitPerS === undefined) return [];
    const told = arrivalsAfter(announced, record, HEARD_MS);
    const allowed = LIMIT_TOLERANCE * limitPerS * LIMIT_WINDOW_MS / 1000 +
      LIMIT_MARGIN;
    return told.filter(({ at }) => at > from + CONTACT_MS)
      .map(({ at }) =>
        told.filter((one) => at - LIMIT_WINDOW_MS < one.at && one.at <= at)
          .length
      )
      .filter((count) => count > allowed)
      .slice(0, 1)
      .map((count) =>
        `${upstream} got ${count} requests in 4 s with a limit of ${limitPerS}`
      );
  });
}

/** No daemon sends to an upstream that has told it that it leaves. */
function leftUpstreams(record: RunRecord): readonly string[] {
  return record.announcements
    .filter(({ limitPerS }) => limitPerS === undefined)
    .flatMap((announced) => arrivalsAfter(announced, record, DRAIN_MS))
    .map(({ id, sender }) =>
      `A request reached an upstream that had said that it leaves: ${id}, sent by ${sender}`
    );
}

/** Requests from undisturbed daemons that were told `afterMs` before or earlier. */
function arrivalsAfter(
  { upstream, from, to }: Announcement,
  { upstreams, disturbances }: RunRecord,
  afterMs: number,
): readonly ArrivedRequest[] {
  const { arrived = [] } = upstreams.find(({ id }) => id === upstream) ?? {};
  const during = arrived.filter(({ at }) => from <= at && at <= to);
  return during.filter(({ sender, at }) => {
    const toldAt = during.find((one) => one.sender === sender)?.at ?? at;
    const excused = disturbances.some((one) =>
      one.from <= at && toldAt <= one.to + CONTACT_MS &&
      (one.daemons.includes(sender) || one.upstreams.includes(upstream))
    );
    return at > toldAt + afterMs && !excused;
  });
}

/** A span of time, in Unix milliseconds. */
interface Span {
  readonly from: number;
  readonly to: number;
}

/** An item that is not done is soon at an upstream if half of them are free. */
function idleItems(
  { batches, upstreams, disturbances, stoppedAt }: RunRecord,
): readonly string[] {
  const faults = disturbances.map(({ from, to }) => ({
    from,
    to: to + CONTACT_MS,
  }));
  return [...new Set(batches.map(({ service }) => service))].flatMap(
    (service) => {
      const pool = upstreams.filter((one) => one.service === service);
      const ran = pool.flatMap(({ executed }) => executed);
      const slots = pool.reduce((sum, one) => sum + one.slots, 0);
      const busy = [...faults, ...spansOver(ran.map(spanOf), slots / 2)];
      return batches
        .filter((one) => one.service === service && one.accepted)
        .flatMap((one) => idleItemsOf(one, { ran, busy, stoppedAt }));
    },
  );
}

function idleItemsOf(
  { items, endAskedAt }: SubmittedBatch,
  { ran, busy, stoppedAt }: {
    ran: readonly ExecutedRequest[];
    busy: readonly Span[];
    stoppedAt: number;
  },
): readonly string[] {
  const own = ran.filter(({ id }) => items.includes(id));
  const from = Math.min(...own.map(({ at }) => at));
  const to = Math.min(stoppedAt, endAskedAt ?? Infinity);
  return items.flatMap((id) => {
    const runs = own.filter((one) => one.id === id);
    const doneAt = runs.filter(({ done }) => done)
      .map(({ endedAt }) => endedAt ?? Infinity);
    const needed = { from, to: Math.min(to, ...doneAt) };
    return spansWithout(needed, [...busy, ...runs.map(spanOf)])
      .filter((span) => span.to - span.from >= MAX_IDLE_MS)
      .map((span) =>
        `An item was at no upstream for ${span.to - span.from} ms: ${id}`
      );
  });
}

function spanOf({ at, endedAt }: ExecutedRequest): Span {
  return { from: at, to: endedAt ?? Infinity };
}

/** When `count` or more of `spans` overlap. */
function spansOver(spans: readonly Span[], count: number): readonly Span[] {
  const changes = spans
    .flatMap(({ from, to }) => [{ at: from, by: 1 }, { at: to, by: -1 }])
    .sort((a, b) => a.at - b.at);
  const found: Span[] = [];
  let open = 0;
  let from = 0;
  for (const { at, by } of changes) {
    if (open < count && open + by >= count) from = at;
    if (open >= count && open + by < count) found.push({ from, to: at });
    open += by;
  }
  return found;
}

/** What remains of a span without the others. */
function spansWithout(span: Span, others: readonly Span[]): readonly Span[] {
  const found: Span[] = [];
  let { from } = span;
  for (const other of [...others].sort((a, b) => a.from - b.from)) {
    if (other.from > from) {
      found.push({ from, to: Math.min(other.from, span.to) });
    }
    from = Math.max(from, other.to);
    if (from >= span.to) return found;
  }
  return [...found, { from, to: span.to }];
}
