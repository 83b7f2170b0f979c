/**
 * Measures the size of stored configurations and the time to decode one:
 * `node dist/experiments/configuration_size.js`.
 *
 * @module
 */

import { pool, route } from "../stand_ins/builders.ts";
import {
  type Configuration,
  decodeConfiguration,
  hashKey,
  MAX_CONFIGURATION_BYTES,
} from "../src/tables/mod.ts";

const ORGANISATIONS_PER_ROUTE = 8;
const REPETITIONS = 20;

function configuration(routes: number, keys: number): Configuration {
  const names = Array.from({ length: routes }, (_, at) => `route-${at}`);
  return {
    revision: 1,
    attempt: "size",
    author: "",
    note: "",
    at: "2026-12-04T00:00:00.000Z",
    tables: {
      pools: names.map((name) => pool({ name })),
      routes: names.map((name) =>
        route({
          name,
          pool: name,
          model: name,
          tenants: Array.from({ length: ORGANISATIONS_PER_ROUTE }, (_, at) => ({
            tenant: `tenant-${at}`,
            weight: 1,
          })),
          keys: Array.from({ length: keys }, (_, at) => ({
            id: `${name}-${at}`,
            sha256: hashKey(`${name}-${at}`),
            tenant: `tenant-${at % ORGANISATIONS_PER_ROUTE}`,
          })),
        })
      ),
    },
  };
}

function median(values: readonly number[]): number {
  return values.toSorted((a, b) => a - b)[values.length >> 1];
}

for (const [routes, keys] of [[10, 10], [100, 10], [500, 10], [50, 150]]) {
  const text = JSON.stringify(configuration(routes, keys));
  const bytes = Buffer.byteLength(text);
  const times = Array.from({ length: REPETITIONS }, () => {
    const start = performance.now();
    if (decodeConfiguration(text).err) throw new RangeError("Not decodable");
    return performance.now() - start;
  });
  const part = (100 * bytes / MAX_CONFIGURATION_BYTES).toFixed(1);
  console.log(
    `${routes} routes of ${keys} keys: ${bytes} bytes (${part} %), ` +
      `${Math.round(bytes / routes)} a route; ` +
      `decoded in ${median(times).toFixed(1)} ms (median of ${REPETITIONS})`,
  );
}
