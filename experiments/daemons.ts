/**
 * Starts many daemons of a cluster.
 *
 * @module
 */

import type { Cluster, Daemon } from "../stand_ins/cluster.ts";

/** Daemons started at once. */
const BATCH = 8;
const ATTEMPTS = 5;

/** Starts `count` daemons, some at a time; all are ready when it resolves. */
export async function startDaemons(
  cluster: Cluster,
  count: number,
): Promise<void> {
  for (let from = 0; from < count; from += BATCH) {
    const batch = Math.min(BATCH, count - from);
    for (let i = from; i < from + batch; i++) {
      await cluster.addDaemon(`vm-${i}`);
    }
    await Promise.all(cluster.daemons.slice(from).map(started));
  }
}

// A port chosen for a daemon may be taken by a connection before it listens.
async function started(daemon: Daemon): Promise<void> {
  for (let attempt = 1;; attempt++) {
    try {
      return await daemon.ready();
    } catch (error) {
      if (attempt === ATTEMPTS || daemon.pid !== 0) throw error;
      daemon.start();
    }
  }
}
