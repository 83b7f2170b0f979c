import { expect } from "earl";
import { test } from "node:test";
import { SoloPeers } from "../../stand_ins/peers.ts";
import { ManualClock } from "../kernel/mod.ts";
import { GossipOffers } from "./offers.ts";

const ITEM = { name: "a", seq: 3 };

function fixture() {
  const offers = new GossipOffers({
    clock: new ManualClock(),
    peers: new SoloPeers(),
  });
  const news = () =>
    offers.takeUnsent("peer", [ITEM], {
      key: ({ name }) => name,
      version: ({ seq }) => seq,
    });
  return { offers, news };
}

test("news is offered once", () => {
  const { news } = fixture();
  expect(news()).toEqual([ITEM]);
  expect(news()).toEqual([]);
});

test("what a peer told is not offered back", () => {
  const { offers, news } = fixture();
  offers.received("peer", "a", 3);
  expect(news()).toEqual([]);
});

test("over a new link all is offered again", () => {
  const { offers, news } = fixture();
  news();
  offers.forget("peer");
  expect(news()).toEqual([ITEM]);
});
