import { setTimeout as sleep } from "node:timers/promises";
import type { UpstreamProcess } from "@tanagercove/emulator";
import { round } from "../common/statistics.ts";
import {
  judge,
  notShown,
  OUTAGE_ATTEMPTS_MAX,
  OUTAGE_REQUESTS_MIN,
} from "./bars.ts";
import type { AttemptCounts, SystemUnderTest } from "./system.ts";

/** How upstreams fail: SIGKILL or SIGSTOP. */
export type FailureKind = "killed" | "frozen";

/** Which upstreams fail. */
export type FailureExtent = "third" | "all";

interface Failure {
  fail(upstream: UpstreamProcess): Promise<void>;
  recover(upstream: UpstreamProcess): Promise<void>;
}

const FAILURES: Readonly<Record<FailureKind, Failure>> = {
  killed: {
    fail: (upstream) => upstream.kill(),
    recover: (upstream) => upstream.start(),
  },
  frozen: {
    fail(upstream) {
      upstream.pause();
      return Promise.resolve();
    },
    recover(upstream) {
      upstream.resume();
      return Promise.resolve();
    },
  },
};

/**
 * Mean over the daemons. It is above `OUTAGE_REQUESTS_MIN`, so that every daemon gets that minimum although callers
 * choose daemons at random.
 */
const OUTAGE_REQUESTS_PER_DAEMON = 1_200;
const OUTAGE_MS = 6_000;
/** Longer than an upstream's first ejection, which lasts 5 s, so that the next failure starts with a healthy system. */
const EJECTION_MS = 5_500;
/** Time for frozen upstreams to run the requests that they had accepted. */
const BACKLOG_MS = 1_500;

/** Options of `measureFailures`. */
export interface MeasureFailuresOptions {
  readonly kind: FailureKind;
  readonly extent: FailureExtent;
}

/** Measures retries while upstreams fail. */
export async function measureFailures(
  system: SystemUnderTest,
  { kind, extent }: MeasureFailuresOptions,
): Promise<Readonly<Record<string, unknown>>> {
  const { mesh, plan } = system;
  const failing = mesh.vms
    .filter((_, index) => extent === "all" || index % 3 === 0)
    .map((vm) => system.upstream(vm));
  const durationMs = extent === "all" ? OUTAGE_MS : plan.measuredMs;
  const ratePerSecond = extent === "all"
    ? mesh.vms.length * OUTAGE_REQUESTS_PER_DAEMON * 1_000 / durationMs
    : plan.capacityPerSecond / 2;
  const before = await system.attemptCounts();
  await Promise.all(failing.map((upstream) => FAILURES[kind].fail(upstream)));
  const calls = await system.load({ ratePerSecond, durationMs });
  const after = await system.attemptCounts();
  await Promise.all(
    failing.map((upstream) => FAILURES[kind].recover(upstream)),
  );
  const nextFreezesThird = extent === "third" && kind === "killed";
  await sleep(nextFreezesThird ? EJECTION_MS : BACKLOG_MS);
  await system.compare();
  const byVm = [...after].map(([id, counts]) =>
    difference(counts, before.get(id))
  );
  const requests = sumOf(byVm, ({ requests }) => requests);
  const attempts = sumOf(byVm, ({ attempts }) => attempts);
  const perRequest = attempts / Math.max(1, requests);
  const worst = Math.max(
    ...byVm.map((counts) => counts.attempts / Math.max(1, counts.requests)),
  );
  const fewest = Math.min(...byVm.map((counts) => counts.requests));
  const answered =
    calls.filter(({ outcome, status }) =>
      outcome === "answered" && status === 200
    ).length;
  return {
    kind,
    extent,
    upstreamsFailing: failing.length,
    ratePerSecond: round(ratePerSecond),
    requests,
    fewestRequestsPerDaemon: fewest,
    retriesPerFirstAttempt: round(perRequest - 1),
    attemptsPerRequest: round(perRequest),
    attemptsPerRequestOfWorstDaemon: round(worst),
    answeredShare: round(answered / Math.max(1, calls.length)),
    bars: extent === "all" ? [judgeOutage(perRequest, fewest)] : [],
  };
}

function judgeOutage(perRequest: number, fewest: number) {
  const bar = `attempts per request in a full outage <= ${OUTAGE_ATTEMPTS_MAX}`;
  return fewest < OUTAGE_REQUESTS_MIN
    ? notShown(bar, `${fewest} requests at one of the daemons`)
    : judge(bar, perRequest <= OUTAGE_ATTEMPTS_MAX);
}

function difference(
  counts: AttemptCounts,
  before: AttemptCounts | undefined,
): AttemptCounts {
  return {
    requests: counts.requests - (before?.requests ?? 0),
    attempts: counts.attempts - (before?.attempts ?? 0),
  };
}

function sumOf(
  counts: readonly AttemptCounts[],
  value: (entry: AttemptCounts) => number,
): number {
  return counts.reduce((sum, entry) => sum + value(entry), 0);
}
