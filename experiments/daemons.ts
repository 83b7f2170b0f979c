/**
 * Starts a large number of daemons in a cluster.
 *
 * @module
 */

import type { Cluster, Daemon } from "../stand_ins/cluster.ts";

/** Number of daemons started concurrently. */
const START_BATCH_SIZE = 8;
/** Limit of start attempts per requested daemon. */
const MAX_ADDED = 2;

/** Starts `count` daemons in batches; resolves when all are ready. */
export async function startDaemons(
  cluster: Cluster,
  count: number,
): Promise<readonly Daemon[]> {
  const running: Daemon[] = [];
  let added = 0;
  while (running.length < count) {
    const batch = Math.min(START_BATCH_SIZE, count - running.length);
    const daemons: Daemon[] = [];
    for (let i = 0; i < batch; i++) {
      daemons.push(await cluster.addDaemon(`vm-${added++}`));
    }
    const ready = await Promise.all(daemons.map(becomesReady));
    running.push(...daemons.filter((_, index) => ready[index]));
    if (added > MAX_ADDED * count) throw new Error("Daemons don't start");
  }
  return running;
}

// A daemon fails to start if a connection takes its chosen port before it
// listens; the caller then starts another one.
async function becomesReady(daemon: Daemon): Promise<boolean> {
  try {
    await daemon.ready();
    return true;
  } catch (error) {
    if (daemon.pid !== 0) throw error;
    return false;
  }
}
