/** Load of an upstream as its owner daemon reported it. */
export interface ReportedLoad {
  readonly running: number;
  readonly slots: number;
  /** Waiting requests by rank, the most urgent first. */
  readonly waitingByRank: readonly number[];
  /** Average time that a request holds a slot. */
  readonly serviceTimeMs: number;
}

/** How an attempt at an upstream ended, as far as placement is concerned. */
export type PlacementResult =
  | "served"
  | "failed"
  | "refused"
  | "unreachable"
  | "cancelled";

/** Options of `UpstreamReports.end`. */
export interface EndAttemptOptions {
  readonly result: PlacementResult;
  readonly route: string;
  /** Time that the upstream took, if it answered. */
  readonly serviceMs?: number;
}

/** Options of `UpstreamReports`. */
export interface UpstreamReportsOptions {
  /** Monotonic time in milliseconds. */
  readonly nowMs?: () => number;
  /** Called when an upstream is left out for a while. */
  readonly onEjected?: (ejection: UpstreamEjection) => void;
}

/** An upstream that is left out for a while. */
export interface UpstreamEjection {
  readonly id: string;
  readonly failures: number;
  readonly lengthMs: number;
}

/** A report older than this says nothing any more: a queue of that age has drained or grown. */
const REPORT_LIFETIME_MS = 1_500;

/** Weight of the newest service time: about the last 10 requests of a route. */
const SERVICE_TIME_WEIGHT = 0.2;

/** Weight of the newest result in the share of failures. */
const FAILURE_WEIGHT = 0.15;

/** Time in which the share of failures halves without requests, so that the upstream is tried again. */
const FAILURE_HALF_LIFE_MS = 3_000;

/** Length of the first ejection; doubles with each further failure in a row. */
const EJECTION_MS = 500;

/** Time in which the one request that tries an upstream after an ejection shows whether it is back. */
const PROBE_MS = 500;

/** Longest ejection, so that an upstream that is back gets work within seconds. */
const EJECTION_MAX_MS = 4_000;

interface UpstreamRecord {
  load: ReportedLoad | undefined;
  reportedAtMs: number;
  /** Requests sent since the last report. */
  sentSinceReport: number;
  inFlight: number;
  failureShare: number;
  failureAtMs: number;
  unreachableInRow: number;
  ejectedUntilMs: number;
  /** Until then, a request tries whether the upstream is back, and others stay away. */
  probedUntilMs: number;
  readonly serviceMsByRoute: Map<string, number>;
}

/** What this daemon has learnt of the upstreams that it sends requests to. */
export class UpstreamReports {
  readonly #nowMs: () => number;
  readonly #onEjected: (ejection: UpstreamEjection) => void;
  readonly #records = new Map<string, UpstreamRecord>();

  constructor(options: UpstreamReportsOptions = {}) {
    this.#nowMs = options.nowMs ?? (() => performance.now());
    this.#onEjected = options.onEjected ?? (() => {});
  }

  begin(id: string): void {
    const record = this.#record(id);
    record.inFlight += 1;
    record.sentSinceReport += 1;
    if (record.unreachableInRow > 0) {
      record.probedUntilMs = this.#nowMs() + PROBE_MS;
    }
  }

  /** Leaves out an upstream whose daemon shows no sign of life, before its requests end. */
  silent(id: string): void {
    this.#recordResult(id, "unreachable");
  }

  recordLoad(id: string, load: ReportedLoad): void {
    const record = this.#record(id);
    record.load = load;
    record.reportedAtMs = this.#nowMs();
    record.sentSinceReport = 0;
  }

  end(id: string, { result, route, serviceMs }: EndAttemptOptions): void {
    const record = this.#record(id);
    record.inFlight -= 1;
    this.#recordResult(id, result);
    if (serviceMs === undefined) return;
    const known = record.serviceMsByRoute.get(route);
    record.serviceMsByRoute.set(
      route,
      known === undefined
        ? serviceMs
        : known + SERVICE_TIME_WEIGHT * (serviceMs - known),
    );
  }

  /** Predicted wait for a slot for a request of a rank. */
  waitMs(id: string, rank: number): number {
    const record = this.#records.get(id);
    if (record?.load === undefined) return 0;
    const ageMs = this.#nowMs() - record.reportedAtMs;
    if (ageMs > REPORT_LIFETIME_MS && record.inFlight === 0) return 0;
    const { running, slots, waitingByRank, serviceTimeMs } = record.load;
    let ahead = running + record.sentSinceReport;
    for (const [other, count] of waitingByRank.entries()) {
      if (other <= rank) ahead += count;
    }
    const drained = ageMs * slots / serviceTimeMs;
    const before = ahead - Math.min(drained, ahead) + 1 - slots;
    return Math.max(0, before) * serviceTimeMs / slots;
  }

  /** Average time that an upstream took for a route, if any was seen. */
  serviceMs(id: string, route: string): number | undefined {
    return this.#records.get(id)?.serviceMsByRoute.get(route);
  }

  failureShare(id: string): number {
    const record = this.#records.get(id);
    if (record === undefined) return 0;
    const ageMs = this.#nowMs() - record.failureAtMs;
    return record.failureShare * 0.5 ** (ageMs / FAILURE_HALF_LIFE_MS);
  }

  isEjected(id: string): boolean {
    const record = this.#records.get(id);
    if (record === undefined) return false;
    const untilMs = Math.max(record.ejectedUntilMs, record.probedUntilMs);
    return untilMs > this.#nowMs();
  }

  inFlight(id: string): number {
    return this.#records.get(id)?.inFlight ?? 0;
  }

  /** Forgets upstreams that are not known any more. */
  retain(isKnown: (id: string) => boolean): void {
    for (const [id, record] of this.#records) {
      if (!isKnown(id) && record.inFlight === 0) this.#records.delete(id);
    }
  }

  #recordResult(id: string, result: PlacementResult): void {
    const record = this.#record(id);
    const nowMs = this.#nowMs();
    if (result === "served" || result === "failed") {
      const ageMs = nowMs - record.failureAtMs;
      const share = record.failureShare * 0.5 ** (ageMs / FAILURE_HALF_LIFE_MS);
      const newest = result === "failed" ? 1 : 0;
      record.failureShare = share + FAILURE_WEIGHT * (newest - share);
      record.failureAtMs = nowMs;
    }
    if (result === "unreachable") {
      // Requests that were sent before an ejection fail during it and say nothing new.
      if (record.ejectedUntilMs > nowMs) return;
      record.unreachableInRow += 1;
      const failures = record.unreachableInRow;
      const lengthMs = Math.min(
        EJECTION_MAX_MS,
        EJECTION_MS * 2 ** (failures - 1),
      );
      record.ejectedUntilMs = nowMs + lengthMs;
      this.#onEjected({ id, failures, lengthMs });
    } else if (result !== "cancelled") {
      record.unreachableInRow = 0;
      record.ejectedUntilMs = 0;
      record.probedUntilMs = 0;
    }
  }

  #record(id: string): UpstreamRecord {
    const known = this.#records.get(id);
    if (known !== undefined) return known;
    const record: UpstreamRecord = {
      load: undefined,
      reportedAtMs: -Infinity,
      sentSinceReport: 0,
      inFlight: 0,
      failureShare: 0,
      failureAtMs: this.#nowMs(),
      unreachableInRow: 0,
      ejectedUntilMs: 0,
      probedUntilMs: 0,
      serviceMsByRoute: new Map(),
    };
    this.#records.set(id, record);
    return record;
  }
}
