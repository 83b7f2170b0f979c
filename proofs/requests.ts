/**
 * Checkers of what callers are promised.
 *
 * @module
 */

import {
  type Event,
  groupBy,
  type History,
  Promised,
  select,
  type Violation,
} from "./events.ts";

/** What the paths and prompts of a caller's requests hold. */
export function requestMarker(id: string): string {
  return `[req:${id}]`;
}

/** Requests run only under a key that was good for their route. */
export function ownKey(history: History): readonly Violation[] {
  const asked = select(history, "asked").filter(({ tenant }) => tenant === "");
  const runs = runsById(history);
  return asked.flatMap((event) => {
    const ran = runs.get(event.id);
    if (ran === undefined) return [];
    return [{
      promise: Promised.OwnKey,
      message: `Request ${event.id} ran without a good key`,
      events: [event, ...ran],
    }];
  });
}

/** No upstream sees any of the `secrets`. */
export function keySecrecy(
  history: History,
  secrets: readonly string[],
): readonly Violation[] {
  const seen = [...select(history, "received"), ...select(history, "ran")];
  return seen.flatMap((event) => {
    const text = JSON.stringify(event);
    if (!secrets.some((secret) => text.includes(secret))) return [];
    return [{
      promise: Promised.KeySecrecy,
      message: `A key reached upstream ${event.at}`,
      events: [event],
    }];
  });
}

/** A withdrawn key admits nothing `boundMs` after its withdrawal. */
export function withdrawal(
  history: History,
  boundMs: number,
): readonly Violation[] {
  const withdrawn = select(history, "accepted").flatMap((accepted) =>
    accepted.withdraws.map((keyId) => ({ accepted, keyId }))
  );
  const runs = runsById(history);
  return select(history, "asked").flatMap((asked) => {
    const edit = withdrawn.find(({ accepted, keyId }) =>
      keyId === asked.keyId && asked.t > accepted.t + boundMs
    );
    const ran = runs.get(asked.id);
    if (edit === undefined || ran === undefined) return [];
    const lateMs = Math.round(asked.t - edit.accepted.t);
    return [{
      promise: Promised.Withdrawal,
      message: `Request ${asked.id} ran ${lateMs} ms after its key's end`,
      events: [edit.accepted, asked, ...ran],
    }];
  });
}

/** A whole answer is the caller's own, and nothing ends clean half-way. */
export function wholeAnswer(history: History): readonly Violation[] {
  const asked = new Map(
    select(history, "asked").map((event) => [event.id, event] as const),
  );
  const wrong = select(history, "answered").flatMap((answered) => {
    const question = asked.get(answered.id);
    const known = question !== undefined && question.expected !== "";
    if (!known || answered.text === question.expected) return [];
    return [{
      promise: Promised.WholeAnswer,
      message: `Request ${answered.id} has another answer`,
      events: [question, answered],
    }];
  });
  const crossed = select(history, "answered")
    .filter(({ id }) => !asked.has(id))
    .map((event) => ({
      promise: Promised.WholeAnswer,
      message: `Nobody asked for answer ${event.id}`,
      events: [event],
    }));
  const clean = select(history, "cut").filter((event) => event.clean)
    .map((event) => ({
      promise: Promised.WholeAnswer,
      message: `Request ${event.id} ended half-way as if whole: ${event.why}`,
      events: [event],
    }));
  return [...wrong, ...crossed, ...clean];
}

/** A request that was refused as not run has not run. */
export function notRun(history: History): readonly Violation[] {
  const runs = runsById(history);
  const asks = groupBy(select(history, "asked"), ({ id }) => id);
  return select(history, "refused").flatMap((refused) => {
    if (refused.verdict !== "not run") return [];
    const { from, to } = spanOf(refused, asks.get(refused.id) ?? []);
    const ran = (runs.get(refused.id) ?? [])
      .filter(({ t }) => t >= from && t < to);
    if (ran.length === 0) return [];
    return [{
      promise: Promised.NotRun,
      message: `Request ${refused.id} ran and was refused as not run`,
      events: [refused, ...ran],
    }];
  });
}

/** From when to when a run counts as one of the refused ask of a request. */
function spanOf(
  refused: Event<"refused">,
  asks: readonly Event<"asked">[],
): { from: number; to: number } {
  const before = asks.filter(({ t }) => t <= refused.t);
  const after = asks.filter(({ t }) => t > refused.t);
  return {
    from: before.at(-1)?.t ?? -Infinity,
    to: after[0]?.t ?? Infinity,
  };
}

/** A request with an idempotency key runs at most once. */
export function atMostOnce(history: History): readonly Violation[] {
  const runs = new Map<string, Event<"ran">[]>();
  for (const ran of select(history, "ran")) {
    if (!ran.idempotencyKey) continue;
    runs.set(ran.idempotencyKey, [
      ...runs.get(ran.idempotencyKey) ?? [],
      ran,
    ]);
  }
  return [...runs].flatMap(([key, list]) =>
    list.length <= 1 ? [] : [{
      promise: Promised.AtMostOnce,
      message: `Idempotency key ${key} ran ${list.length} times`,
      events: list,
    }]
  );
}

/** What has nothing to do with a restart. */
const UNRELATED = new Set([
  "tenant_over_share",
  "key_withdrawn",
  "unknown_key",
  "no_key",
]);

/** Nothing fails or is cut; meant for runs with graceful restarts only. */
export function gracefulShutdown(history: History): readonly Violation[] {
  const bad = [
    ...select(history, "cut"),
    ...select(history, "lost"),
    ...select(history, "refused")
      .filter(({ reason }) => !UNRELATED.has(reason)),
  ];
  return bad.map((event) => ({
    promise: Promised.GracefulShutdown,
    message: `Request ${event.id} failed in a graceful restart: ` +
      ("why" in event ? event.why : event.reason),
    events: [event],
  }));
}

/** What upstreams ran, by the request's marker. */
function runsById(history: History): ReadonlyMap<string, History> {
  const runs = new Map<string, History>();
  const add = (text: string, event: History[number]) => {
    for (const [, id] of text.matchAll(/\[req:([\w-]+)\]/g)) {
      runs.set(id, [...runs.get(id) ?? [], event]);
    }
  };
  for (const event of select(history, "received")) add(event.prompt, event);
  for (const event of select(history, "ran")) {
    add(decodeURIComponent(event.path), event);
  }
  return runs;
}
