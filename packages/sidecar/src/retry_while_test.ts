import t from "tap";
import { waitFor } from "@tanagercove/test_helpers";
import { RetryWhile } from "./retry_while.ts";

// Guards against a health check for each change of an entry, and against none for long after many that did not help.
t.test("should make attempts with growing delays until none is needed, then begin anew", async (t) => {
  let isNeeded = true;
  const attemptsMs: number[] = [];
  const retry = new RetryWhile({
    isNeeded: () => isNeeded,
    attempt: () => attemptsMs.push(performance.now()),
    minDelayMs: 40,
    maxDelayMs: 10_000,
  });
  t.teardown(() => retry.close());
  for (let i = 0; i < 50; i += 1) retry.check();
  t.equal(attemptsMs.length, 1);
  await waitFor(() => attemptsMs.length === 4);
  const gapMs = (i: number) => attemptsMs[i]! - attemptsMs[i - 1]!;
  t.ok(gapMs(2) >= 75 && gapMs(3) >= 155, `${gapMs(2)}, ${gapMs(3)}`);
  isNeeded = false;
  retry.check();
  isNeeded = true;
  retry.check();
  await waitFor(() => attemptsMs.length === 5);
  t.ok(gapMs(4) < 155, `${gapMs(4)}`);
});
