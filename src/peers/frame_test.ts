import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { encodeFrame, FrameError, FrameReader } from "./frame.ts";

function readFrames(
  reader: FrameReader,
  bytes: Buffer,
  chunkSizes: readonly number[],
) {
  const found: string[] = [];
  let at = 0;
  for (const cut of [...chunkSizes, bytes.length]) {
    reader.push(bytes.subarray(at, Math.min(at + cut, bytes.length)));
    at = Math.min(at + cut, bytes.length);
    for (let it = reader.next(); it !== undefined; it = reader.next()) {
      found.push(it.toString("hex"));
    }
  }
  return found;
}

test("frames are read unchanged, however the byte stream is split", () => {
  const contents = fc.array(fc.uint8Array({ maxLength: 300 }));
  const chunkSizes = fc.array(fc.integer({ min: 0, max: 400 }));
  fc.assert(
    fc.property(contents, chunkSizes, (contents, chunkSizes) => {
      const bytes = Buffer.concat(contents.map((it) => encodeFrame(it)));
      const found = readFrames(
        new FrameReader({ maxBytes: 300 }),
        bytes,
        chunkSizes,
      );
      expect(found).toEqual(
        contents.map((it) => Buffer.from(it).toString("hex")),
      );
    }),
    { seed: 1 },
  );
});

test("a frame over the limit is rejected by its length alone", () => {
  const reader = new FrameReader({ maxBytes: 10 });
  reader.push(Buffer.from([0x7f, 0xff, 0xff, 0xff]));
  expect(() => reader.next()).toThrow(FrameError);
});
