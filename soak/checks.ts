/**
 * Reads what callers were told and what upstreams did, and says which promise
 * was broken. What daemons believe of themselves is no evidence.
 *
 * @module
 */

import type {
  PlatformProtocolStandIn,
  PlatformUpstreamStandIn,
} from "../stand_ins/platform_protocol.ts";
import { API_KEY } from "../platform/fixture_test.ts";
import type { Seen, Submitted, Told } from "./workload.ts";

/** All that a run left behind. */
export interface History {
  readonly told: readonly Told[];
  readonly seen: readonly Seen[];
  readonly batches: readonly Submitted[];
  readonly missing: readonly string[];
  readonly upstreams: readonly PlatformUpstreamStandIn[];
  readonly site: PlatformProtocolStandIn;
  readonly ownEnds: readonly string[];
}

/** Every broken promise, as sentences. */
export function broken(history: History): readonly string[] {
  return [
    ...answers(history),
    ...repeats(history),
    ...refusals(history),
    ...secrets(history),
    ...positions(history),
    ...texts(history),
    ...unaccepted(history),
    ...holders(history),
    ...history.missing.map((one) => `An accepted batch is missing: ${one}`),
    ...history.ownEnds.map((one) => `A daemon ended by itself: ${one}`),
  ];
}

/** A success is the upstream's own whole answer to this request. */
function answers({ told }: History): readonly string[] {
  return told
    .filter(({ status }) => status === 200)
    .filter(({ id, path, body, seal }) =>
      body !== `answer to ${path}` || seal !== `seal-${id}`
    )
    .map(({ id }) => `A caller got a wrong answer: ${id}`);
}

/** What may not be repeated runs once. */
function repeats({ upstreams }: History): readonly string[] {
  const counts = new Map<string, number>();
  for (const { id, path } of upstreams.flatMap(({ executed: ran }) => ran)) {
    if (path.startsWith("/orders/")) counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  return [...counts].filter(([, count]) => count > 1)
    .map(([id, count]) =>
      `A request that may not be repeated ran ${count} times: ${id}`
    );
}

/** "Not run" is true of what may not be repeated. */
function refusals({ told, upstreams }: History): readonly string[] {
  const ran = new Set(
    upstreams.flatMap(({ executed: ran }) => ran.map(({ id }) => id)),
  );
  return told
    .filter(({ path, status }) =>
      path.startsWith("/orders/") && [408, 421, 429, 503].includes(status)
    )
    .filter(({ id }) => ran.has(id))
    .map(({ id, status }) => `A request answered ${status} had run: ${id}`);
}

/** No upstream sees a key, and each sees the right organisation. */
function secrets({ upstreams }: History): readonly string[] {
  return upstreams.flatMap(({ executed: ran }) => ran).flatMap((ran) => {
    const leaked = JSON.stringify(ran.fields).includes(API_KEY);
    const open = ran.path.startsWith("/score/");
    const wrong = !open && ran.organisation !== "acme";
    return [
      ...leaked ? [`An upstream saw a key: ${ran.id}`] : [],
      ...wrong ? [`A request ran for "${ran.organisation}": ${ran.id}`] : [],
    ];
  });
}

/** A position holds one result for ever, and no item stands at two. */
function positions({ seen, batches }: History): readonly string[] {
  const found: string[] = [];
  const held = new Map<string, string>();
  const places = new Map<string, number>();
  for (const { batch, position, result, total } of seen) {
    const place = `${batch}/${position}`;
    const before = held.get(place) ?? result;
    held.set(place, result);
    if (before !== result) found.push(`A position changed: ${place}`);
    const { id } = JSON.parse(result);
    const known = places.get(id) ?? position;
    places.set(id, position);
    if (known !== position) found.push(`An item stands twice: ${id}`);
    const items = batches.find((one) => one.id === batch)?.items ?? [];
    if (total !== items.length) found.push(`A total is wrong: ${batch}`);
    if (!items.includes(id)) found.push(`A foreign item: ${id} in ${batch}`);
  }
  return found;
}

/** A completed text is whole, scored after its end, and rightly labelled. */
function texts({ seen, upstreams, batches }: History): readonly string[] {
  const results = new Map(
    seen.map(({ result }) => [JSON.parse(result).id, JSON.parse(result)]),
  );
  const made = upstreams.flatMap((upstream) => upstream.emitted);
  const events = Math.max(...upstreams.map((upstream) => upstream.events));
  const found: string[] = [];
  for (const { id, state, text, versions, score } of results.values()) {
    if (state !== "completed") {
      found.push(`An item was given up: ${id}`);
      continue;
    }
    const lines = Array.from({ length: events }, (_, n) => `${id}.${n + 1}`);
    if (text !== lines.join("\n")) found.push(`A text is not whole: ${id}`);
    if (score !== `seal-score-${id}`) found.push(`A score is wrong: ${id}`);
    const known = made.filter((one) => one.id === id);
    const foreign = versions.filter((version: number) =>
      !known.some((one) => one.version === version)
    );
    if (foreign.length > 0) found.push(`A version made nothing: ${id}`);
    const unnamed = Array.from({ length: events }, (_, n) => n + 1)
      .filter((number) =>
        !known.some((one) =>
          one.number === number && versions.includes(one.version)
        )
      );
    if (unnamed.length > 0) found.push(`A version is not named: ${id}`);
  }
  for (const { id, items, accepted } of batches) {
    const listed = items.filter((item) => results.has(item)).length;
    if (accepted && listed < items.length) {
      found.push(`A batch was not read whole: ${id}, ${listed} items`);
    }
  }
  return found;
}

/** Nothing runs of a batch that was refused at every attempt. */
function unaccepted({ batches, upstreams }: History): readonly string[] {
  const ran = new Set(
    upstreams.flatMap(({ executed: ran }) => ran.map(({ id }) => id)),
  );
  return batches.filter(({ accepted, unsure }) => !accepted && !unsure)
    .filter(({ items }) => items.some((item) => ran.has(item)))
    .map(({ id }) => `A refused batch ran: ${id}`);
}

/** One holder for a fence, one content for a window. */
function holders({ site, upstreams }: History): readonly string[] {
  const found: string[] = [];
  const byFence = new Map<string, string>();
  const windows = new Map<number, string>();
  for (const { window, counts, fence, holder } of site.reports) {
    const content = JSON.stringify(counts);
    if ((windows.get(window) ?? content) !== content) {
      found.push(`A window has two contents: ${window}`);
    }
    windows.set(window, content);
    if ((byFence.get(fence) ?? holder) !== holder) {
      found.push(`Two holders report under fence ${fence}`);
    }
    byFence.set(fence, holder);
  }
  const orders = new Map<number, string>();
  for (const { fence, holder } of upstreams.flatMap(({ orders }) => orders)) {
    if ((orders.get(fence) ?? holder) !== holder) {
      found.push(`Two holders order under fence ${fence}`);
    }
    orders.set(fence, holder);
  }
  return found;
}
