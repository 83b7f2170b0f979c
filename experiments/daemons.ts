/**
 * Starts many daemons of a cluster.
 *
 * @module
 */

import type { Cluster, Daemon } from "../stand_ins/cluster.ts";

/** Daemons started at once. */
const START_BATCH_SIZE = 8;
/** Daemons added for each that is wanted, at most. */
const MAX_ADDED = 2;

/** Starts `count` daemons, some at a time; all are ready when it resolves. */
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

// A port chosen for a daemon may be taken by a connection before it listens;
// another daemon is started then.
async function becomesReady(daemon: Daemon): Promise<boolean> {
  try {
    await daemon.ready();
    return true;
  } catch (error) {
    if (daemon.pid !== 0) throw error;
    return false;
  }
}
