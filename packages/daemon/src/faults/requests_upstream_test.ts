import { requestFaultTest } from "@tanagercove/test_helpers";

const VICTIM = "reservations-1-1";

// Guards against a retry of a POST that the killed upstream had started.
requestFaultTest(
  "should run no non-idempotent request twice when an upstream is killed during requests",
  async (t, faultCase) => {
    faultCase.startLoad();
    const posts = await faultCase.startSlowPosts(VICTIM, {
      caller: "reservations-1-2",
      serviceTimeMs: 5_000,
    });
    await faultCase.upstream(VICTIM).kill();
    t.same(await posts.outcomes, posts.ids.map(() => "unknown cut"));
    await faultCase.expectServedAgain(undefined, "the kill");
    await faultCase.upstream(VICTIM).start();
    await faultCase.expectServedAgain(undefined, "the restart");
  },
);

// Guards against the outcome "not run" for a request that the upstream reads after it resumes.
requestFaultTest(
  "should report correct outcomes for requests on an upstream that is paused past their deadline",
  async (_t, faultCase) => {
    faultCase.startLoad();
    await faultCase.stopDuringPosts(VICTIM, {
      stop: () => faultCase.upstream(VICTIM).pause(),
      resume: () => faultCase.upstream(VICTIM).resume(),
    });
    faultCase.upstream(VICTIM).resume();
    await faultCase.expectServedAgain();
  },
);
