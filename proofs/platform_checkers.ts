/**
 * Checkers of the guarantees for the platform and its operators.
 *
 * @module
 */

import { VmState } from "../src/outside/mod.ts";
import {
  type EventHistory,
  type EventOf,
  eventsOf,
  groupBy,
  Guarantee,
  type Violation,
} from "./events.ts";

/** No order of an older term follows a newer one; a term has one holder. */
export function oneOrderer(history: EventHistory): readonly Violation[] {
  const orders = eventsOf(history, "ordered");
  const old = orders.flatMap((late, i) => {
    const newer = orders.slice(0, i)
      .find((earlier) => earlier.order.term > late.order.term);
    if (newer === undefined) return [];
    const refused = late.accepted ? "" : " and was refused";
    return [{
      guarantee: Guarantee.OneOrderer,
      message: `An order of term ${late.order.term} came after term ` +
        `${newer.order.term}${refused}`,
      events: [newer, late],
    }];
  });
  const terms = groupBy(orders, ({ order }) => String(order.term));
  const shared = [...terms].flatMap(([term, list]) => {
    const other = list.find(({ order }) =>
      order.holder !== list[0].order.holder
    );
    if (other === undefined) return [];
    return [{
      guarantee: Guarantee.OneOrderer,
      message: `Two holders ordered under term ${term}`,
      events: [list[0], other],
    }];
  });
  return [...old, ...shared];
}

/** A usage window is never reported with two contents. */
export function oneReport(history: EventHistory): readonly Violation[] {
  const byId = groupBy(eventsOf(history, "reported"), ({ id }) => id);
  return [...byId].flatMap(([id, list]) => {
    const other = list.find(({ body }) => body !== list[0].body);
    if (other === undefined) return [];
    return [{
      guarantee: Guarantee.OneReport,
      message: `Report ${id} was sent with two contents`,
      events: [list[0], other],
    }];
  });
}

/** Output tokens billed to an organisation, over all its usage reports. */
export function billedTokens(
  history: EventHistory,
  organisation: string,
): number {
  const byId = groupBy(eventsOf(history, "reported"), ({ id }) => id);
  const bodies = [...byId.values()].map((list) =>
    JSON.parse(list[0].body) as {
      tenant: string;
      lines: { outputTokens: number }[];
    }
  );
  return bodies.filter((body) => body.tenant === organisation)
    .flatMap((body) => body.lines)
    .reduce((sum, line) => sum + line.outputTokens, 0);
}

/**
 * A leaving upstream gets no work later than `boundMs` after the list of VMs
 * shows it as leaving. Daemons cannot read the list while the platform fails;
 * then the time counts from the end of the failure.
 */
export function leavingUpstream(
  history: EventHistory,
  boundMs: number,
): readonly Violation[] {
  const leftAt = leavingTimes(history);
  const outages = platformFailures(history);
  return eventsOf(history, "received").flatMap((received) => {
    const left = leftAt.get(received.at);
    if (left === undefined) return [];
    const visibleAt = outages.reduce(
      (at, { from, to }) => at >= from && at < to ? to : at,
      left.t,
    );
    if (received.t <= visibleAt + boundMs) return [];
    const lateMs = Math.round(received.t - visibleAt);
    return [{
      guarantee: Guarantee.LeavingUpstream,
      message: `Upstream ${received.at} got work ${lateMs} ms after leaving`,
      events: [left, received],
    }];
  });
}

interface OutageInterval {
  readonly from: number;
  readonly to: number;
}

/** Intervals in which the platform failed or its answers were delayed. */
function platformFailures(history: EventHistory): readonly OutageInterval[] {
  const faults = eventsOf(history, "fault")
    .filter(({ fault }) => fault.startsWith("platform"));
  return faults.filter(({ phase }) => phase === "begin").map((begin) => {
    const end = faults.find(({ fault, phase, t }) =>
      phase === "end" && fault === begin.fault && t > begin.t
    );
    // A read of the list that began just before may have been delayed.
    return { from: begin.t - MAX_CALL_IN_FLIGHT_MS, to: end?.t ?? Infinity };
  });
}

/** A call may have begun this long before the failure that delays it. */
const MAX_CALL_IN_FLIGHT_MS = 500;

function leavingTimes(
  history: EventHistory,
): ReadonlyMap<string, EventOf<"vms">> {
  const leftAt = new Map<string, EventOf<"vms">>();
  for (const event of eventsOf(history, "vms")) {
    for (const vm of event.vms) {
      if (vm.standing === VmState.Live) leftAt.delete(vm.id);
      else if (!leftAt.has(vm.id)) leftAt.set(vm.id, event);
    }
  }
  return leftAt;
}

/** A daemon's revision never decreases, and new ones are in force in time. */
export function configuration(
  history: EventHistory,
  options: { boundMs: number; daemons: readonly string[] },
): readonly Violation[] {
  return [
    ...revertedRevisions(history),
    ...lateRevisions(history, options),
  ];
}

function revertedRevisions(history: EventHistory): readonly Violation[] {
  const byDaemon = groupBy(
    eventsOf(history, "in force"),
    ({ daemon }) => daemon,
  );
  return [...byDaemon.values()].flatMap((seen) =>
    seen.slice(1).flatMap((event, i) =>
      event.revision >= seen[i].revision ? [] : [{
        guarantee: Guarantee.Configuration,
        message: `Daemon ${event.daemon} went from revision ` +
          `${seen[i].revision} back to ${event.revision}`,
        events: [seen[i], event],
      }]
    )
  );
}

function lateRevisions(
  history: EventHistory,
  options: { boundMs: number; daemons: readonly string[] },
): readonly Violation[] {
  const inForce = eventsOf(history, "in force");
  return eventsOf(history, "accepted").flatMap((accepted) =>
    inForce.filter((event) =>
      options.daemons.includes(event.daemon) &&
      event.t > accepted.t + options.boundMs &&
      event.revision < accepted.revision
    ).slice(0, 1).map((event) => ({
      guarantee: Guarantee.Configuration,
      message: `Daemon ${event.daemon} is at revision ${event.revision}, ` +
        `${Math.round(event.t - accepted.t)} ms after ${accepted.revision}`,
      events: [accepted, event],
    }))
  );
}

/** No prompt with the marker crashes more than `bound` upstreams. */
export function quarantine(
  history: EventHistory,
  options: { marker: string; bound: number },
): readonly Violation[] {
  const prompts = new Map(
    eventsOf(history, "received").map(({ at, id, prompt }) =>
      [`${at} ${id}`, prompt] as const
    ),
  );
  const crashes = eventsOf(history, "crashed").flatMap((run) => {
    const prompt = prompts.get(`${run.at} ${run.id}`) ?? "";
    return prompt.includes(options.marker) ? [{ run, prompt }] : [];
  });
  return [...groupBy(crashes, ({ prompt }) => prompt)].flatMap(([, list]) => {
    const crashedUpstreams = groupBy(list, ({ run }) => run.at);
    if (crashedUpstreams.size <= options.bound) return [];
    return [{
      guarantee: Guarantee.Quarantine,
      message: `One request crashed ${crashedUpstreams.size} upstreams`,
      events: list.map(({ run }) => run),
    }];
  });
}
