import { expect } from "earl";
import fc from "fast-check";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import {
  canonicalTables,
  type Configuration,
  decodeConfiguration,
  diffTables,
  encodeConfiguration,
  hashKey,
  parseTables,
  type Pool,
  printChange,
  printProblem,
  printTables,
  Priority,
  type Route,
  RouteKind,
  sameTables,
  type Tables,
} from "./mod.ts";

const PROPERTY_OPTIONS = { seed: 20261204, numRuns: 300 };

const pools = `
[pools.lm]
model = "appraise-lm"
max_upstreams = 6
availability_zones = ["a", "b"]

[pools.checks]
max_upstreams = 2
availability_zones = ["a"]
`;

const routes = `
[routes.appraise]
kind = "model"
model = "appraise-lm"
pool = "lm"
tenants = { insurer = 4, broker = 1 }

[routes.appraise.keys]
insurer-1 = { tenant = "insurer", sha256 = "${hashKey("secret")}" }

[routes.release]
kind = "service"
path = "/release"
pool = "checks"
tenants.insurer = 1
`;

function problems(routesText: string, poolsText = pools): readonly string[] {
  const tables = parseTables(routesText, poolsText);
  return tables.ok ? [] : tables.val.map(printProblem);
}

function parsed(routesText = routes): Tables {
  return parseTables(routesText, pools).unwrap();
}

function configuration(tables: Tables): Configuration {
  return {
    revision: 3,
    attempt: "a1",
    author: "ops",
    note: "",
    at: "2026-12-04T00:00:00.000Z",
    tables,
  };
}

const name = fc.stringMatching(/^[a-z0-9][a-z0-9_-]{0,8}$/);

function names(minLength: number): fc.Arbitrary<string[]> {
  return fc.uniqueArray(name, { minLength, maxLength: 4 });
}

const pool: fc.Arbitrary<Omit<Pool, "name">> = fc.record({
  model: fc.constantFrom("", "appraise-lm", "Org/lm-2.5:it"),
  minUpstreams: fc.nat(5),
  maxUpstreams: fc.integer({ min: 5, max: 10_000 }),
  reclaimableShare: fc.double({ min: 0, max: 1, noNaN: true }),
  availabilityZones: names(1),
  slots: fc.integer({ min: 1, max: 4096 }),
  fenced: fc.boolean(),
});

function route(pools: readonly Pool[]): fc.Arbitrary<Omit<Route, "name">> {
  return fc.record({
    pool: fc.constantFrom(...pools),
    training: fc.boolean(),
    tenants: names(1),
    keys: names(0),
    open: fc.boolean(),
    urgency: fc.constantFrom(Priority.Interactive, Priority.Batch),
    deadlineMs: fc.integer({ min: 1, max: 86_400_000 }),
    maxBodyBytes: fc.integer({ min: 1, max: 67_108_864 }),
    stalenessBound: fc.nat(1000),
    repeatable: fc.boolean(),
  }).map((draw) => {
    const service = draw.pool.model === "";
    const training = !service && draw.training;
    const open = draw.open && !training;
    const tenants = draw.tenants.slice(0, open ? 1 : undefined);
    return {
      path: "",
      model: "",
      kind: service
        ? RouteKind.Service
        : training
        ? RouteKind.Training
        : RouteKind.Model,
      pool: draw.pool.name,
      priority: training ? Priority.Training : draw.urgency,
      open,
      repeatable: !service || draw.repeatable,
      tenants: tenants.map((tenant) => ({ tenant, weight: tenant.length / 4 })),
      keys: open ? [] : draw.keys.map((id) => ({
        id,
        sha256: hashKey(id),
        tenant: tenants[0],
      })),
      deadlineMs: draw.deadlineMs,
      maxBodyBytes: draw.maxBodyBytes,
      stalenessBound: training ? draw.stalenessBound : 0,
    };
  });
}

/** Valid tables; a key's id contains its route, so that no two clash. */
const tables: fc.Arbitrary<Tables> = fc.tuple(names(1), names(0)).chain(
  ([poolNames, routeNames]) =>
    fc.tuple(...poolNames.map((name) => pool.map((row) => ({ ...row, name }))))
      .chain((pools) =>
        fc.tuple(...routeNames.map((name) =>
          route(pools).map((row) => ({
            ...row,
            name,
            path: row.kind === RouteKind.Service ? `/s/${name}` : "",
            model: row.kind === RouteKind.Service ? "" : `m-${name}`,
            keys: row.keys.map((key) => {
              const id = `${name}-${key.id}`;
              return { ...key, id, sha256: hashKey(id) };
            }),
          }))
        )).map((routes) => canonicalTables({ routes, pools }))
      ),
);

test("omitted columns have defaults", () => {
  const [appraise, release] = parsed().routes;
  expect(appraise?.priority).toEqual(Priority.Standard);
  expect(appraise?.repeatable).toEqual(true);
  expect(release?.repeatable).toEqual(false);
  expect(parsed().pools[1]?.slots).toEqual(8);
});

test("all problems of both files are reported together", () => {
  const found = problems(
    routes.replace(`pool = "lm"`, `pool = "none"\nshare = 3`)
      .replace(`"/release"`, `"release/"`),
    pools.replace("max_upstreams = 2", `max_upstreams = "2"\nslots = 0`),
  );
  expect(found).toEqual([
    `routes.toml, table "appraise", key "share": unknown key`,
    `routes.toml, table "release", key "path": must be a path like ` +
    `/lots/search, without a slash at the end, not "release/"`,
    `pools.toml, table "checks", key "max_upstreams": must be a whole ` +
    `number from 0 to 10000, not "2"`,
    `pools.toml, table "checks", key "slots": must be a whole number from ` +
    `1 to 4096, not "0"`,
  ]);
});

for (
  const [what, from, to, expected] of [
    ["an absent pool", `"lm"`, `"gone"`, `pool "gone" is not in pools.toml`],
    ["a pool of another kind", `"lm"`, `"checks"`, "without a model"],
    ["a key without share", `= "insurer", sha`, `= "other", sha`, "no share"],
    ["a reserved path", `"/release"`, `"/admin/x"`, "daemon itself"],
    [
      "a model on a service",
      `path =`,
      `model = "x"\npath =`,
      "must have none",
    ],
    [
      "keys on an open route",
      `kind = "model"`,
      `kind = "model"\nopen = true`,
      "",
    ],
    ["a clashing weight", `= "checks"`, `= "lm"`, `weight "1", but "4"`],
  ] as const
) {
  test(`a check reports ${what}`, () => {
    const found = problems(routes.replace(from, to));
    expect(found.length).toBeGreaterThanOrEqual(1);
    expect(found.join("\n").includes(expected)).toEqual(true);
  });
}

test("two routes with the same path are reported", () => {
  const duplicated = routes.replace("routes.release]", "routes.other]")
    .slice(routes.indexOf("[routes.release]"));
  expect(problems(routes + duplicated)).toEqual([
    `routes.toml, table "release", key "path": "/release" is claimed by ` +
    `route "other" too`,
  ]);
});

test("the example in the operators' documentation is valid", () => {
  const page = join(__dirname, "../../../docs/operators/tables.md");
  const lines = readFileSync(page, "utf8").split("\n")
    .filter((line) => line.startsWith("    "))
    .map((line) => line.trim());
  const text = lines.join("\n");
  const [before, after] = text.split("# routes.toml");
  expect(problems(after, before)).toEqual([]);
  expect(parseTables(after, before).unwrap().routes.length).toEqual(3);
});

test("a key entered in place of its hash is not printed", () => {
  const found = problems(routes.replace(hashKey("secret"), "tw_aBc123"));
  expect(found.length).toEqual(1);
  expect(found[0]?.includes("aBc123")).toEqual(false);
  const named = problems(routes.replace("insurer-1 =", "tw_aBc123 ="));
  expect(named.join().includes("aBc123")).toEqual(false);
});

test("the diff lists a changed weight and an added key", () => {
  const after = parsed(
    routes.replace("insurer = 4", "insurer = 5").replace(
      "[routes.release]",
      `broker-1 = { tenant = "broker", sha256 = "${hashKey("x")}" }\n$&`,
    ),
  );
  expect(diffTables(parsed(), after).map(printChange)).toEqual([
    `+ routes.toml appraise keys.broker-1: broker ${hashKey("x")}`,
    "~ routes.toml appraise tenants.insurer: 4 -> 5",
  ]);
});

test("parsing printed tables returns the same tables", () => {
  fc.assert(
    fc.property(tables, (tables) => {
      const text = printTables(tables);
      const reparsed = parseTables(text.routes, text.pools);
      expect(reparsed.ok ? reparsed.val : reparsed.val.map(printProblem))
        .toEqual(tables);
      expect(printTables(reparsed.unwrap())).toEqual(text);
    }),
    PROPERTY_OPTIONS,
  );
});

test("decoding an encoded configuration returns the same configuration", () => {
  fc.assert(
    fc.property(tables, (tables) => {
      const stored = encodeConfiguration(configuration(tables)).unwrap();
      expect(decodeConfiguration(stored).unwrap())
        .toEqual(configuration(tables));
    }),
    PROPERTY_OPTIONS,
  );
});

test("the diff is empty exactly if the tables are the same", () => {
  fc.assert(
    fc.property(tables, tables, (a, b) => {
      expect(diffTables(a, b).length === 0).toEqual(sameTables(a, b));
      expect(diffTables(a, a)).toEqual([]);
    }),
    PROPERTY_OPTIONS,
  );
});

test("the parser does not throw on any text", () => {
  const piece = fc.oneof(
    fc.string({ unit: "binary" }),
    fc.constantFrom(
      ...["[routes.", "x]", "\n", " = ", "{", "}", "[[", "]]", `"`, "keys"],
      ...["__proto__", "constructor", "tenants", "1979-05-27", "0x1f", "nan"],
    ),
  );
  const text = fc.array(piece, { maxLength: 12 }).map((all) => all.join(""));
  fc.assert(
    fc.property(text, text, (a, b) => {
      const result = parseTables(a, b);
      if (result.err) expect(result.val.length).toBeGreaterThanOrEqual(1);
      if (result.err) result.val.map(printProblem);
      expect(decodeConfiguration(a).err).toEqual(true);
    }),
    PROPERTY_OPTIONS,
  );
});

test("the parser does not throw on any mutation of a file", () => {
  const mutation = fc.tuple(fc.nat(routes.length), fc.nat(12), fc.string());
  fc.assert(
    fc.property(mutation, ([at, length, text]) => {
      const result = parseTables(
        routes.slice(0, at) + text + routes.slice(at + length),
        pools,
      );
      if (result.err) expect(result.val.length).toBeGreaterThanOrEqual(1);
    }),
    PROPERTY_OPTIONS,
  );
});

test("the decoder neither throws nor accepts unknown or invalid fields", () => {
  const stored = JSON.parse(
    encodeConfiguration(configuration(parsed())).unwrap(),
  ) as Record<string, unknown>;
  const field = fc.constantFrom(...Object.keys(stored), "extra", "__proto__");
  fc.assert(
    fc.property(field, fc.jsonValue(), (field, value) => {
      const text = JSON.stringify({ ...stored, [field]: value });
      const known = ["attempt", "author", "note", "revision"].includes(field);
      if (!known) expect(decodeConfiguration(text).err).toEqual(true);
      else decodeConfiguration(text);
    }),
    PROPERTY_OPTIONS,
  );
});

test("a configuration of more than a megabyte is refused", () => {
  const many = Array.from({ length: 12_000 }, (_, at) => ({
    id: `k${at}`,
    sha256: hashKey(String(at)),
    tenant: "insurer",
  }));
  const tables = parsed();
  const grown = {
    ...tables,
    routes: tables.routes.map((route) =>
      route.name === "appraise" ? { ...route, keys: many } : route
    ),
  };
  const text = JSON.stringify(configuration(grown));
  expect(encodeConfiguration(configuration(grown)).err).toEqual(true);
  expect(decodeConfiguration(text).err).toEqual(true);
});
