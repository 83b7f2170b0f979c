/**
 * Handshake of a link: mutual authentication by the shared secret, negotiation
 * of the protocol version, and derivation of the keys that sign frames.
 *
 * Four frames: the dialler's hello, the acceptor's hello, the dialler's proof,
 * the acceptor's proof. A proof is an HMAC over both hellos as sent, hence over
 * both nonces, VM ids and version ranges, and over the prover's side, so that
 * replayed, reflected and altered messages are detected.
 *
 * @module
 */

import {
  createHash,
  createHmac,
  randomBytes,
  timingSafeEqual,
} from "node:crypto";
import { z } from "zod";
import { codec, encodeFrame, FrameError } from "./frame.ts";

/** Oldest and newest protocol version that this daemon supports. */
export const PROTOCOL_VERSIONS = { min: 1, max: 1 } as const;

const NONCE_BYTES = 16;

/** Size of a frame's signature, a truncated HMAC. */
export const MAC_BYTES = 16;

// Unknown fields are ignored, so later versions may add some.
const helloSchema = z.object({
  min: z.number().int(),
  max: z.number().int(),
  vm: z.string().min(1).max(256),
  incarnation: z.string().min(1).max(256),
  nonce: z.instanceof(Uint8Array).refine((it) => it.length === NONCE_BYTES),
});

/** The first message from each side of a link. */
export type Hello = z.infer<typeof helloSchema>;

/** Which end of a link this daemon is. */
export enum Side {
  Dialler = "dialler",
  Acceptor = "acceptor",
}

/** Result of a completed handshake. */
export interface Session {
  readonly peer: Hello;
  readonly version: number;
  readonly sendKey: Buffer;
  readonly receiveKey: Buffer;
}

/** The connection as the handshake uses it. */
export interface HandshakeChannel {
  send(bytes: Buffer): void;
  /** Resolves to the next frame's content; rejects if the connection ends. */
  receive(): Promise<Buffer>;
}

/** Runs one side of the handshake; throws `FrameError` if the peer fails it. */
export async function performHandshake(channel: HandshakeChannel, options: {
  side: Side;
  secret: string;
  vm: string;
  incarnation: string;
  /** VM id of the peer that the dialler means to reach. */
  expected?: string;
  versions?: { readonly min: number; readonly max: number };
}): Promise<Session> {
  const { side, secret, vm, incarnation } = options;
  const versions = options.versions ?? PROTOCOL_VERSIONS;
  const nonce = randomBytes(NONCE_BYTES);
  const localHello = codec.encode({ ...versions, vm, incarnation, nonce });
  if (side === Side.Dialler) channel.send(encodeFrame(localHello));
  const remoteHello = await channel.receive();
  const peer = decodeHello(remoteHello);
  if (peer.vm === vm) throw new FrameError(`Peer "${vm}" is this daemon`);
  if (options.expected !== undefined && options.expected !== peer.vm) {
    throw new FrameError(`Peer is "${peer.vm}", not the VM that was dialled`);
  }
  const version = negotiateVersion(versions, peer);
  if (side === Side.Acceptor) channel.send(encodeFrame(localHello));

  const isDialler = side === Side.Dialler;
  const hellos = isDialler
    ? [localHello, remoteHello]
    : [remoteHello, localHello];
  const transcriptHash = digest(hellos);
  const key = (use: string) =>
    createHmac("sha256", secret).update(use).update(transcriptHash).digest();
  const otherSide = isDialler ? Side.Acceptor : Side.Dialler;
  const proof = key(`toucanwind proof ${side}`);
  const wanted = key(`toucanwind proof ${otherSide}`);
  // The dialler proves first, so that an acceptor signs nothing for a peer that
  // is not authenticated.
  if (isDialler) channel.send(encodeFrame(proof));
  verifyProof(await channel.receive(), wanted);
  if (!isDialler) channel.send(encodeFrame(proof));
  return {
    peer,
    version,
    sendKey: key(`toucanwind frames ${side}`),
    receiveKey: key(`toucanwind frames ${otherSide}`),
  };
}

/** Signs a frame's content with its sequence number in its direction. */
export function sign(key: Buffer, seq: number, content: Uint8Array): Buffer {
  const sequenceBytes = Buffer.allocUnsafe(8);
  sequenceBytes.writeBigUInt64BE(BigInt(seq));
  return createHmac("sha256", key).update(sequenceBytes).update(content)
    .digest()
    .subarray(0, MAC_BYTES);
}

function decodeHello(bytes: Buffer): Hello {
  const parsed = helloSchema.safeParse(decode(bytes));
  if (!parsed.success) throw new FrameError("Hello is malformed");
  return parsed.data;
}

/** Decodes a frame's content; throws `FrameError` if it isn't valid CBOR. */
export function decode(bytes: Uint8Array): unknown {
  try {
    return codec.decode(bytes);
  } catch {
    throw new FrameError("Frame is not valid CBOR");
  }
}

function negotiateVersion(
  local: { readonly min: number; readonly max: number },
  remote: Hello,
): number {
  const version = Math.min(local.max, remote.max);
  if (version < Math.max(local.min, remote.min)) {
    throw new FrameError(`No common protocol version with "${remote.vm}"`);
  }
  return version;
}

function digest(parts: readonly Uint8Array[]): Buffer {
  const hash = createHash("sha256");
  for (const part of parts) {
    const length = Buffer.allocUnsafe(4);
    length.writeUInt32BE(part.length);
    hash.update(length).update(part);
  }
  return hash.digest();
}

function verifyProof(actual: Buffer, wanted: Buffer): void {
  if (actual.length !== wanted.length || !timingSafeEqual(actual, wanted)) {
    throw new FrameError("Peer's proof of the shared secret is invalid");
  }
}
