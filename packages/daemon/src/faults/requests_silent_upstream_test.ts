import { requestFaultTest, waitFor } from "@tanagercove/test_helpers";

const VICTIM = "reservations-1-1";

/** Documented limit of the time from the thaw until the upstream runs requests again. */
const WORK_AGAIN_BOUND_MS = 3_000;

/**
 * Number of answers awaited before the fault. The daemon on the upstream's VM learns from them how long answers
 * take. Before the first answer, the daemon can detect a silent upstream only by an unanswered health check.
 */
const MEASURED_ANSWERS = 5;

interface Dump {
  readonly requests: {
    readonly upstreamWatch: { readonly silent: boolean };
  };
  readonly ejected_upstreams: readonly string[];
}

// Guards against requests lost on a frozen upstream among healthy ones, and against using it again too late.
for (const how of ["stopped", "frozen"] as const) {
  requestFaultTest(
    `should serve callers while an upstream is ${how}, and use it again within 3 s after it resumes`,
    async (t, faultCase) => {
      const dump = async (id: string) =>
        await faultCase.daemon(id).dump() as Dump;
      const answeredSince = (sinceMs: number) =>
        faultCase.executions(VICTIM).filter(({ startedAtMs, end }) =>
          startedAtMs > sinceMs && end === "answered"
        );
      const upstream = faultCase.upstream(VICTIM);
      faultCase.startLoad();
      await waitFor(
        () => answeredSince(0).length >= MEASURED_ANSWERS,
        { what: "answers of the upstream" },
      );
      if (how === "stopped") upstream.pause();
      else await upstream.control({ action: "freeze" });
      await faultCase.expectServedAgain(undefined, "the freeze");
      const { upstreamWatch } = (await dump(VICTIM)).requests;
      t.ok(upstreamWatch.silent, "the daemon on its VM detected the silence");
      await waitFor(async () => {
        const dumps = await Promise.all(
          faultCase.mesh.fleet.daemons.map(({ id }) => dump(id)),
        );
        return dumps.some(({ ejected_upstreams }) =>
          ejected_upstreams.includes(VICTIM)
        );
      }, { what: "ejection by a caller's daemon" });
      if (how === "stopped") upstream.resume();
      else await upstream.control({ action: "thaw" });
      const thawedAtMs = Date.now();
      await waitFor(
        () => answeredSince(thawedAtMs).length > 0,
        {
          what: "new answered requests on the upstream",
          timeoutMs: WORK_AGAIN_BOUND_MS,
        },
      );
      await faultCase.expectServedAgain(undefined, "the thaw");
      const after = (await dump(VICTIM)).requests.upstreamWatch;
      t.notOk(after.silent, "the daemon on its VM detected that it answers");
      const log = faultCase.mesh.fleet.formatLogs();
      for (
        const event of [
          "upstream_silent",
          "upstream_answers",
          "upstream_ejected",
          "upstream_returned",
        ]
      ) t.match(log, `"event":"${event}"`);
    },
  );
}
