/**
 * Case 5: streams that run when their machine gets SIGTERM, and that their
 * sampler ends before the last sixth of `grace_s`, are cut by the machine.
 *
 * @module
 */

import { type ClientAnswer, openStream } from "../lib/client.ts";
import { LM } from "../lib/routes.ts";
import {
  RawSampler,
  type SamplerRequest,
  StreamAnswer,
} from "../lib/sampler.ts";
import { HOST, runCase, type Site, sleep } from "../lib/site.ts";

const STREAMS = 4;

const EVENT_INTERVAL_MS = 50;

/** Events of a stream, which thus lasts 6.5 s. */
const EVENTS = 130;

/** Time from the start of the streams to SIGTERM. */
const SIGNAL_AFTER_MS = 100;

const GRACE_MS = 8000;

/** `contact_ms`: the machines are in touch this long after their start. */
const CONTACT_MS = 3000;

/** In the last sixth of it, a sampler's work is no longer counted. */
const COUNTED_MS = GRACE_MS * 5 / 6;

const ROUTE = {
  name: "chats",
  host: HOST,
  prefix: "/chats/",
  type: "stream",
  timeout_ms: 10_000,
  latency_goal_ms: 500,
  priority: 1,
  service: "lm",
  max_attempts: 3,
};

async function run(site: Site, trouble: boolean): Promise<readonly string[]> {
  const { journal } = site;
  const sampler = new RawSampler({ id: "lm-1", model: "m" });
  const startedAt = new Map<string, number>();
  sampler.onRequest = (request) => {
    startedAt.set(request.id, performance.now());
    void serve(site, request);
  };
  await sampler.start();
  await site.start([ROUTE], [LM]);
  site.list("lm-1", {
    service: "lm",
    address: sampler.address,
    slots: 8,
    model: "m",
  });
  const [daemon] = await site.startDaemons(2);
  await sleep(CONTACT_MS);
  let signalledAt = Infinity;
  const streams = Array.from({ length: STREAMS }, async (_, n) => {
    const id = `stream-${n + 1}`;
    journal.write(`${id} is sent to front-1`);
    const answer = await openStream(daemon, { id, path: `/chats/${n}` });
    const events = eventsOf(answer);
    journal.write(
      `${id} is answered ${answer.status} with ${events} of ${EVENTS} events, ` +
        `whole by its framing: ${answer.whole}`,
    );
    return { id, whole: answer.whole, events };
  });
  await sleep(SIGNAL_AFTER_MS);
  if (trouble) {
    signalledAt = performance.now();
    daemon.process.kill("SIGTERM");
    journal.write("front-1 gets SIGTERM");
  }
  const ended = await Promise.all(streams);
  sampler.stop();
  // The rule excuses what the sampler would still make in the last sixth.
  const isCounted = (id: string) =>
    (startedAt.get(id) ?? Infinity) + EVENTS * EVENT_INTERVAL_MS - signalledAt <
      COUNTED_MS;
  const cut = ended.filter(({ whole, events }) => !whole || events < EVENTS);
  if (!trouble && cut.length > 0) throw new Error("Not all are whole");
  return cut.filter(({ id }) => isCounted(id)).map(({ id, events }) =>
    `${id} ended after ${events} of ${EVENTS} events`
  );
}

async function serve(
  { journal }: Site,
  request: SamplerRequest,
): Promise<void> {
  const { id } = request;
  journal.write(`lm-1 runs ${id}`);
  const answer = new StreamAnswer(request);
  const startedAt = performance.now();
  for (let n = 1; n <= EVENTS && answer.open; n++) {
    answer.send(n);
    await sleep(startedAt + n * EVENT_INTERVAL_MS - performance.now());
  }
  answer.end();
  journal.write(
    `lm-1 ${answer.open ? "has finished" : "is cut off from"} ${id}`,
  );
}

function eventsOf({ body }: ClientAnswer): number {
  return body.toString().split("\n\n").length - 1;
}

void runCase("review/5", run);
