/**
 * Who may read the admin pages: whoever shows the operators' token, or, where
 * none is set, whoever asks from the VM itself.
 *
 * @module
 */

import type { FastifyRequest } from "fastify";
import { createHash, timingSafeEqual } from "node:crypto";
import { Reason, Refusal, Verdict } from "../kernel/mod.ts";

const LOOPBACK = /^(127\.|::1$|::ffff:127\.)/;
const BEARER = /^Bearer +(\S+)$/i;

/** The refusal of a request for an admin page; `undefined` if it may pass. */
export function admit(
  request: FastifyRequest,
  operatorSha256 = "",
): Refusal | undefined {
  if (operatorSha256 === "") {
    return LOOPBACK.test(request.socket.remoteAddress ?? "")
      ? undefined
      : refused(Reason.NoKey, "Admin pages are served on the VM itself only");
  }
  const token = BEARER.exec(request.headers.authorization ?? "")?.[1];
  if (token === undefined) {
    return refused(Reason.NoKey, "Admin pages need the operators' token");
  }
  const given = createHash("sha256").update(token).digest();
  const known = Buffer.from(operatorSha256, "hex");
  return given.length === known.length && timingSafeEqual(given, known)
    ? undefined
    : refused(Reason.UnknownKey, "This is not the operators' token");
}

function refused(reason: Reason, message: string): Refusal {
  return new Refusal({ verdict: Verdict.NotRun, reason, message });
}
