import { requestFaultTest } from "@tanagercove/test_helpers";

const VICTIM = "reservations-1-1";

// Guards against an outage when an upstream serves but its health checks return wrong data.
requestFaultTest(
  "should serve callers while an upstream that serves requests reports draining and load 0",
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

// Guards against trusting the health checks of an upstream that answers no requests.
requestFaultTest(
  "should report correct outcomes for requests on a frozen upstream that had reported ready and load 0",
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
