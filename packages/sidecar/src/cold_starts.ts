import {
  type Clock,
  type ColdSource,
  ColdStartPace,
  ColdState,
  decideColdLimits,
  DOUBT_HOLD_MS,
  type DoubtReason,
  PACE_WINDOW_MS,
  type PaceLimit,
  type StartPace,
  SURVIVAL_MS,
  systemClock,
  type Timer,
} from "@tanagercove/admission";
import type { ReportedLoad } from "@tanagercove/placement";
import type { ServiceDefinition, UpstreamEntry } from "@tanagercove/types";
import type { ConnectionUse, ExchangeEnd } from "./exchange.ts";
import type { UpstreamHealth } from "./fetch_upstream_health.ts";
import type { ColdStartBounds } from "./settings.ts";
import type { UpstreamVerdict } from "./upstream_answer.ts";

/** What changes in the knowledge of whether the upstream is cold. */
export type ColdStartEvent =
  | { readonly kind: "doubted"; readonly reason: DoubtReason }
  | {
    readonly kind: "cold";
    readonly coldForMs: number;
    readonly source: ColdSource;
  }
  | { readonly kind: "warm" }
  /** A health answer or an entry that says unreadably how long the upstream stays cold. */
  | { readonly kind: "unreadable"; readonly source: ColdSource }
  | { readonly kind: "check_ended"; readonly isAnswered: boolean };

/** Options of `ColdStarts`. */
export interface ColdStartsOptions {
  /** Undefined if the platform sets none; nothing is paced then. */
  readonly bounds: ColdStartBounds | undefined;
  /** Definition of the upstream's service; undefined while no configuration is known. */
  readonly definition: () => ServiceDefinition | undefined;
  /** Whether there is a configuration, which may have no definition of the service. */
  readonly hasConfiguration?: () => boolean;
  /** Times of the opening of the connections that are open and idle. */
  readonly idleConnections?: () => Iterable<number>;
  /** Makes a health check, whose answer is also passed to `recordHealth`; undefined without an answer. */
  readonly checkHealth: () => Promise<UpstreamHealth | undefined>;
  readonly onEvent?: (event: ColdStartEvent) => void;
  readonly clock?: Clock;
}

/** An exchange with the upstream that has ended. */
export interface EndedExchange {
  readonly end: ExchangeEnd;
  readonly verdict: UpstreamVerdict;
  /** Id of the upstream that the request was sent to. */
  readonly upstreamId: string;
}

/** State of the pace for the metrics and the command `dump`. */
export interface ColdStartsState {
  readonly warmth: string;
  readonly doubt: string | undefined;
  readonly source: string | undefined;
  readonly coldForMs: number;
  readonly requestsPerSecond: number | undefined;
  readonly recentStarts: number;
  readonly pacedStarts: number;
  readonly refusals: number;
  readonly checks: number;
}

/** Time between two health checks; doubles up to the maximum while they get no answer. */
const CHECK_INTERVAL_MS = 250;
const CHECK_INTERVAL_MAX_MS = 1_000;

/** Time after which an upstream that goes on to cut connections is asked for its health. */
const SURVIVAL_MAX_MS = 100;

/** Time for which callers are told to expect the pace of an upstream that is merely doubted. */
const DOUBT_REPORT_MS = 250;

/** Pace while no configuration says what the upstream bears: the slack is allowed in any case. */
const UNKNOWN_REQUESTS_PER_SECOND = 0;

/**
 * Paces the requests to this VM's upstream while it is cold, or may be.
 *
 * Each request to the upstream passes this daemon, so the count of a second is exact here. Health checks are made on
 * signs of a restart, and when requests press against the pace, never by the clock.
 */
export class ColdStarts implements StartPace {
  readonly #options: ColdStartsOptions;
  readonly #clock: Clock;
  readonly #startedAtMs: number;
  readonly #state = new ColdState();
  readonly #pace: ColdStartPace;
  #onPaceChanged = () => {};
  /** Requests in flight, by the connections that carry them, with the times at which they were sent. */
  readonly #inFlight = new Map<ConnectionUse, number>();
  /** Set from a cut of a connection until it is known whether the others have ended too. */
  #survivalTimer: Timer | undefined;
  #lastCutAtMs = -Infinity;
  /** Set from a new doubt until requests that cannot start at the pace are refused. */
  #holdTimer: Timer | undefined;
  #checkTimer: Timer | undefined;
  #isChecking = false;
  #isCheckDue = false;
  #checkIntervalMs = CHECK_INTERVAL_MS;
  #nextCheckAtMs = -Infinity;
  /** Id under which the upstream answered last. */
  #answeringId: string | undefined;
  #ownEntry: UpstreamEntry | undefined;
  #pacedStarts = 0;
  #refusals = 0;
  #checks = 0;

  constructor(options: ColdStartsOptions) {
    this.#options = options;
    this.#clock = options.clock ?? systemClock;
    this.#startedAtMs = this.#nowMs();
    this.#pace = new ColdStartPace({ limitAt: (nowMs) => this.#limit(nowMs) });
  }

  /** Whether settings and configuration call for a pace; also before there is a configuration that would say so. */
  get isActive(): boolean {
    if (this.#options.bounds === undefined) return false;
    const { definition, hasConfiguration } = this.#options;
    const own = definition();
    return own === undefined
      ? hasConfiguration?.() !== true
      : own.coldStart !== undefined;
  }

  /** Sets the callback for changes after which waiting requests may start, or can no longer start in time. */
  onPaceChanged(onPaceChanged: () => void): void {
    this.#onPaceChanged = onPaceChanged;
  }

  available(nowMs: number): number {
    this.#checkUnderPressure(nowMs);
    return this.#pace.available(nowMs);
  }

  delayMs(requestCount: number, nowMs: number): number {
    return this.#pace.delayMs(requestCount, nowMs);
  }

  reserve(): void {
    if (this.#limit(this.#nowMs()) !== undefined) this.#pacedStarts += 1;
    this.#pace.reserve();
  }

  send(nowMs: number): void {
    this.#pace.send(nowMs);
  }

  giveBack(): void {
    this.#pace.giveBack();
  }

  /** Applies a new configuration; the first one that calls for it lets the upstream be checked. */
  start(): void {
    if (this.isActive && this.#state.doubt === "daemon_started") this.#check();
    this.#onPaceChanged();
  }

  /** Records that the upstream has closed an idle connection. */
  recordIdleClose(): void {
    if (this.isActive) this.#recordCut();
  }

  /** Records that a request is sent to the upstream. */
  begin(connection: ConnectionUse): void {
    this.#inFlight.set(connection, this.#nowMs());
  }

  /** Records how a request to the upstream ended. */
  recordExchange({ end, verdict, upstreamId }: EndedExchange): void {
    if (end.connection !== undefined) this.#inFlight.delete(end.connection);
    if (!this.isActive) return;
    if (end.kind === "failed") {
      if (end.failure === "cut") this.#recordCut();
      if (end.failure === "connect_failed") this.#recordDoubt("connect_failed");
      return;
    }
    if (verdict.kind === "unknown") return;
    if (verdict.kind === "not_run" && verdict.reason === "upstream_changed") {
      // Requests of callers that still know a former upstream at this address say nothing new.
      if (upstreamId === this.#answeringId) {
        this.#recordDoubt("upstream_changed");
      }
      return;
    }
    this.#answeringId = upstreamId;
    const openedAtMs = end.connection?.openedAtMs;
    if (openedAtMs === undefined) return;
    const nowMs = this.#nowMs();
    this.#change(() =>
      this.#state.recordAnswer(
        { openedAtMs, begunAtMs: nowMs - end.durationMs, nowMs },
        this.#options.definition()?.coldStart?.durationMs ?? Infinity,
      )
    );
  }

  /** Records a request that was refused for want of room; it counts if the pace was the reason. */
  recordRefusal(): void {
    if (this.report() !== undefined) this.#refusals += 1;
  }

  recordHealth(health: UpstreamHealth): void {
    const { coldForMs, askedAtMs, isColdTimeUnreadable } = health;
    if (!this.isActive) return;
    if (isColdTimeUnreadable) {
      this.#emit({ kind: "unreadable", source: "health_check" });
    }
    const nowMs = this.#nowMs();
    this.#change(() =>
      this.#state.recordHealth({ coldForMs, askedAtMs, nowMs })
    );
  }

  /** Records a new value of the upstream's entry in the catalog. */
  recordEntry(entry: UpstreamEntry): void {
    const last = this.#ownEntry;
    this.#ownEntry = entry;
    if (!this.isActive) return;
    const isNew = last !== undefined &&
      (last.id !== entry.id || last.bornMs !== entry.bornMs);
    if (entry.isColdTimeUnreadable) {
      this.#emit({ kind: "unreadable", source: "entry" });
    }
    if (isNew || entry.isColdTimeUnreadable) this.#recordDoubt("entry");
    // An entry is written again for other reasons, with the same time.
    const isKnown = !isNew && last?.coldMs === entry.coldMs;
    if (entry.coldMs === 0 || isKnown) return;
    this.#change(() =>
      this.#state.recordColdEntry(entry.coldMs, this.#nowMs())
    );
    this.#check();
  }

  /** Records that the evacuation of the upstream's zone has begun or ended; its upstreams may be cold from then on. */
  recordEvacuation(): void {
    if (this.isActive) this.#recordDoubt("evacuation");
  }

  /** What callers' daemons are told; undefined while the upstream counts as warm. */
  report():
    | { readonly coldForMs: number; readonly perSecond: number }
    | undefined {
    const nowMs = this.#nowMs();
    const warmth = this.#state.warmth(nowMs);
    const isPaced = warmth === "cold" ||
      warmth === "doubted" && this.#survivalTimer === undefined;
    if (!this.isActive || !isPaced) return undefined;
    const remainingMs = Math.max(0, this.#state.coldUntilMs - nowMs);
    return {
      coldForMs: warmth === "cold"
        ? remainingMs
        : Math.max(DOUBT_REPORT_MS, remainingMs),
      perSecond: this.#limit(nowMs)?.requestsPerSecond ?? Infinity,
    };
  }

  /** Adds to a load report how long the upstream stays cold, and the pace until then as a limit. */
  addTo(load: ReportedLoad): ReportedLoad {
    if (!this.isActive) return load;
    const cold = this.report();
    const capacity = {
      concurrencyLimit: load.slots,
      workRate: 1,
      freeBodyBytes: -1,
      ...load.capacity,
      coldForMs: cold?.coldForMs ?? 0,
    };
    if (cold === undefined) return { ...load, capacity };
    return {
      ...load,
      limitPerSecond: Math.min(cold.perSecond, load.limitPerSecond ?? Infinity),
      capacity,
    };
  }

  close(): void {
    this.#survivalTimer?.cancel();
    this.#holdTimer?.cancel();
    this.#checkTimer?.cancel();
  }

  state(): ColdStartsState | undefined {
    if (!this.isActive) return undefined;
    const nowMs = this.#nowMs();
    return {
      warmth: this.#state.warmth(nowMs),
      doubt: this.#state.doubt,
      source: this.#state.coldSource,
      coldForMs: Math.max(0, this.#state.coldUntilMs - nowMs),
      requestsPerSecond: this.#limit(nowMs)?.requestsPerSecond,
      recentStarts: this.#pace.countRecent(nowMs),
      pacedStarts: this.#pacedStarts,
      refusals: this.#refusals,
      checks: this.#checks,
    };
  }

  #limit(nowMs: number): PaceLimit | undefined {
    if (!this.isActive) return undefined;
    const { bounds, definition } = this.#options;
    const coldStart = definition()?.coldStart;
    const limits = decideColdLimits({
      ...bounds!,
      requestsPerSecond: coldStart?.requestsPerSecond ??
        UNKNOWN_REQUESTS_PER_SECOND,
    });
    if (coldStart === undefined) {
      return { requestsPerSecond: limits.unprovenPerSecond };
    }
    const limit = this.#state.limitAt(nowMs, limits);
    const isNewDaemon = nowMs - this.#startedAtMs < PACE_WINDOW_MS;
    if (limit === undefined || !isNewDaemon) return limit;
    return {
      ...limit,
      requestsPerSecond: Math.min(
        limit.requestsPerSecond,
        limits.startPerSecond,
      ),
    };
  }

  /** Checks an upstream that is doubted, or that is unproven and gets more requests than a cold one bears. */
  #checkUnderPressure(nowMs: number): void {
    if (!this.isActive) return;
    const warmth = this.#state.warmth(nowMs);
    const coldPerSecond = this.#options.definition()?.coldStart
      ?.requestsPerSecond ?? 0;
    const isPressing = warmth === "unproven" &&
      this.#pace.countRecent(nowMs) + 1 >= coldPerSecond;
    if (this.#survivalTimer !== undefined) return;
    if (warmth === "doubted" || isPressing) this.#check();
  }

  /** Records that the upstream has cut a connection. A restart cuts all of them, so those in flight are looked at first. */
  #recordCut(): void {
    const hasOthers = [...this.#openConnections()].length > 0;
    if (!hasOthers) return this.#recordDoubt("connection_cut");
    const nowMs = this.#nowMs();
    this.#lastCutAtMs = nowMs;
    this.#doubtState("connection_cut");
    this.#survivalTimer ??= this.#clock.setTimer(
      () => this.#lookForSurvivors(nowMs),
      SURVIVAL_MS,
    );
  }

  #lookForSurvivors(firstCutAtMs: number): void {
    this.#survivalTimer = undefined;
    const nowMs = this.#nowMs();
    const leftMs = this.#lastCutAtMs + SURVIVAL_MS - nowMs;
    if (leftMs > 0 && nowMs - firstCutAtMs < SURVIVAL_MAX_MS) {
      this.#survivalTimer = this.#clock.setTimer(
        () => this.#lookForSurvivors(firstCutAtMs),
        leftMs,
      );
      return;
    }
    this.#change(() => {
      for (const { openedAtMs, begunAtMs } of this.#openConnections()) {
        const survivor = { openedAtMs, begunAtMs, nowMs };
        if (this.#state.recordSurvivor(survivor)) return;
      }
    });
    if (this.#state.doubt !== undefined) this.#check();
  }

  /** The open connections, with the times at which their requests began; an idle one has served one before. */
  *#openConnections(): Iterable<
    { readonly openedAtMs: number; readonly begunAtMs: number }
  > {
    for (const [{ openedAtMs }, begunAtMs] of this.#inFlight) {
      yield { openedAtMs, begunAtMs };
    }
    for (const openedAtMs of this.#options.idleConnections?.() ?? []) {
      yield { openedAtMs, begunAtMs: openedAtMs };
    }
  }

  #nowMs(): number {
    return this.#clock.nowMs();
  }

  #recordDoubt(reason: DoubtReason): void {
    this.#doubtState(reason);
    this.#check();
  }

  #doubtState(reason: DoubtReason): void {
    const isNew = this.#state.doubt === undefined;
    this.#change(() => this.#state.recordDoubt(reason, this.#nowMs()));
    if (!isNew) return;
    this.#emit({ kind: "doubted", reason });
    this.#holdTimer?.cancel();
    this.#holdTimer = this.#clock.setTimer(
      () => this.#onPaceChanged(),
      DOUBT_HOLD_MS,
    );
  }

  /** Makes a health check; if one is in flight or was made just before, it is made as soon as that may be. */
  #check(): void {
    const nowMs = this.#nowMs();
    if (this.#isChecking) {
      this.#isCheckDue = true;
      return;
    }
    if (nowMs < this.#nextCheckAtMs) {
      this.#checkTimer ??= this.#clock.setTimer(() => {
        this.#checkTimer = undefined;
        if (this.#summary().warmth !== "warm") this.#check();
      }, Math.ceil(this.#nextCheckAtMs - nowMs));
      return;
    }
    // Without a configuration, the health path is not known.
    if (this.#options.definition() === undefined) return;
    this.#isChecking = true;
    this.#checks += 1;
    void this.#options.checkHealth().then((health) => {
      const isAnswered = health !== undefined;
      this.#isChecking = false;
      this.#checkIntervalMs = isAnswered
        ? CHECK_INTERVAL_MS
        : Math.min(CHECK_INTERVAL_MAX_MS, 2 * this.#checkIntervalMs);
      this.#nextCheckAtMs = nowMs + this.#checkIntervalMs;
      this.#emit({ kind: "check_ended", isAnswered });
      const isOutdated = isAnswered && this.#isCheckDue;
      this.#isCheckDue = false;
      // A sign that came during the check was not answered by it.
      if (isOutdated && this.#state.doubt !== undefined) this.#check();
    });
  }

  /** Applies a change of the state, and tells of its effect on the pace. */
  #change(apply: () => void): void {
    const { doubt } = this.#state;
    const { warmth: before } = this.#summary();
    apply();
    const { warmth, coldUntilMs, source } = this.#summary();
    const isPacing = warmth === "cold" || warmth === "doubted";
    const wasPacing = before === "cold" || before === "doubted";
    if (warmth === "cold" && before !== "cold") {
      const coldForMs = coldUntilMs - this.#nowMs();
      this.#emit({ kind: "cold", coldForMs, source: source! });
    }
    if (wasPacing && !isPacing) this.#emit({ kind: "warm" });
    if (warmth !== before || doubt !== this.#state.doubt) this.#onPaceChanged();
  }

  #summary() {
    return {
      warmth: this.#state.warmth(this.#nowMs()),
      coldUntilMs: this.#state.coldUntilMs,
      source: this.#state.coldSource,
    };
  }

  #emit(event: ColdStartEvent): void {
    this.#options.onEvent?.(event);
  }
}

/** Gauges of the pace for the metrics. */
export function coldStartGauges(
  coldStarts: Pick<ColdStarts, "state">,
): Readonly<Record<string, () => number>> {
  return {
    upstream_cold_ms: () => coldStarts.state()?.coldForMs ?? 0,
    upstream_doubted: () => coldStarts.state()?.warmth === "doubted" ? 1 : 0,
    cold_paced_starts: () => coldStarts.state()?.pacedStarts ?? 0,
    cold_refusals: () => coldStarts.state()?.refusals ?? 0,
  };
}
