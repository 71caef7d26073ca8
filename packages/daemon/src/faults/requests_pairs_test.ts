import { requestFaultTest } from "@tanagercove/test_helpers";

const VICTIM = "reservations-1-1";
/** POSTs that run for longer than it takes to start a fault on a busy machine. */
const SLOW_POSTS = { caller: "reservations-1-2", serviceTimeMs: 5_000 };

// Guards against a second run in another zone when the daemon on the upstream's VM dies while its zone is
// cut off.
requestFaultTest(
  "should run no non-idempotent request twice when an owner daemon is killed while its zone is cut off",
  async (_t, faultCase) => {
    faultCase.startLoad(faultCase.otherDaemons(VICTIM));
    const heal = faultCase.cut("zone-a", ["zone-b", "zone-c"]);
    await faultCase.waitForRunning(VICTIM);
    await faultCase.daemon(VICTIM).kill();
    await faultCase.expectServedAgain(
      faultCase.otherDaemons(VICTIM),
      "the kill",
    );
    heal();
    await faultCase.expectServedAgain(
      faultCase.otherDaemons(VICTIM),
      "the cut",
    );
  },
);

// Guards against a request path that needs the platform in order to handle a frozen upstream.
requestFaultTest(
  "should run no non-idempotent request twice when an upstream is frozen during a platform outage",
  async (_t, faultCase) => {
    const { platform } = faultCase.mesh;
    faultCase.startLoad();
    platform.setMode("outage");
    await faultCase.stopDuringPosts(VICTIM, {
      stop: () => faultCase.upstream(VICTIM).control({ action: "freeze" }),
      resume: () => faultCase.upstream(VICTIM).control({ action: "thaw" }),
    });
    await faultCase.upstream(VICTIM).control({ action: "thaw" });
    await faultCase.expectServedAgain(undefined, "the freeze");
    platform.setMode("normal");
    await faultCase.expectServedAgain(undefined, "the outage");
  },
);

requestFaultTest(
  "should report correct outcomes for POSTs under two faults",
  async (t, faultCase) => {
    faultCase.startLoad();
    // Guards against a second run when the caller's daemon has fewer zones left for retries.
    await t.test(
      "should report correct outcomes for POSTs through a killed owner daemon while another zone is cut off",
      async (t) => {
        const heal = faultCase.cut("zone-b", ["zone-a", "zone-c"]);
        const posts = await faultCase.startSlowPosts(VICTIM, SLOW_POSTS);
        await faultCase.daemon(VICTIM).kill();
        t.same(await posts.outcomes, posts.ids.map(() => "unknown cut"));
        await faultCase.expectServedAgain(
          faultCase.otherDaemons(VICTIM),
          "the kill",
        );
        heal();
        await faultCase.daemon(VICTIM).start();
      },
    );

    // Guards against late retries by a daemon that notices the upstream's death only when it resumes.
    await t.test(
      "should report correct outcomes for POSTs on a killed upstream while the caller's daemon is paused",
      async (t) => {
        const upstream = faultCase.upstream("reservations-2-1");
        const posts = await faultCase.startSlowPosts("reservations-2-1", {
          ...SLOW_POSTS,
          caller: "reservations-2-2",
        });
        faultCase.daemon("reservations-2-2").pause();
        await upstream.kill();
        await upstream.start();
        faultCase.daemon("reservations-2-2").resume();
        t.same(await posts.outcomes, posts.ids.map(() => "unknown cut"));
        await faultCase.expectServedAgain(undefined, "the pause");
      },
    );
  },
);
