import { expect } from "earl";
import { test } from "node:test";
import { Ok, type Result } from "ts-results";
import {
  InProcessPeers,
  PeerNetwork,
} from "../../stand_ins/in_process_peers.ts";
import { type GossipSection, ManualClock } from "../kernel/mod.ts";
import { CachedDirectory } from "../outside/cached_directory.ts";
import {
  type Failure,
  Role,
  type Vm,
  type VmListing,
  VmListingSource,
  VmState,
} from "../outside/mod.ts";
import { DirectoryGossip } from "./directory_gossip.ts";

function upstream(id: string, part: Partial<Vm> = {}): Vm {
  return {
    id,
    role: Role.Upstream,
    standing: VmState.Live,
    availabilityZone: "a",
    address: `${id}:1`,
    http: "",
    pool: "p",
    reclaimable: false,
    ...part,
  };
}

class FixedSource extends VmListingSource {
  reads = 0;
  listing: VmListing = { vms: [], revision: 1 };

  read(): Promise<Result<VmListing, Failure>> {
    this.reads += 1;
    return Promise.resolve(Ok(this.listing));
  }
}

/**
 * Daemons that share a list; `sent.lists` counts full lists sent. While
 * `held.messages` is set, messages wait there for `held.deliver`.
 */
function startDaemons(size: number) {
  const clock = new ManualClock();
  const network = new PeerNetwork();
  const held = {
    messages: undefined as (() => void)[] | undefined,
    deliver: () => {
      const messages = held.messages ?? [];
      held.messages = undefined;
      for (const deliver of messages) deliver();
    },
  };
  const sent = { lists: 0 };
  const daemons = Array.from({ length: size }, (_, n) => {
    const peers = new InProcessPeers({ vm: `vm-${n}`, network });
    const source = new FixedSource();
    const directory = new CachedDirectory({
      source,
      clock,
      maxAgeMs: 300,
      outageGraceMs: 2000,
    });
    const gossip = new DirectoryGossip({ clock, peers, directory });
    const section = gossip.props.gossip?.directory as GossipSection;
    const { offer, accept } = section;
    section.accept = (body, from) => {
      if (held.messages === undefined) accept(body, from);
      else held.messages.push(() => accept(body, from));
    };
    section.offer = (peer) => {
      const update = offer(peer) as { vms?: unknown } | undefined;
      if (update?.vms !== undefined) sent.lists += 1;
      return update;
    };
    peers.serve(gossip);
    return { source, directory, gossip: section };
  });
  const accept = (section: GossipSection, body: unknown) =>
    section.accept(body, "vm-1");
  const reads = () =>
    daemons.reduce((sum, { source }) => sum + source.reads, 0);
  const publish = async (listing: VmListing) => {
    for (const { source } of daemons) source.listing = listing;
    for (const { directory } of daemons) await directory.list();
  };
  return { clock, daemons, sent, held, reads, publish, accept };
}

test("only two daemons read the list from the platform", async () => {
  const { clock, reads, publish, daemons } = startDaemons(8);
  await publish({ vms: [upstream("u")], revision: 1 });
  const first = reads();
  for (let n = 0; n < 10; n++) {
    clock.advance(500);
    await publish({ vms: [upstream("u")], revision: 2 + n });
  }
  expect(reads() - first <= 20).toEqual(true);
  expect(daemons.every(({ directory }) => directory.newest.ageMs < 600))
    .toEqual(true);
});

test("a change of weight versions or orders resends no list", async () => {
  const { clock, sent, publish } = startDaemons(4);
  await publish({ vms: [upstream("u", { orders: 0 })], revision: 1 });
  const first = sent.lists;
  for (let n = 1; n <= 5; n++) {
    clock.advance(500);
    const vms = [upstream("u", { orders: n, weightVersions: { m: n } })];
    await publish({ vms, revision: 1 + n });
  }
  expect(sent.lists - first).toEqual(0);
});

test("all daemons learn of a leaving upstream once a reader reads it", async () => {
  const { clock, daemons, publish } = startDaemons(8);
  await publish({ vms: [upstream("u")], revision: 1 });
  clock.advance(500);
  const vms = [upstream("u", { standing: VmState.Leaving })];
  await publish({ vms, revision: 2 });
  const known = daemons.map(({ directory }) =>
    directory.newest.vms[0].standing
  );
  expect(new Set(known)).toEqual(new Set([VmState.Leaving]));
});

test("a list is as old as it is, however long its message was held up", async () => {
  const { clock, daemons, held, publish } = startDaemons(2);
  const [first, second] = daemons;
  await publish({ vms: [upstream("u")], revision: 1 });
  clock.advance(500);
  await publish({ vms: [upstream("u")], revision: 2 });
  clock.advance(500);
  held.messages = [];
  first.source.listing = { vms: [upstream("u")], revision: 3 };
  await first.directory.list();
  expect(held.messages.length).toEqual(1);
  clock.advance(3000);
  held.deliver();
  expect(second.directory.newest.revision).toEqual(3);
  expect(second.directory.newest.ageMs >= 3000).toEqual(true);
});

test("a cold time that changes reaches all daemons with the next list", async () => {
  const { clock, daemons, publish } = startDaemons(8);
  await publish({ vms: [upstream("u", { coldMs: 0 })], revision: 1 });
  for (const coldMs of [4000, 6000]) {
    clock.advance(500);
    await publish({ vms: [upstream("u", { coldMs })], revision: 1 + coldMs });
    const known = daemons.map(({ directory }) => directory.newest.vms[0]);
    expect(new Set(known.map((vm) => vm.coldMs))).toEqual(new Set([coldMs]));
  }
});

test("a list without cold times, as earlier builds digest it, is confirmed", async () => {
  const { clock, daemons, publish, accept } = startDaemons(2);
  await publish({ vms: [upstream("u", { coldMs: 6000 })], revision: 1 });
  const [{ gossip, directory }] = daemons;
  const offered = gossip.offer("vm-1") as object;
  clock.advance(900);
  accept(gossip, { ...offered, coldDigest: undefined, vms: undefined });
  expect(directory.newest.ageMs < 100).toEqual(true);
  clock.advance(900);
  accept(gossip, { ...offered, coldDigest: "another", vms: undefined });
  expect(directory.newest.ageMs >= 900).toEqual(true);
});
