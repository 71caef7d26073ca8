/** A call that a run of a route made. */
export interface RecordCallOptions {
  /** Route of the run. */
  readonly route: string;
  /** Service that was called. */
  readonly service: string;
  /** Whether there was room for the call, so that it was answered or failed for another reason. */
  readonly hadRoom: boolean;
}

/** Options of `CallRoom`. */
export interface CallRoomOptions {
  /** Monotonic time in milliseconds. */
  readonly nowMs: () => number;
  /** Returns a number from 0 (included) to 1 (excluded). */
  readonly random: () => number;
}

/** Calls to a service, which lose half of their weight every `HALF_LIFE_MS`. */
interface CallCounts {
  atMs: number;
  /** Calls that were made, and those of the runs that were refused. */
  asked: number;
  made: number;
  hadRoom: number;
}

/** Runs of a route and their calls by service; both are halved together, so that the calls of a run follow changes. */
interface RouteRuns {
  runs: number;
  readonly calls: Map<string, number>;
}

/** Time in which what happened to calls loses half of its weight. */
const HALF_LIFE_MS = 2_000;

/**
 * Share of the calls for which there has to be room: a run whose call is refused has worked for nothing. It is more than
 * the 0.9 that callers ask for, since runs that began before the shortage was known count too.
 */
const MIN_SERVED_SHARE = 0.95;

/** Calls that may lack room before a run is refused, so that a single one says nothing. */
const UNCOUNTED_CALLS = 1;

/** Calls without room, by their weight, below which all are taken to find room. */
const FORGOTTEN_CALLS = 0.5;

/** Multiple of the calls that found room for which runs begin while all find room, so that their number grows. */
const GROWTH = 2;

/** Calls for which runs begin while all find room, however few did in the last seconds. */
const TRIAL_CALLS = 3;

/** Runs of a route from which on older ones count half. */
const MAX_RUNS = 64;

/** Limit of the routes and services kept; a configuration has at most a few thousand. */
const MAX_KEPT = 10_000;

/**
 * Learns which calls the runs of this VM's upstream make, and admits as many runs as there is room for their calls.
 *
 * Answers the load of a service that is called by the runs of another one, and has too little room for both: runs hold
 * their slots until their calls fail, and their work is thrown away.
 */
export class CallRoom {
  readonly #options: CallRoomOptions;
  readonly #runs = new Map<string, RouteRuns>();
  readonly #counts = new Map<string, CallCounts>();

  constructor(options: CallRoomOptions) {
    this.#options = options;
  }

  /** Records that a run has ended. */
  recordRun(route: string): void {
    const runs = this.#runsOf(route);
    runs.runs += 1;
    if (runs.runs < MAX_RUNS) return;
    runs.runs /= 2;
    for (const [service, calls] of runs.calls) {
      runs.calls.set(service, calls / 2);
    }
  }

  /** Records how a call of a run ended. */
  recordCall({ route, service, hadRoom }: RecordCallOptions): void {
    const { calls } = this.#runsOf(route);
    calls.set(service, (calls.get(service) ?? 0) + 1);
    const counts = this.#countsOf(service);
    counts.asked += 1;
    counts.made += 1;
    if (hadRoom) counts.hadRoom += 1;
  }

  /** Average number of calls of a run to a service. */
  callsPerRun(route: string, service: string): number {
    const runs = this.#runs.get(route);
    return (runs?.calls.get(service) ?? 0) / Math.max(1, runs?.runs ?? 0);
  }

  /**
   * Decides whether a run of a route may begin; returns a service that has no room for its calls, or undefined. While
   * calls lack room, as many runs begin as calls are served; once they find room again, their number doubles every
   * second or two.
   */
  serviceWithoutRoom(route: string): string | undefined {
    for (const service of this.#runs.get(route)?.calls.keys() ?? []) {
      const counts = this.#countsOf(service);
      const share = decideRefusedShare(counts);
      if (share === 0 || this.#options.random() >= share) continue;
      counts.asked += this.callsPerRun(route, service);
      return service;
    }
    return undefined;
  }

  #runsOf(route: string): RouteRuns {
    const known = this.#runs.get(route);
    if (known !== undefined) return known;
    if (this.#runs.size >= MAX_KEPT) this.#runs.clear();
    const runs: RouteRuns = { runs: 0, calls: new Map() };
    this.#runs.set(route, runs);
    return runs;
  }

  #countsOf(service: string): CallCounts {
    const nowMs = this.#options.nowMs();
    const known = this.#counts.get(service);
    if (known === undefined) {
      if (this.#counts.size >= MAX_KEPT) this.#counts.clear();
      const counts = { atMs: nowMs, asked: 0, made: 0, hadRoom: 0 };
      this.#counts.set(service, counts);
      return counts;
    }
    const weight = 0.5 ** ((nowMs - known.atMs) / HALF_LIFE_MS);
    known.atMs = nowMs;
    known.asked *= weight;
    known.made *= weight;
    known.hadRoom *= weight;
    return known;
  }
}

/**
 * Decides which share of the runs is refused, so that of the calls that are still made `MIN_SERVED_SHARE` find room.
 * The calls of refused runs count as asked: otherwise, fewer runs would look like more room.
 */
export function decideRefusedShare(
  { asked, made, hadRoom }: Omit<CallCounts, "atMs">,
): number {
  const findsRoom = made - hadRoom < FORGOTTEN_CALLS;
  const served = hadRoom / MIN_SERVED_SHARE + UNCOUNTED_CALLS;
  const allowed = findsRoom
    ? Math.max(served, GROWTH * hadRoom + TRIAL_CALLS)
    : served;
  return Math.max(0, (asked - allowed) / (asked + 1));
}
