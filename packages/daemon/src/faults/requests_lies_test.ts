import { requestFaultTest } from "@tanagercove/test_helpers";

const VICTIM = "reservations-1-1";

// Guards against a loss of service when health is wrong while the upstream serves.
requestFaultTest(
  "should serve callers while an upstream says draining with load 0 and serves",
  async (_t, faultCase) => {
    faultCase.startLoad();
    await faultCase.waitForRunning(VICTIM);
    const upstream = faultCase.upstream(VICTIM);
    await upstream.control({ action: "lie", state: "draining", load: 0 });
    await faultCase.expectServedAgain(undefined, "the lie");
    await upstream.control({ action: "lie" });
    await faultCase.expectServedAgain(undefined, "the end of the lie");
  },
);

// Guards against trust in a health answer of an upstream that answers no request.
requestFaultTest(
  "should tell the truth about requests on a frozen upstream that said it was ready and idle",
  async (_t, faultCase) => {
    faultCase.startLoad();
    const upstream = faultCase.upstream(VICTIM);
    await upstream.control({ action: "lie", state: "ready", load: 0 });
    await faultCase.stopDuringPosts(VICTIM, {
      stop: () => upstream.control({ action: "freeze" }),
      resume: () => upstream.control({ action: "thaw" }),
    });
    await upstream.control({ action: "thaw" });
    await faultCase.expectServedAgain();
  },
);
