import { requestFaultTest } from "@tanagercove/test_helpers";

const VICTIM = "reservations-1-1";
const NEIGHBOUR = "reservations-1-2";

// Guards against a second run of requests on the upstream and against a loss of requests in the queue.
requestFaultTest(
  "should report correct outcomes for requests in the queue and on the upstream of a killed daemon",
  async (t, faultCase) => {
    faultCase.startLoad(faultCase.otherDaemons(VICTIM));
    const bursts = await faultCase.fillQueue(VICTIM, [VICTIM, NEIGHBOUR]);
    await faultCase.waitForRunningPostOfOthers(VICTIM);
    await faultCase.daemon(VICTIM).kill();
    const served = faultCase.expectServedAgain(faultCase.otherDaemons(VICTIM));
    await bursts.ended;
    await served;
    t.ok(
      faultCase.calls.some(({ outcome, reason }) =>
        outcome === "unknown" && reason === "cut"
      ),
      "requests were in flight at the kill",
    );
  },
);

// Guards against a resumed daemon that still starts requests whose deadline has passed.
requestFaultTest(
  "should run no non-idempotent request twice when a daemon is paused past the deadline and resumes",
  async (_t, faultCase) => {
    faultCase.startLoad();
    await faultCase.waitForRunning(VICTIM);
    faultCase.daemon(VICTIM).pause();
    await faultCase.waitForCall(
      "request of another daemon that reached the stopped daemon",
      ({ reason, daemonId }) => reason === "deadline" && daemonId !== VICTIM,
    );
    faultCase.daemon(VICTIM).resume();
    await faultCase.expectServedAgain();
  },
);
