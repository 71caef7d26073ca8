import {
  type Clock,
  ColdStartPace,
  type StartPace,
} from "@tanagercove/admission";
import type { ReportedLoad } from "@tanagercove/placement";

/** A time in which upstreams are cold. */
export interface SimulatedColdTime {
  readonly atMs: number;
  readonly forMs: number;
  /** Zone that it concerns; all zones by default. */
  readonly zone?: number;
  /** Requests that each of them bears in any second. */
  readonly requestsPerSecond: number;
  /** How many times as long work takes meanwhile. */
  readonly workFactor: number;
}

/** The cold times of one upstream of a simulation, and the pace of its owner daemon. */
export interface SimulatedColdness {
  readonly pace: StartPace;
  workFactor(): number;
  /** Adds to a load report what the owner daemon says of a cold upstream. */
  addTo(load: ReportedLoad): ReportedLoad;
  /** Calls back when a cold time begins or ends. */
  onChange(callback: () => void): void;
}

/** Creates the coldness of an upstream in a zone. */
export function createColdness(
  coldTimes: readonly SimulatedColdTime[],
  { clock, zone }: { readonly clock: Clock; readonly zone: number },
): SimulatedColdness {
  const own = coldTimes.filter((cold) =>
    cold.zone === undefined || cold.zone === zone
  );
  const now = (nowMs = clock.nowMs()) =>
    own.find(({ atMs, forMs }) => nowMs >= atMs && nowMs < atMs + forMs);
  const pace = new ColdStartPace({
    limitAt(nowMs) {
      const cold = now(nowMs);
      return cold && {
        requestsPerSecond: cold.requestsPerSecond,
        untilMs: cold.atMs + cold.forMs,
      };
    },
  });
  return {
    pace,
    workFactor: () => now()?.workFactor ?? 1,
    addTo(load) {
      const cold = now();
      if (cold === undefined) return load;
      return {
        ...load,
        limitPerSecond: cold.requestsPerSecond,
        capacity: {
          concurrencyLimit: load.slots,
          workRate: 1,
          freeBodyBytes: -1,
          ...load.capacity,
          coldForMs: cold.atMs + cold.forMs - clock.nowMs(),
        },
      };
    },
    onChange(callback) {
      for (const { atMs, forMs } of own) {
        clock.setTimer(callback, atMs);
        clock.setTimer(callback, atMs + forMs);
      }
    },
  };
}
