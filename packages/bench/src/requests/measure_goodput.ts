import type { CallRecord } from "@tanagercove/emulator";
import { percentilesOf, round } from "../common/statistics.ts";
import {
  type BarResult,
  judge,
  notShown,
  OVERLOAD_GOODPUT_MIN_SHARE,
} from "./bars.ts";
import { measureMachineLoad, measurementLimits } from "./machine_load.ts";
import type { GoodputSizes } from "./plan.ts";
import type { SystemUnderTest } from "./system.ts";

/** Loads as multiples of capacity. A load point is the measurement at one of these loads. */
export const LOAD_FACTORS = [0.5, 1, 2, 4] as const;

/** Result of one load point. */
export interface GoodputPoint extends GoodputSummary {
  readonly factor: number;
  readonly offeredPerSecond: number;
  /** Share of all processors' time that is in use, by all processes of the machine. */
  readonly machineBusyShare: number;
  /** Conditions that make the result unreliable. */
  readonly limits: readonly string[];
  /** False if there are `limits`. */
  readonly shown: boolean;
}

/** Figures computed from the calls of a load point. */
export interface GoodputSummary {
  /** Requests answered within the deadline, per second of the measured time. */
  readonly goodputPerSecond: number;
  readonly refusedShare: number;
  readonly unknownShare: number;
  readonly answeredLateShare: number;
  readonly requests: number;
  /** Delay of the generators against the due times; a large one makes the point unreliable. */
  readonly sentLateMs: ReturnType<typeof percentilesOf>;
  readonly latencyMs: {
    readonly idempotent: ReturnType<typeof percentilesOf>;
    readonly nonIdempotent: ReturnType<typeof percentilesOf>;
  };
}

/** Measures one load point. */
export async function measureGoodput(
  system: SystemUnderTest,
  factor: number,
): Promise<GoodputPoint> {
  const sizes = system.plan.goodput;
  const offeredPerSecond = sizes.capacityPerSecond * factor;
  const machineLoad = measureMachineLoad();
  const calls = await system.load({
    ratePerSecond: offeredPerSecond,
    durationMs: sizes.warmUpMs + sizes.measuredMs,
    deadlineMs: sizes.deadlineMs,
  });
  const machineBusyShare = round(machineLoad());
  const summary = summarizeGoodput(calls, sizes);
  const limits = measurementLimits({
    machineBusyShare,
    sentLateP99Ms: summary.sentLateMs.p99,
  });
  return {
    factor,
    offeredPerSecond,
    machineBusyShare,
    limits,
    shown: limits.length === 0,
    ...summary,
  };
}

/** Summarizes the calls that were due, and the answers that arrived, in the measured time. */
export function summarizeGoodput(
  calls: readonly CallRecord[],
  { warmUpMs, measuredMs, deadlineMs }: GoodputSizes,
): GoodputSummary {
  const endMs = warmUpMs + measuredMs;
  const isMeasured = (atMs: number) => atMs >= warmUpMs && atMs < endMs;
  const good = calls.filter((call) =>
    isAnswered(call) && call.latencyMs <= deadlineMs &&
    isMeasured(call.dueAfterMs + call.latencyMs)
  );
  const due = calls.filter(({ dueAfterMs }) => isMeasured(dueAfterMs));
  const shareOf = (matching: (call: CallRecord) => boolean) =>
    round(due.filter(matching).length / Math.max(1, due.length));
  const latencyOf = (idempotent: boolean) =>
    percentilesOf(
      due.filter((call) => isAnswered(call) && call.idempotent === idempotent)
        .map(({ latencyMs }) => latencyMs),
    );
  return {
    goodputPerSecond: round(good.length * 1_000 / measuredMs),
    refusedShare: shareOf(({ outcome }) => outcome === "not_run"),
    unknownShare: shareOf(({ outcome }) =>
      outcome === "unknown" || outcome === "none"
    ),
    answeredLateShare: shareOf((call) =>
      isAnswered(call) && call.latencyMs > deadlineMs
    ),
    requests: due.length,
    sentLateMs: percentilesOf(due.map(({ sentLateMs }) => sentLateMs)),
    latencyMs: { idempotent: latencyOf(true), nonIdempotent: latencyOf(false) },
  };
}

/** Judges the goodput of a system under overload. */
export function judgeGoodput(points: readonly GoodputPoint[]): BarResult {
  const goodputAt = (factor: number) =>
    points.find((point) => point.factor === factor)?.goodputPerSecond ?? 0;
  const share = goodputAt(4) / Math.max(1, goodputAt(1));
  const bar = `goodput at 4 times capacity >= ${
    OVERLOAD_GOODPUT_MIN_SHARE * 100
  } % of that at capacity; measured ${round(share * 100)} %`;
  const limits = points.filter(({ factor }) => factor === 1 || factor === 4)
    .flatMap((point) => point.limits);
  return limits.length > 0
    ? notShown(bar, limits.join("; "))
    : judge(bar, share >= OVERLOAD_GOODPUT_MIN_SHARE);
}

function isAnswered({ outcome, status }: CallRecord): boolean {
  return outcome === "answered" && status === 200;
}
