import type { ExchangeStep } from "@tanagercove/emulator";
import { requestFaultTest, waitFor } from "@tanagercove/test_helpers";

const VICTIM = "reservations-1-1";
const STEPS: readonly ExchangeStep[] = [
  "accepted",
  "request_read",
  "answer_head",
  "answer_body",
];

// Guards against a second run or a truncated answer when an upstream dies during an exchange.
requestFaultTest(
  "should report correct outcomes when an upstream dies at any step of an exchange",
  async (t, faultCase) => {
    faultCase.startLoad();
    const upstream = faultCase.upstream(VICTIM);
    for (const step of STEPS) {
      await upstream.control({ action: "fail_at", step, scope: "process" });
      await waitFor(() => !upstream.isRunning, {
        what: `death at ${step}`,
        timeoutMs: 20_000,
      });
      t.comment(`died at ${step}`);
      await upstream.start();
      await faultCase.expectServedAgain(undefined, step);
    }
  },
);
