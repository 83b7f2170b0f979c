/**
 * Checkers of the guarantees for callers.
 *
 * @module
 */

import {
  type EventHistory,
  type EventOf,
  eventsOf,
  groupBy,
  Guarantee,
  type Violation,
} from "./events.ts";

/** Identifies a request in its path or prompt. */
export function requestMarker(id: string): string {
  return `[req:${id}]`;
}

/** Requests run only with a key that is valid for their route. */
export function ownKey(history: EventHistory): readonly Violation[] {
  const asked = eventsOf(history, "asked").filter(({ tenant }) =>
    tenant === ""
  );
  const runs = runsById(history);
  return asked.flatMap((event) => {
    const ran = runs.get(event.id);
    if (ran === undefined) return [];
    return [{
      guarantee: Guarantee.OwnKey,
      message: `Request ${event.id} ran without a valid key`,
      events: [event, ...ran],
    }];
  });
}

/** No upstream sees any of the `secrets`. */
export function keySecrecy(
  history: EventHistory,
  secrets: readonly string[],
): readonly Violation[] {
  const seen = [...eventsOf(history, "received"), ...eventsOf(history, "ran")];
  return seen.flatMap((event) => {
    const text = JSON.stringify(event);
    if (!secrets.some((secret) => text.includes(secret))) return [];
    return [{
      guarantee: Guarantee.KeySecrecy,
      message: `A key reached upstream ${event.at}`,
      events: [event],
    }];
  });
}

/** A withdrawn key admits nothing later than `boundMs` after its withdrawal. */
export function withdrawal(
  history: EventHistory,
  boundMs: number,
): readonly Violation[] {
  const withdrawn = eventsOf(history, "accepted").flatMap((accepted) =>
    accepted.withdraws.map((keyId) => ({ accepted, keyId }))
  );
  const runs = runsById(history);
  return eventsOf(history, "asked").flatMap((asked) => {
    const edit = withdrawn.find(({ accepted, keyId }) =>
      keyId === asked.keyId && asked.t > accepted.t + boundMs
    );
    const ran = runs.get(asked.id);
    if (edit === undefined || ran === undefined) return [];
    const lateMs = Math.round(asked.t - edit.accepted.t);
    return [{
      guarantee: Guarantee.Withdrawal,
      message:
        `Request ${asked.id} ran ${lateMs} ms after its key's end of validity`,
      events: [edit.accepted, asked, ...ran],
    }];
  });
}

/** Complete answers are the request's own; incomplete ones end in an error. */
export function wholeAnswer(history: EventHistory): readonly Violation[] {
  const asked = new Map(
    eventsOf(history, "asked").map((event) => [event.id, event] as const),
  );
  const wrong = eventsOf(history, "answered").flatMap((answered) => {
    const request = asked.get(answered.id);
    const known = request !== undefined && request.expected !== "";
    if (!known || answered.text === request.expected) return [];
    return [{
      guarantee: Guarantee.WholeAnswer,
      message: `Request ${answered.id} has a wrong answer`,
      events: [request, answered],
    }];
  });
  const unsolicited = eventsOf(history, "answered")
    .filter(({ id }) => !asked.has(id))
    .map((event) => ({
      guarantee: Guarantee.WholeAnswer,
      message: `No request belongs to answer ${event.id}`,
      events: [event],
    }));
  const endedClean = eventsOf(history, "cut").filter((event) => event.clean)
    .map((event) => ({
      guarantee: Guarantee.WholeAnswer,
      message: `Request ${event.id} was cut without an error: ${event.why}`,
      events: [event],
    }));
  return [...wrong, ...unsolicited, ...endedClean];
}

/** A request that was refused as not run has not run. */
export function notRun(history: EventHistory): readonly Violation[] {
  const runs = runsById(history);
  const requestsById = groupBy(eventsOf(history, "asked"), ({ id }) => id);
  return eventsOf(history, "refused").flatMap((refused) => {
    if (refused.verdict !== "not run") return [];
    const { from, to } = attemptInterval(
      refused,
      requestsById.get(refused.id) ?? [],
    );
    const ran = (runs.get(refused.id) ?? [])
      .filter(({ t }) => t >= from && t < to);
    if (ran.length === 0) return [];
    return [{
      guarantee: Guarantee.NotRun,
      message: `Request ${refused.id} ran and was refused as not run`,
      events: [refused, ...ran],
    }];
  });
}

/** The interval in which a run belongs to the refused attempt. */
function attemptInterval(
  refused: EventOf<"refused">,
  requests: readonly EventOf<"asked">[],
): { from: number; to: number } {
  const before = requests.filter(({ t }) => t <= refused.t);
  const after = requests.filter(({ t }) => t > refused.t);
  return {
    from: before.at(-1)?.t ?? -Infinity,
    to: after[0]?.t ?? Infinity,
  };
}

/** A request with an idempotency key runs at most once. */
export function atMostOnce(history: EventHistory): readonly Violation[] {
  const runs = new Map<string, EventOf<"ran">[]>();
  for (const ran of eventsOf(history, "ran")) {
    if (!ran.idempotencyKey) continue;
    runs.set(ran.idempotencyKey, [
      ...runs.get(ran.idempotencyKey) ?? [],
      ran,
    ]);
  }
  return [...runs].flatMap(([key, list]) =>
    list.length <= 1 ? [] : [{
      guarantee: Guarantee.AtMostOnce,
      message: `Idempotency key ${key} ran ${list.length} times`,
      events: list,
    }]
  );
}

/** Reasons of refusals that a restart does not cause. */
const UNRELATED_REASONS = new Set([
  "tenant_over_share",
  "key_withdrawn",
  "unknown_key",
  "no_key",
]);

/** No request fails; for runs whose only faults are graceful restarts. */
export function gracefulShutdown(history: EventHistory): readonly Violation[] {
  const failures = [
    ...eventsOf(history, "cut"),
    ...eventsOf(history, "lost"),
    ...eventsOf(history, "refused")
      .filter(({ reason }) => !UNRELATED_REASONS.has(reason)),
  ];
  return failures.map((event) => ({
    guarantee: Guarantee.GracefulShutdown,
    message: `Request ${event.id} failed in a graceful restart: ` +
      ("why" in event ? event.why : event.reason),
    events: [event],
  }));
}

/** Requests that upstreams received, by the id in their marker. */
function runsById(history: EventHistory): ReadonlyMap<string, EventHistory> {
  const runs = new Map<string, EventHistory>();
  const add = (text: string, event: EventHistory[number]) => {
    for (const [, id] of text.matchAll(/\[req:([\w-]+)\]/g)) {
      runs.set(id, [...runs.get(id) ?? [], event]);
    }
  };
  for (const event of eventsOf(history, "received")) add(event.prompt, event);
  for (const event of eventsOf(history, "ran")) {
    add(decodeURIComponent(event.path), event);
  }
  return runs;
}
