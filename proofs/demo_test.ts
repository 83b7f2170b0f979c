import { expect } from "earl";
import { test } from "node:test";
import { runDemo } from "./demo.ts";

test("all stages of the demo succeed with daemons as processes", async () => {
  const failed: string[] = [];
  const ok = await runDemo(({ stage, detail, ok }) => {
    if (!ok) failed.push(`${stage}: ${detail}`);
  });
  expect(failed).toEqual([]);
  expect(ok).toEqual(true);
});
