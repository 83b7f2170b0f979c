/**
 * Case 4: an item of a batch submission has headers `X-Tenant` and `X-Api-Key`
 * of its client. The sampler gets both: the first beside the one that the system
 * sets, and before it.
 *
 * @module
 */

import { call } from "../lib/client.ts";
import { BATCH_ROUTE, LM } from "../lib/routes.ts";
import {
  RawSampler,
  type SamplerRequest,
  StreamAnswer,
} from "../lib/sampler.ts";
import { API_KEY, runCase, type Site, sleep, until } from "../lib/site.ts";

const ITEMS = 8;
const EVENTS = 5;
const EVENT_INTERVAL_MS = 10;
const RUN_TIMEOUT_MS = 15_000;

/** The tenant that holds the client's key, and the one that the client names. */
const OWN_TENANT = "acme";
const OTHER_TENANT = "umbrella";

async function run(site: Site, trouble: boolean): Promise<readonly string[]> {
  const { journal } = site;
  const sampler = new RawSampler({ id: "lm-1", model: "m" });
  const runs = new Map<string, { tenants: readonly string[]; key: boolean }>();
  sampler.onRequest = (request) => {
    const tenants = request.fields.filter(([name]) => name === "x-tenant")
      .map(([, value]) => value);
    const key = request.fields.some(([, value]) => value === API_KEY);
    runs.set(request.id, { tenants, key });
    journal.write(
      `lm-1 runs ${request.id} with X-Tenant ${tenants.join(", ")} and ` +
        (key ? "the client's key" : "no key"),
    );
    void serve(request);
  };
  await sampler.start();
  await site.start([BATCH_ROUTE], [LM]);
  site.list("lm-1", {
    service: "lm",
    address: sampler.address,
    slots: 8,
    model: "m",
  });
  const [daemon] = await site.startDaemons(1);
  journal.write(`a batch submission is sent with the key of ${OWN_TENANT}`);
  const submitted = await call(daemon, {
    id: "batch-1",
    path: "/rollouts/batch-1",
    body: batch(
      trouble ? { "X-Tenant": OTHER_TENANT, "X-Api-Key": API_KEY } : {},
    ),
    fields: { "content-type": "application/json" },
  });
  journal.write(`the batch submission is answered ${submitted.status}`);
  if (submitted.status !== 202) {
    sampler.stop();
    if (trouble && submitted.status === 400) return [];
    throw new Error("Not accepted");
  }
  await until(() => runs.size === ITEMS, RUN_TIMEOUT_MS);
  sampler.stop();
  return [...runs].flatMap(([id, { tenants, key }]) => [
    ...tenants.length === 1 && tenants[0] === OWN_TENANT
      ? []
      : [`${id} ran with X-Tenant ${tenants.join(", ")}`],
    ...key ? [`${id} ran with the client's key`] : [],
  ]);
}

async function serve(request: SamplerRequest): Promise<void> {
  const answer = new StreamAnswer(request);
  for (let n = 1; n <= EVENTS; n++) {
    answer.send(n);
    await sleep(EVENT_INTERVAL_MS);
  }
  answer.end();
}

function batch(headers: Readonly<Record<string, string>>): string {
  return JSON.stringify({
    step: 0,
    model: "m",
    min_version: 1,
    desired: ITEMS,
    items: Array.from({ length: ITEMS }, (_, n) => ({
      id: `item-${n}`,
      path: `/rollouts/run/${n}`,
      headers: {
        "X-Model": "m",
        "X-Token-Usage": "10,100",
        "X-Prompt-Prefix": "aa:10",
        ...headers,
      },
      body: Buffer.from(`body of ${n}`).toString("base64"),
      tokens: 110,
      group: `g${n}`,
    })),
  });
}

void runCase("review/4", run);
