import type { EventLoopLag } from "./event_loop_watch.ts";
import type {
  CatalogEvent,
  CatalogSyncEvent,
  CatalogTransfer,
} from "@tanagercove/catalog";
import { formatPlatformError } from "@tanagercove/errors";
import {
  LineLimit,
  logEvent,
  type Logger,
  type LogRecord,
} from "@tanagercove/logs";
import type { Metrics } from "@tanagercove/metrics";
import type { UpstreamEntry } from "@tanagercove/types";
import type { UpstreamEjection } from "@tanagercove/placement";
import type {
  CapacityStatus,
  LimitChange,
  LimitReason,
} from "@tanagercove/capacity";
import type { ColdStartEvent } from "./cold_starts.ts";
import type { CallerResult } from "./caller_request.ts";
import type { ForwardedResult } from "./forwarded_requests.ts";
import type { LearntIdentity } from "./upstream_identity.ts";
import { evidenceFields } from "./verdict_evidence.ts";

/** Limit on log lines about callers' requests; the same limit applies separately to forwarded requests. */
const REQUEST_LINES_PER_SECOND = 100;

/**
 * Limit on log lines in ten seconds about changed or avoided upstreams and unreadable values; a zone that comes back
 * changes all its upstreams at once.
 */
const CHANGE_LINES_PER_TEN_SECONDS = 100;

/** Complete transfers of less than this are counted and not logged. */
const LOGGED_TRANSFER_BYTES = 16 * 1024;

/** Timer delay from which a daemon logs that it is behind. */
const LOGGED_DELAY_MS = 200;

/** Average turn of the event loop from which a daemon logs that it is behind. */
const LOGGED_TURN_MS = 50;

/** Logs and counts the decisions of a sidecar. */
export interface SidecarObserver {
  onCatalog(event: CatalogEvent): void;
  onSync(event: CatalogSyncEvent): void;
  onTransfer(transfer: CatalogTransfer): void;
  onEjected(ejection: UpstreamEjection): void;
  onIdentityLearnt(learnt: LearntIdentity): void;
  onResult(result: CallerResult): void;
  onForwarded(result: ForwardedResult): void;
  onEventLoopLag(lag: EventLoopLag): void;
  onUpstreamLeaving(upstreamId: string): void;
  /** Called with an entry that has the address of this VM's upstream and is not taken for its own. */
  onAddressShared(entry: UpstreamEntry, ownId: string | undefined): void;
  /** Called when the configuration allows bodies for which this VM has no memory. */
  onBodiesExceedMemory(maxBodyBytes: number, roomBytes: number): void;
  /** Called with the limit that the upstream of this VM names now; undefined for none. */
  onLimit(limitPerSecond: number | undefined): void;
  /** Called when a run is refused because the service has no room for its calls. */
  onCallsRefused(service: string): void;
  /** Called when the learned limit of this VM's upstream has changed. */
  onCapacityChanged(change: LimitChange, status: CapacityStatus): void;
  /** Called when it changes whether the upstream of this VM counts as cold. */
  onColdStart(event: ColdStartEvent): void;
}

/** Options of `createObserver`. */
export interface CreateObserverOptions {
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly catalogRevision: () => number;
  readonly routeCount: () => number;
}

/**
 * Creates an observer that counts all decisions and logs them. Not logged are routine successes and forwarded requests
 * that the upstream answered. The log lines about requests, and most of those about upstreams, are limited in rate.
 */
export function createObserver(
  { log, metrics, catalogRevision, routeCount }: CreateObserverOptions,
): SidecarObserver {
  const requestLimit = new LineLimit({
    lines: REQUEST_LINES_PER_SECOND,
    intervalMs: 1_000,
  });
  const forwardedLimit = new LineLimit({
    lines: REQUEST_LINES_PER_SECOND,
    intervalMs: 1_000,
  });
  const changeLimit = new LineLimit({ lines: CHANGE_LINES_PER_TEN_SECONDS });
  const requestDurations = metrics.histogram("request_duration_us");
  const forwardedDurations = metrics.histogram("forwarded_duration_us");

  const timerDelays = metrics.histogram("timer_delay_us");
  const turns = metrics.histogram("event_loop_turn_us");

  function logChange(
    record: (unlogged_changes: number) => LogRecord,
  ): void {
    const unlogged = changeLimit.take();
    if (unlogged !== undefined) logEvent(log, record(unlogged));
  }

  return {
    onCatalog(event) {
      metrics.counter("catalog_events", { kind: event.kind }).add();
      CATALOG_EVENT_LOGGERS[event.kind](event as never, {
        log,
        logChange,
        routeCount,
      });
    },
    onSync(event) {
      metrics.counter("platform_events", { kind: event.kind }).add();
      SYNC_EVENT_LOGGERS[event.kind](event as never, { log, catalogRevision });
    },
    onTransfer(transfer) {
      const { source, content, outcome, sizeBytes } = transfer;
      metrics.counter("catalog_transfers", { content, outcome }).add();
      metrics.counter("catalog_transfer_bytes", { content }).add(sizeBytes);
      if (outcome === "complete" && sizeBytes < LOGGED_TRANSFER_BYTES) return;
      logEvent(log, {
        event: "catalog_transfer_ended",
        source,
        content,
        outcome,
        size_bytes: sizeBytes,
        head_ms: transfer.headMs && Math.round(transfer.headMs),
        duration_ms: Math.round(transfer.durationMs),
      });
    },
    onEjected({ id, failures, lengthMs }) {
      metrics.counter("upstreams_avoided").add();
      logChange((unlogged_changes) => ({
        event: "upstream_avoided",
        upstream_id: id,
        failures,
        avoided_ms: lengthMs,
        unlogged_changes,
      }));
    },
    onIdentityLearnt({ formerId, id }) {
      metrics.counter("upstream_ids_learnt").add();
      logEvent(log, {
        event: "upstream_id_learnt",
        former_upstream_id: formerId,
        upstream_id: id,
      });
    },
    onResult(result) {
      metrics.counter("requests", { outcome: result.outcome }).add();
      metrics.counter("attempts").add(result.attempts.length);
      requestDurations.record(result.durationMs * 1_000);
      if (isRoutineSuccess(result)) return;
      const unlogged = requestLimit.take();
      if (unlogged !== undefined) logEvent(log, requestLine(result, unlogged));
    },
    onEventLoopLag({ delayMs, turnMs }) {
      timerDelays.record(delayMs * 1_000);
      turns.record(turnMs * 1_000);
      if (delayMs < LOGGED_DELAY_MS && turnMs < LOGGED_TURN_MS) return;
      logEvent(log, {
        event: "daemon_behind",
        delay_ms: Math.round(delayMs),
        turn_ms: Math.round(turnMs),
      });
    },
    onBodiesExceedMemory(maxBodyBytes, roomBytes) {
      logEvent(log, {
        event: "bodies_exceed_memory",
        max_body_bytes: maxBodyBytes,
        room_bytes: roomBytes,
      });
    },
    onUpstreamLeaving(upstreamId) {
      metrics.counter("upstreams_leaving").add();
      logEvent(log, { event: "upstream_leaving", upstream_id: upstreamId });
    },
    onAddressShared({ id, service, state }, ownId) {
      logChange((unlogged_changes) => ({
        event: "upstream_address_shared",
        upstream_id: id,
        service,
        state,
        own_upstream_id: ownId,
        unlogged_changes,
      }));
    },
    onLimit(limitPerSecond) {
      logChange((unlogged_changes) => ({
        event: "upstream_limit_changed",
        limit_per_second: limitPerSecond,
        unlogged_changes,
      }));
    },
    onCallsRefused(service) {
      metrics.counter("runs_refused_for_calls", { service }).add();
    },
    onCapacityChanged({ reason, from, to }, { slots, workRate }) {
      metrics.counter("upstream_capacity_changes", { reason }).add();
      // A trial that fails ends where it began.
      if (!LOGGED_LIMIT_REASONS.has(reason)) return;
      logChange((unlogged_changes) => ({
        event: "upstream_capacity_changed",
        reason,
        limit_before: from,
        limit: to,
        slots,
        work_rate: Math.round(100 * workRate) / 100,
        unlogged_changes,
      }));
    },
    onColdStart(event) {
      COLD_START_REPORTERS[event.kind](event as never, { metrics, logChange });
    },
    onForwarded(result) {
      const { verdict } = result;
      const reason = verdict.kind === "answered" ? "" : verdict.reason;
      metrics.counter("forwarded", { outcome: verdict.kind, reason }).add();
      forwardedDurations.record(result.durationMs * 1_000);
      if (verdict.kind === "answered") return;
      const unlogged = forwardedLimit.take();
      if (unlogged !== undefined) {
        logEvent(log, forwardedLine(result, reason, unlogged));
      }
    },
  };
}

/** Changes of the learned limit that last; the others are of trials. */
const LOGGED_LIMIT_REASONS: ReadonlySet<LimitReason> = new Set([
  "lower_does_as_much",
  "higher_does_more",
  "slower_at_any",
  "not_reached",
  "slots_changed",
]);

function isRoutineSuccess(
  { outcome, status, attempts }: CallerResult,
): boolean {
  return outcome === "answered" && status < 500 && attempts.length <= 1;
}

function requestLine(
  result: CallerResult,
  unlogged_requests: number,
): LogRecord {
  return {
    event: "request_ended",
    request_id: result.requestId,
    outcome: result.outcome,
    status: result.status,
    route: result.route?.name,
    service: result.service,
    configuration_version: result.version,
    rank: result.rank,
    waited_before_ms: result.waitedBeforeMs,
    time_left_ms: result.timeLeftMs,
    duration_ms: result.durationMs,
    known_wait_ms: result.shortage && Math.round(result.shortage.waitMs),
    known_age_ms: result.shortage?.oldestReportMs === undefined
      ? undefined
      : Math.round(result.shortage.oldestReportMs),
    known_upstreams: result.shortage?.upstreams,
    returned_early_ms: result.shortage && Math.round(result.shortage.earlyMs),
    attempts: result.attempts.map((attempt) => ({
      upstream_id: attempt.upstreamId,
      outcome: attempt.verdict,
      reason: attempt.reason,
      ...evidenceFields(attempt.evidence),
      predicted_wait_ms: attempt.predictedWaitMs,
      predicted_service_ms: attempt.predictedServiceMs,
      duration_ms: attempt.durationMs,
    })),
    unlogged_requests,
  };
}

function forwardedLine(
  { requestId, ticket, verdict, load, durationMs, evidence }: ForwardedResult,
  reason: string,
  unlogged_requests: number,
): LogRecord {
  return {
    event: "forwarded_request_ended",
    request_id: requestId,
    upstream_id: ticket.upstreamId,
    route: ticket.route,
    outcome: verdict.kind,
    reason,
    ...evidenceFields(evidence),
    rank: ticket.rank,
    configuration_version: ticket.version,
    time_left_ms: Math.round(ticket.timeLeftMs - durationMs),
    objective_left_ms: Math.round(ticket.objectiveLeftMs - durationMs),
    duration_ms: Math.round(durationMs),
    running: load.running,
    waiting: load.waitingByRank.reduce((sum, count) => sum + count, 0),
    slots: load.slots,
    unlogged_requests,
  };
}

interface ColdStartContext {
  readonly metrics: Metrics;
  readonly logChange: CatalogLogContext["logChange"];
}

type ColdStartReporters = {
  readonly [K in ColdStartEvent["kind"]]: (
    event: Extract<ColdStartEvent, { kind: K }>,
    context: ColdStartContext,
  ) => void;
};

const COLD_START_REPORTERS: ColdStartReporters = {
  doubted: ({ reason }, { metrics, logChange }) => {
    metrics.counter("upstream_doubts", { reason }).add();
    logChange((unlogged_changes) => ({
      event: "upstream_doubted",
      reason,
      unlogged_changes,
    }));
  },
  cold: ({ coldForMs, source }, { metrics, logChange }) => {
    metrics.counter("upstream_cold_times", { source }).add();
    logChange((unlogged_changes) => ({
      event: "upstream_cold",
      cold_ms: Math.round(coldForMs),
      source,
      unlogged_changes,
    }));
  },
  warm: (_event, { logChange }) =>
    logChange((unlogged_changes) => ({
      event: "upstream_warm",
      unlogged_changes,
    })),
  unreadable: ({ source }, { metrics }) =>
    metrics.counter("cold_times_unreadable", { source }).add(),
  check_ended: ({ isAnswered }, { metrics }) =>
    metrics.counter("upstream_health_checks", {
      outcome: isAnswered ? "answered" : "unanswered",
    }).add(),
};

interface CatalogLogContext {
  readonly log: Logger;
  readonly logChange: (record: (unlogged_changes: number) => LogRecord) => void;
  readonly routeCount: () => number;
}

type CatalogEventLoggers = {
  readonly [K in CatalogEvent["kind"]]: (
    event: Extract<CatalogEvent, { kind: K }>,
    context: CatalogLogContext,
  ) => void;
};

const CATALOG_EVENT_LOGGERS: CatalogEventLoggers = {
  configuration_taken: ({ version }, { log, routeCount }) =>
    logEvent(log, {
      event: "configuration_taken",
      configuration_version: version,
      routes: routeCount(),
    }),
  configuration_ignored: ({ version, heldVersion }, { log }) =>
    logEvent(log, {
      event: "configuration_ignored",
      configuration_version: version,
      held_version: heldVersion,
    }),
  upstream_taken: ({ entry }, { logChange }) =>
    logChange((unlogged_changes) => ({
      event: "upstream_taken",
      upstream_id: entry.id,
      service: entry.service,
      address: `${entry.address}:${entry.port}`,
      zone: entry.zone,
      state: entry.state,
      unlogged_changes,
    })),
  upstream_removed: ({ id, service }, { logChange }) =>
    logChange((unlogged_changes) => ({
      event: "upstream_removed",
      upstream_id: id,
      service,
      unlogged_changes,
    })),
  removal_deferred: ({ id }, { log }) =>
    logEvent(log, { event: "removal_deferred", upstream_id: id }),
  evacuation_taken: ({ zone, isEvacuated }, { log }) =>
    logEvent(log, {
      event: "evacuation_changed",
      zone,
      state: isEvacuated ? "evacuated" : "in_use",
    }),
  unreadable: ({ key, problem }, { logChange }) =>
    logChange((unlogged_changes) => ({
      event: "value_unreadable",
      key,
      problem,
      unlogged_changes,
    })),
};

interface SyncLogContext {
  readonly log: Logger;
  readonly catalogRevision: () => number;
}

type SyncEventLoggers = {
  readonly [K in CatalogSyncEvent["kind"]]: (
    event: Extract<CatalogSyncEvent, { kind: K }>,
    context: SyncLogContext,
  ) => void;
};

const SYNC_EVENT_LOGGERS: SyncEventLoggers = {
  platform_lost: ({ error }, { log }) =>
    logEvent(log, {
      event: "platform_lost",
      reason: formatPlatformError(error),
    }),
  platform_regained: ({ outageMs }, { log }) =>
    logEvent(log, { event: "platform_back", outage_ms: Math.round(outageMs) }),
  history_dropped: (_event, { log, catalogRevision }) =>
    logEvent(log, {
      event: "history_dropped",
      catalog_revision: catalogRevision(),
    }),
  era_began: ({ era }, { log }) =>
    logEvent(log, { event: "store_era_began", era }),
  changes_too_large: ({ maxBytes }, { log, catalogRevision }) =>
    logEvent(log, {
      event: "changes_too_large",
      catalog_revision: catalogRevision(),
      max_bytes: maxBytes,
    }),
  guide_changed: ({ reader }, { log }) =>
    logEvent(log, { event: "reader_changed", reader: reader ?? "platform" }),
  circle_avoided: ({ reader, readers }, { log }) =>
    logEvent(log, {
      event: "reader_circle_avoided",
      reader,
      readers: readers.join(","),
    }),
  caught_up_from_peer: ({ peer, version, changeRevision }, { log }) =>
    logEvent(log, {
      event: "caught_up_from_peer",
      peer,
      configuration_version: version,
      catalog_revision: changeRevision,
    }),
};
