/**
 * Connections whose reset reaches the reader of an answer as an error. An answer
 * without a length is whole only if its connection ended with FIN.
 *
 * @module
 */

import type { Socket } from "node:net";
import { buildConnector } from "undici";

/** Code of each error of an established connection. */
const BROKEN_CONNECTION_CODE = "ERR_BROKEN_CONNECTION";

/** Makes connections whose reset is an error to whoever reads an answer. */
export function faultReportingConnector(
  timeoutMs: number,
): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMs });
  return (options, callback) =>
    connect(options, (...[error, socket]) => {
      if (error !== null) return callback(error, null);
      // Undici takes the code of a reset for the end of an answer. This runs
      // before the listener that undici adds once it has the socket.
      socket.on("error", (fault: NodeJS.ErrnoException) => {
        fault.code = BROKEN_CONNECTION_CODE;
      });
      failOnHiddenReset(socket);
      callback(null, socket);
    });
}

/**
 * Destroys the socket instead of ending it if the end may be a reset. Where data
 * and the hang-up of a connection are polled at once, libuv reports the end
 * without reading the error behind it. A connection that got a FIN only still
 * has a peer; one without data in this turn was read to its end.
 */
function failOnHiddenReset(socket: Socket): void {
  const push = socket.push.bind(socket);
  let lastDataTurn = -1;
  socket.push = (chunk: unknown, encoding?: BufferEncoding): boolean => {
    if (chunk !== null) {
      lastDataTurn = currentTurn();
    } else if (lastDataTurn === turn && !hasPeer(socket)) {
      socket.destroy(new Error("The connection was reset"));
      return false;
    }
    return push(chunk, encoding);
  };
}

/** Asks the system, as nothing has read the address of the peer before. */
function hasPeer(socket: Socket): boolean {
  return socket.remoteAddress !== undefined;
}

/** Turns of the event loop in which data arrived. */
let turn = 0;
let turnEnds = false;

/** The number of this turn of the event loop, which ends after polling. */
function currentTurn(): number {
  if (!turnEnds) {
    turnEnds = true;
    setImmediate(() => {
      turnEnds = false;
      turn += 1;
    });
  }
  return turn;
}
