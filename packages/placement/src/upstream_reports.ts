import {
  type KnownLoad,
  requestsAhead,
  type UsualLoad,
} from "./predict_wait.ts";

/** Load of an upstream, reported by its owner daemon. */
export interface ReportedLoad {
  readonly running: number;
  readonly slots: number;
  /** Number of waiting requests by rank, the most urgent rank first. */
  readonly waitingByRank: readonly number[];
  /** Average time that a request holds a slot. */
  readonly serviceTimeMs: number;
  /** Requests per second that the upstream takes from all daemons together; undefined without a limit. */
  readonly limitPerSecond?: number | undefined;
  /** Time until the owner daemon may send another request within that limit. */
  readonly startDelayMs?: number | undefined;
  /** What else the owner daemon says; undefined from a daemon of an earlier version. */
  readonly capacity?: ReportedCapacity | undefined;
}

/** What an upstream takes well at the moment, as its owner daemon has learnt it. */
export interface ReportedCapacity {
  /** Requests that the upstream runs well at once, at most its slots. */
  readonly concurrencyLimit: number;
  /** Speed at which it works now, relative to its usual speed; 1 is as usual. */
  readonly workRate: number;
  /** Time for which it stays cold; 0 if it is warm. */
  readonly coldForMs: number;
  /** Bytes of request bodies for which there is room; -1 if they are not counted. */
  readonly freeBodyBytes: number;
}

/** How an attempt at an upstream ended, as far as it matters to placement. */
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
  /** Service time of the upstream, if it answered; it is taken at the work rate of the report that came with it. */
  readonly serviceMs?: number;
}

/** Options of `UpstreamReports`. */
export interface UpstreamReportsOptions {
  /** Monotonic time in milliseconds. */
  readonly nowMs?: () => number;
  /** Called when an upstream is ejected. */
  readonly onEjected?: (ejection: UpstreamEjection) => void;
}

/** Ejection of an upstream: it is avoided for a time after attempts to reach it failed. */
export interface UpstreamEjection {
  readonly id: string;
  readonly failures: number;
  readonly lengthMs: number;
}

/** Age from which a load report says nothing of the load now. */
const REPORT_MAX_AGE_MS = 1_500;

/** Service time assumed while no upstream of a service has reported one. */
const DEFAULT_SERVICE_TIME_MS = 150;

/** Weight of the newest report in the average occupancy, which thus covers about the last 5 reports. */
const USUAL_WEIGHT = 0.2;

/** Weight of the newest service time in the average, which thus covers about the last 10 requests of a route. */
const SERVICE_TIME_WEIGHT = 0.2;

/** Weight of the newest result in the failure share. */
const FAILURE_WEIGHT = 0.15;

/** Half-life of the failure share without new requests, so that the upstream is tried again. */
const FAILURE_HALF_LIFE_MS = 3_000;

/** Length of the first ejection; doubles with each consecutive failure. Failures during an ejection do not count. */
const EJECTION_MS = 500;

/** Maximum time for which other requests avoid an upstream while a trial request shows if it is reachable again. */
const TRIAL_MS = 500;

/** Maximum length of an ejection, so that a recovered upstream gets work within seconds. */
const EJECTION_MAX_MS = 4_000;

interface UpstreamRecord {
  load: ReportedLoad | undefined;
  usualOccupancy: number;
  reportedAtMs: number;
  /** Requests of this daemon sent to the upstream since the last report. */
  sentSinceReport: number;
  inFlight: number;
  failureShare: number;
  failureAtMs: number;
  consecutiveUnreachable: number;
  ejectedUntilMs: number;
  /** End of the time in which other requests avoid the upstream because a trial request has been sent to it. */
  trialUntilMs: number;
  readonly serviceMsByRoute: Map<string, number>;
}

/** What this daemon knows about the upstreams to which it sends requests. */
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
    if (record.consecutiveUnreachable > 0) {
      record.trialUntilMs = this.#nowMs() + TRIAL_MS;
    }
  }

  /** Ejects an upstream whose owner daemon has stopped responding, before the requests in flight end. */
  markUnreachable(id: string): void {
    this.#recordResult(id, "unreachable");
  }

  recordLoad(id: string, load: ReportedLoad): void {
    const record = this.#record(id);
    const occupancy = requestsAhead(load, Infinity) / load.slots;
    record.usualOccupancy = record.load === undefined
      ? occupancy
      : record.usualOccupancy +
        USUAL_WEIGHT * (occupancy - record.usualOccupancy);
    record.load = load;
    record.reportedAtMs = this.#nowMs();
    record.sentSinceReport = 0;
  }

  end(id: string, { result, route, serviceMs }: EndAttemptOptions): void {
    const record = this.#record(id);
    record.inFlight -= 1;
    this.#recordResult(id, result);
    if (serviceMs === undefined) return;
    const usualMs = serviceMs * (record.load?.capacity?.workRate ?? 1);
    const averageMs = record.serviceMsByRoute.get(route);
    record.serviceMsByRoute.set(
      route,
      averageMs === undefined
        ? usualMs
        : averageMs + SERVICE_TIME_WEIGHT * (usualMs - averageMs),
    );
  }

  /** What is known of the load of an upstream; undefined without a report or if it is too old. */
  knownLoad(id: string): KnownLoad | undefined {
    const record = this.#records.get(id);
    if (record?.load === undefined) return undefined;
    const ageMs = this.#nowMs() - record.reportedAtMs;
    if (ageMs > REPORT_MAX_AGE_MS) return undefined;
    const { load, usualOccupancy: occupancy, sentSinceReport } = record;
    const serviceTimeMs = load.serviceTimeMs * (load.capacity?.workRate ?? 1);
    return {
      load,
      usual: { occupancy, serviceTimeMs },
      ageMs,
      sentSinceReport,
    };
  }

  /**
   * Average of what is known of these upstreams and of one that is idle, so that a full upstream does not keep a daemon
   * from trying the others of a small service.
   */
  usualLoad(ids: Iterable<string>): UsualLoad {
    let occupancy = 0;
    let serviceTimeMs = 0;
    let count = 0;
    for (const id of ids) {
      const usual = this.knownLoad(id)?.usual;
      if (usual === undefined) continue;
      occupancy += usual.occupancy;
      serviceTimeMs += usual.serviceTimeMs;
      count += 1;
    }
    return count === 0
      ? { occupancy: 0, serviceTimeMs: DEFAULT_SERVICE_TIME_MS }
      : {
        occupancy: occupancy / (count + 1),
        serviceTimeMs: serviceTimeMs / count,
      };
  }

  /** Average service time of an upstream on a route at its usual speed; undefined if there was no answer yet. */
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
    const untilMs = Math.max(record.ejectedUntilMs, record.trialUntilMs);
    return untilMs > this.#nowMs();
  }

  inFlight(id: string): number {
    return this.#records.get(id)?.inFlight ?? 0;
  }

  /** Removes the records of upstreams that are no longer known and have no request in flight. */
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
      // Most failures during an ejection are of requests sent before it, which show nothing new.
      if (record.ejectedUntilMs > nowMs) return;
      record.consecutiveUnreachable += 1;
      const failures = record.consecutiveUnreachable;
      const lengthMs = Math.min(
        EJECTION_MAX_MS,
        EJECTION_MS * 2 ** (failures - 1),
      );
      record.ejectedUntilMs = nowMs + lengthMs;
      this.#onEjected({ id, failures, lengthMs });
    } else if (result !== "cancelled") {
      record.consecutiveUnreachable = 0;
      record.ejectedUntilMs = 0;
      record.trialUntilMs = 0;
    }
  }

  #record(id: string): UpstreamRecord {
    const existing = this.#records.get(id);
    if (existing !== undefined) return existing;
    const record: UpstreamRecord = {
      load: undefined,
      usualOccupancy: 0,
      reportedAtMs: -Infinity,
      sentSinceReport: 0,
      inFlight: 0,
      failureShare: 0,
      failureAtMs: this.#nowMs(),
      consecutiveUnreachable: 0,
      ejectedUntilMs: 0,
      trialUntilMs: 0,
      serviceMsByRoute: new Map(),
    };
    this.#records.set(id, record);
    return record;
  }
}
