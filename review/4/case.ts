/**
 * Case 4: a sampler that was full sends its refusal of a request twice. The
 * second copy arrives where the answer to the same request is expected, which
 * was sent again on the same connection and runs.
 *
 * @module
 */

import { call } from "../lib/client.ts";
import { APP, plainRoute } from "../lib/routes.ts";
import { answer, RawSampler, type SamplerRequest } from "../lib/sampler.ts";
import { runCase, type Site, sleep } from "../lib/site.ts";

const REQUESTS = 20;

/** Time that a run takes. */
const RUN_MS = 150;

/** When the second copy of a refusal is sent after the next request arrived. */
const COPY_AFTER_MS = 5;

/** Time after the last answer in which a request may still run. */
const LATE_RUN_MS = 1000;

/** A sampler that refuses each request once, and then runs it. */
class FullSampler {
  readonly raw = new RawSampler({ id: "app-1" });
  readonly runs = new Map<string, number>();
  readonly #site: Site;
  readonly #sendsCopies: boolean;
  /** Connection on which each request was refused. */
  readonly #refusedOn = new Map<string, number>();
  readonly #copied = new Set<string>();
  /** Work of each connection, one request after the other. */
  readonly #work = new Map<number, Promise<void>>();

  constructor(options: { site: Site; sendsCopies: boolean }) {
    this.#site = options.site;
    this.#sendsCopies = options.sendsCopies;
    this.raw.onRequest = (request) => this.#handle(request);
  }

  #handle(request: SamplerRequest): void {
    const { id, connection } = request;
    const refusedOn = this.#refusedOn.get(id);
    if (refusedOn === undefined) {
      this.#refusedOn.set(id, connection);
      this.#site.journal.write(`app-1 is full and refuses ${id}`);
      return this.#refuse(request);
    }
    const copies = this.#sendsCopies && refusedOn === connection &&
      !this.#copied.has(id);
    if (copies) void this.#sendCopy(request);
    const before = this.#work.get(connection) ?? Promise.resolve();
    this.#work.set(connection, before.then(() => this.#run(request)));
  }

  #refuse({ id, socket }: SamplerRequest): void {
    const fields = [`X-Request-Id: ${id}`, "X-Not-Executed: 1"];
    answer(socket, "503 Service Unavailable", fields, "");
  }

  async #sendCopy(request: SamplerRequest): Promise<void> {
    this.#copied.add(request.id);
    await sleep(COPY_AFTER_MS);
    this.#site.journal.write(`app-1 sends its refusal of ${request.id} again`);
    this.#refuse(request);
  }

  async #run({ id, socket, connection }: SamplerRequest): Promise<void> {
    if (socket.destroyed) return;
    this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
    this.#site.journal.write(`app-1 runs ${id} on connection ${connection}`);
    await sleep(RUN_MS);
    const fields = [`X-Request-Id: ${id}`, `X-Response-Seal: seal-${id}`];
    answer(socket, "200 OK", fields, "done");
  }
}

async function run(site: Site, trouble: boolean): Promise<readonly string[]> {
  const { journal } = site;
  const sampler = new FullSampler({ site, sendsCopies: trouble });
  const { raw, runs } = sampler;
  await raw.start();
  await site.start([plainRoute("orders", "non_idempotent")], [APP]);
  site.list("app-1", { service: "app", address: raw.address, slots: 6 });
  const [daemon] = await site.startDaemons(1);
  const statuses = new Map<string, number>();
  for (let n = 1; n <= REQUESTS; n++) {
    const id = `request-${n}`;
    journal.write(`${id} is sent on /orders/`);
    const { status } = await call(daemon, { id, path: `/orders/${n}` });
    journal.write(`${id} is answered ${status}`);
    statuses.set(id, status);
  }
  await sleep(LATE_RUN_MS);
  raw.stop();
  const served = [...statuses.values()].filter((status) => status === 200);
  if (!trouble && served.length < REQUESTS) {
    throw new Error(`Only ${served.length} of ${REQUESTS} were served`);
  }
  return [...statuses.keys()].flatMap((id) => {
    const times = runs.get(id) ?? 0;
    return times > 1 ? [`${id} ran ${times} times`] : [];
  });
}

void runCase("review/4", run);
