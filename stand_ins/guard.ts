/**
 * Preloaded into the processes that tests start: exits when the parent process
 * has ended.
 *
 * @module
 */

const PARENT_CHECK_INTERVAL_MS = 500;

const parent = process.ppid;
setInterval(() => {
  if (process.ppid !== parent) process.exit(1);
}, PARENT_CHECK_INTERVAL_MS).unref();
