import { expect } from "earl";
import { test } from "node:test";
import { Err, Ok, type Result } from "ts-results";
import { ManualClock } from "../kernel/mod.ts";
import { CachedDirectory } from "./cached_directory.ts";
import {
  type Failure,
  Fault,
  Role,
  type Vm,
  type VmListing,
  VmListingSource,
  VmState,
} from "./mod.ts";

function upstream(id: string): Vm {
  return {
    id,
    role: Role.Upstream,
    standing: VmState.Live,
    availabilityZone: "a",
    address: `${id}:1`,
    http: "",
    pool: "p",
    reclaimable: false,
  };
}

class FixedSource extends VmListingSource {
  reads = 0;
  listing: VmListing | undefined = { vms: [], revision: 1 };

  read(): Promise<Result<VmListing, Failure>> {
    this.reads += 1;
    return Promise.resolve(
      this.listing === undefined
        ? Err({ fault: Fault.Unknown, message: "down" })
        : Ok(this.listing),
    );
  }
}

function createDirectory() {
  const clock = new ManualClock();
  const source = new FixedSource();
  const directory = new CachedDirectory({
    source,
    clock,
    maxAgeMs: 400,
    outageGraceMs: 2000,
  });
  const ids = async () => {
    const listed = await directory.list();
    return listed.ok ? listed.val.map(({ id }) => id) : ["failed"];
  };
  return { clock, source, directory, ids };
}

test("a list is read again only after its maximum age", async () => {
  const { clock, source, ids } = createDirectory();
  await ids();
  clock.advance(300);
  await ids();
  expect(source.reads).toEqual(1);
  clock.advance(200);
  await ids();
  expect(source.reads).toEqual(2);
});

test("a received list replaces an older one, never a newer one", async () => {
  const { directory, ids } = createDirectory();
  await ids();
  directory.receive({ vms: [upstream("new")], revision: 5, ageMs: 10 });
  directory.receive({ vms: [upstream("old")], revision: 3, ageMs: 0 });
  expect(await ids()).toEqual(["new"]);
});

test("entries that expired in an outage stay listed for two seconds", async () => {
  const { clock, source, ids } = createDirectory();
  source.listing = { vms: [upstream("a"), upstream("b")], revision: 1 };
  await ids();
  source.listing = undefined;
  clock.advance(3000);
  expect(await ids()).toEqual(["failed"]);
  source.listing = { vms: [upstream("a")], revision: 2 };
  clock.advance(500);
  expect(await ids()).toEqual(["a", "b"]);
  for (let n = 0; n < 3; n++) {
    clock.advance(500);
    expect(await ids()).toEqual(["a", "b"]);
  }
  clock.advance(500);
  expect(await ids()).toEqual(["a"]);
});

test("a list received first after an outage starts the grace period too", async () => {
  const { clock, source, directory, ids } = createDirectory();
  source.listing = { vms: [upstream("a"), upstream("b")], revision: 1 };
  await ids();
  source.listing = undefined;
  clock.advance(3000);
  await ids();
  directory.receive({
    vms: [upstream("a"), upstream("b")],
    revision: 2,
    ageMs: 0,
  });
  source.listing = { vms: [upstream("a")], revision: 3 };
  clock.advance(500);
  expect(await ids()).toEqual(["a", "b"]);
  directory.receive({ vms: [upstream("a")], revision: 4, ageMs: 0 });
  expect(await ids()).toEqual(["a", "b"]);
});

test("without an outage a missing upstream is removed at once", async () => {
  const { clock, source, ids } = createDirectory();
  source.listing = { vms: [upstream("a"), upstream("b")], revision: 1 };
  await ids();
  source.listing = { vms: [upstream("a")], revision: 2 };
  clock.advance(500);
  expect(await ids()).toEqual(["a"]);
});

test("two daemons with different lists of one revision agree on one", async () => {
  const latencyMs = 2;
  const { clock, source, directory: first } = createDirectory();
  const second = new CachedDirectory({
    source,
    clock,
    maxAgeMs: 400,
    outageGraceMs: 2000,
  });
  source.listing = { vms: [upstream("a")], revision: 1 };
  await first.list();
  clock.advance(1);
  source.listing = { vms: [], revision: 1 };
  await second.list();
  let changes = 0;
  for (const one of [first, second]) one.onUpdate(() => changes += 1);
  for (let n = 0; n < 20; n++) {
    const sent = { first: first.newest, second: second.newest };
    clock.advance(latencyMs);
    first.receive(sent.second);
    second.receive(sent.first);
  }
  expect(changes <= 2).toEqual(true);
  clock.advance(400);
  await second.list();
  first.receive(second.newest);
  expect(first.newest.vms).toEqual(second.newest.vms);
});

test("a list of a newer revision is applied whatever its age", async () => {
  const { source, directory, ids } = createDirectory();
  source.listing = { vms: [upstream("a")], revision: 1 };
  await ids();
  directory.receive({ vms: [], revision: 2, ageMs: 90 });
  expect(await ids()).toEqual([]);
});

// Guards against daemons of two builds that report each other's lists as changed.
test("a list without cold times, as earlier builds send it, is no change", async () => {
  const { clock, source, directory, ids } = createDirectory();
  source.listing = { vms: [{ ...upstream("u"), coldMs: 4000 }], revision: 1 };
  await ids();
  let changes = 0;
  directory.onUpdate(() => changes += 1);
  clock.advance(300);
  directory.receive({ vms: [upstream("u")], revision: 2, ageMs: 0 });
  expect(changes).toEqual(0);
  expect(directory.newest.revision).toEqual(2);
});
