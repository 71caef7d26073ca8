/** Names of the events that an operator can find in the log. */
export type DistributionEventName =
  | "version_taken"
  | "version_refused"
  | "version_stale"
  | "version_conflict"
  | "delta_mismatch"
  | "snapshot_mismatch"
  | "fetch_failed"
  | "edits_crossed"
  | "platform_lost"
  | "platform_back"
  | "platform_stale"
  | "platform_current"
  | "watch_started"
  | "watch_stopped"
  | "join_completed"
  | "floor_unconfirmed"
  | "floor_not_reached"
  | "pause_detected"
  | "peer_suspected"
  | "peer_back"
  | "vm_leaving";

/** An event with its details, in the wire's snake_case. */
export interface DistributionEvent {
  readonly event: DistributionEventName;
  readonly level: "info" | "warn";
  readonly details: Readonly<Record<string, unknown>>;
}

/** Receives events. */
export type EventListener = (event: DistributionEvent) => void;
