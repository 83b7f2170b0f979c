/**
 * Loaded into the processes that tests start: ends the process when the test
 * that started it is gone.
 *
 * @module
 */

const CHECK_MS = 500;

const parent = process.ppid;
setInterval(() => {
  if (process.ppid !== parent) process.exit(1);
}, CHECK_MS).unref();
