import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { codec, encodeFrame, FrameError, HEADER_BYTES } from "./frame.ts";
import {
  decode,
  type HandshakeChannel,
  performHandshake,
  Side,
  sign,
} from "./handshake.ts";

type Alter = (bytes: Buffer, index: number) => Buffer;

// Both ends of an in-memory channel; `alter` may change each frame's content.
function channelPair(
  alter: Alter = (bytes) => bytes,
): [HandshakeChannel, HandshakeChannel] {
  const queues: Buffer[][] = [[], []];
  const waiting: (((bytes: Buffer) => void) | undefined)[] = [];
  let sent = 0;
  const channel = (to: number, from: number): HandshakeChannel => ({
    send: (bytes) => {
      const content = alter(bytes.subarray(HEADER_BYTES), sent++);
      const resolve = waiting[to];
      waiting[to] = undefined;
      if (resolve !== undefined) resolve(content);
      else queues[to].push(content);
    },
    receive: () => {
      const next = queues[from].shift();
      if (next !== undefined) return Promise.resolve(next);
      return new Promise((resolve) => waiting[from] = resolve);
    },
  });
  return [channel(1, 0), channel(0, 1)];
}

function startHandshake(options: {
  secrets?: [string, string];
  max?: [number, number];
  min?: [number, number];
  alter?: Alter;
  expected?: string;
}) {
  const [secretA, secretB] = options.secrets ?? ["s", "s"];
  const [maxA, maxB] = options.max ?? [1, 1];
  const [minA, minB] = options.min ?? [1, 1];
  const [a, b] = channelPair(options.alter);
  const dialler = performHandshake(a, {
    side: Side.Dialler,
    secret: secretA,
    vm: "vm-a",
    incarnation: "1",
    expected: options.expected,
    versions: { min: minA, max: maxA },
  });
  const acceptor = performHandshake(b, {
    side: Side.Acceptor,
    secret: secretB,
    vm: "vm-b",
    incarnation: "1",
    versions: { min: minB, max: maxB },
  });
  acceptor.catch(() => {});
  dialler.catch(() => {});
  return { dialler, acceptor };
}

test("both ends derive the same two keys, one for each direction", async () => {
  const { dialler, acceptor } = startHandshake({});
  const [a, b] = await Promise.all([dialler, acceptor]);
  expect(a.sendKey.equals(b.receiveKey)).toEqual(true);
  expect(b.sendKey.equals(a.receiveKey)).toEqual(true);
  expect(a.sendKey.equals(a.receiveKey)).toEqual(false);
});

test("daemons negotiate the newest common protocol version", async () => {
  const { dialler, acceptor } = startHandshake({ max: [3, 2] });
  expect((await dialler).version).toEqual(2);
  expect((await acceptor).version).toEqual(2);
});

test("a handshake fails without a common protocol version", async () => {
  const { acceptor } = startHandshake({ min: [3, 1], max: [4, 2] });
  await expect(acceptor).toBeRejectedWith(FrameError);
});

test("a peer with a wrong secret is rejected", async () => {
  const { acceptor } = startHandshake({ secrets: ["wrong", "s"] });
  await expect(acceptor).toBeRejectedWith(FrameError);
});

test("a peer other than the one dialled is rejected", async () => {
  const { dialler } = startHandshake({ expected: "vm-c" });
  await expect(dialler).toBeRejectedWith(FrameError);
});

test("a hello altered in transit is rejected", async () => {
  const alter: Alter = (bytes, index) => {
    if (index !== 0) return bytes;
    const hello = codec.decode(bytes) as Record<string, unknown>;
    return codec.encode({ ...hello, max: 7 });
  };
  const { acceptor } = startHandshake({ alter, max: [1, 9] });
  await expect(acceptor).toBeRejectedWith(FrameError);
});

test("unknown fields of a newer hello are ignored", async () => {
  const { dialler, acceptor } = startHandshake({});
  await Promise.all([dialler, acceptor]);
  const [a, b] = channelPair();
  const run = performHandshake(b, {
    side: Side.Acceptor,
    secret: "s",
    vm: "vm-b",
    incarnation: "1",
  });
  run.catch(() => {});
  const hello = {
    min: 1,
    max: 9,
    vm: "vm-a",
    incarnation: "1",
    nonce: Buffer.alloc(16),
    colour: "blue",
  };
  a.send(encodeFrame(codec.encode(hello)));
  const answer = decode(await a.receive()) as { vm: string };
  expect(answer.vm).toEqual("vm-b");
});

test("a signature is valid for one key, sequence and content only", () => {
  const key = Buffer.alloc(32, 1);
  const content = Buffer.from("content");
  const mac = sign(key, 5, content);
  expect(mac.equals(sign(key, 5, content))).toEqual(true);
  expect(mac.equals(sign(key, 6, content))).toEqual(false);
  expect(mac.equals(sign(key, 5, Buffer.from("other")))).toEqual(false);
});

test("any bytes are decoded or rejected, in bounded memory", () => {
  const before = process.memoryUsage().rss;
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 64 }), (bytes) => {
      try {
        decode(bytes);
      } catch (error) {
        expect(error).toBeA(FrameError);
      }
    }),
    { seed: 2, numRuns: 20_000 },
  );
  const grownBytes = process.memoryUsage().rss - before;
  expect(grownBytes).toBeLessThan(256 * 1024 * 1024);
});
