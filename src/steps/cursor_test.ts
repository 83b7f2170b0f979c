import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { Bitmap, CursorCodec } from "./cursor.ts";

const codec = new CursorCodec({ secret: "secret" });

test("a bitmap contains exactly the added numbers", () => {
  fc.assert(fc.property(
    fc.uniqueArray(fc.nat(3000)),
    fc.nat(3000),
    (numbers, other) => {
      const bitmap = new Bitmap().with(numbers);
      expect(bitmap.has(other)).toEqual(numbers.includes(other));
      expect(bitmap.count(3001)).toEqual(numbers.length);
    },
  ));
});

test("a cursor round-trips through its encoding", () => {
  const handover = { id: "h", samples: 2, promptTokens: 3, outputTokens: 4 };
  const held = new Bitmap().with([0, 9]);
  const text = codec.encode({ name: "step/a/b/c", held, handover });
  const cursor = codec.decode(text).unwrap();
  expect(cursor.handover).toEqual(handover);
  expect(cursor.held.bytes).toEqual(held.bytes);
});

test("a changed cursor is refused", () => {
  const text = codec.encode({ name: "step/a/b/c", held: new Bitmap() });
  fc.assert(fc.property(fc.nat(text.length - 1), (at) => {
    const other = text[at] === "A" ? "B" : "A";
    const changed = text.slice(0, at) + other + text.slice(at + 1);
    const same = Buffer.from(changed, "base64url")
      .equals(Buffer.from(text, "base64url"));
    expect(codec.decode(changed).ok).toEqual(same);
  }));
});

test("arbitrary text is refused without throwing", () => {
  fc.assert(fc.property(fc.string(), (text) => {
    expect(codec.decode(text).err).toEqual(true);
  }));
});

test("a cursor signed with another secret is refused", () => {
  const other = new CursorCodec({ secret: "other" });
  const text = other.encode({ name: "step/a/b/c", held: new Bitmap() });
  expect(codec.decode(text).err).toEqual(true);
});
