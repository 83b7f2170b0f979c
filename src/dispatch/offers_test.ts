import { expect } from "earl";
import { test } from "node:test";
import { InProcessPeers } from "../../stand_ins/in_process_peers.ts";
import { ManualClock } from "../kernel/mod.ts";
import { GossipOffers } from "./offers.ts";

const ITEM = { name: "a", seq: 3 };

function fixture() {
  const offers = new GossipOffers({
    clock: new ManualClock(),
    peers: new InProcessPeers(),
  });
  const unsent = () =>
    offers.takeUnsent("peer", [ITEM], {
      key: ({ name }) => name,
      version: ({ seq }) => seq,
    });
  return { offers, unsent };
}

test("an item is offered once", () => {
  const { unsent } = fixture();
  expect(unsent()).toEqual([ITEM]);
  expect(unsent()).toEqual([]);
});

test("an item received from a peer is not offered back to it", () => {
  const { offers, unsent } = fixture();
  offers.received("peer", "a", 3);
  expect(unsent()).toEqual([]);
});

test("everything is offered again over a new link", () => {
  const { offers, unsent } = fixture();
  unsent();
  offers.forget("peer");
  expect(unsent()).toEqual([ITEM]);
});
