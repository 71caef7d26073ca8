import type { DurationDistribution } from "./seeded_random.ts";

/** State that an upstream reports on `/health`. */
export type UpstreamState = "starting" | "ready" | "draining";

/** Steps of an exchange at which an upstream can fail. */
export type ExchangeStep =
  | "accepted"
  | "request_read"
  | "answer_head"
  | "answer_body";

/** What fails: the connection, or the whole process as by `kill -9`. */
export type FailureScope = "connection" | "process";

/** How `/health` answers. */
export type HealthMode = "normal" | "error" | "silent";

/** Commands that change the behaviour of a running upstream stand-in. */
export type UpstreamControl =
  | { readonly action: "set_state"; readonly state: UpstreamState }
  /** Makes `/health` report this state and load. It reports the actual value of a field that is left out. */
  | {
    readonly action: "lie";
    readonly state?: UpstreamState;
    readonly load?: number;
  }
  | { readonly action: "set_health"; readonly mode: HealthMode }
  /** Accepts connections but holds back due answers and new requests, even to `/health`, until `thaw`. */
  | { readonly action: "freeze" }
  | { readonly action: "thaw" }
  | {
    readonly action: "fail_at";
    readonly step: ExchangeStep;
    /** Exchanges that fail; default 1. */
    readonly times?: number;
    /** Default `connection`. */
    readonly scope?: FailureScope;
  }
  | {
    readonly action: "set_service_time";
    readonly serviceTime: DurationDistribution;
  }
  | { readonly action: "set_slots"; readonly slots: number };
