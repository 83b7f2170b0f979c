import { expect } from "earl";
import { test } from "node:test";
import { runMainJob } from "./demo.ts";

test("the main job runs end to end over separate processes", async () => {
  const failed: string[] = [];
  const ok = await runMainJob(({ stage, what, ok }) => {
    if (!ok) failed.push(`${stage}: ${what}`);
  });
  expect(failed).toEqual([]);
  expect(ok).toEqual(true);
});
