/**
 * Authorization for the admin pages: by the operators' token, or, if none is
 * configured, by a loopback address of the client.
 *
 * @module
 */

import type { FastifyRequest } from "fastify";
import { createHash, timingSafeEqual } from "node:crypto";
import { Reason, Refusal, Verdict } from "../kernel/mod.ts";

const LOOPBACK_ADDRESS = /^(127\.|::1$|::ffff:127\.)/;
const BEARER_CREDENTIALS = /^Bearer +(\S+)$/i;

/** The refusal of an unauthorized request; `undefined` if it is authorized. */
export function refuseUnauthorized(
  request: FastifyRequest,
  operatorSha256 = "",
): Refusal | undefined {
  if (operatorSha256 === "") {
    return LOOPBACK_ADDRESS.test(request.socket.remoteAddress ?? "")
      ? undefined
      : refused(Reason.NoKey, "Admin pages are served on the VM itself only");
  }
  const token = BEARER_CREDENTIALS.exec(request.headers.authorization ?? "")
    ?.[1];
  if (token === undefined) {
    return refused(Reason.NoKey, "Admin pages need the operators' token");
  }
  const tokenHash = createHash("sha256").update(token).digest();
  const operatorHash = Buffer.from(operatorSha256, "hex");
  return tokenHash.length === operatorHash.length &&
      timingSafeEqual(tokenHash, operatorHash)
    ? undefined
    : refused(Reason.UnknownKey, "This is not the operators' token");
}

function refused(reason: Reason, message: string): Refusal {
  return new Refusal({ verdict: Verdict.NotRun, reason, message });
}
