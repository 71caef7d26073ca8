import type { IncomingMessage, ServerResponse } from "node:http";
import type { BodyLease } from "@tanagercove/memory";
import type { Route } from "@tanagercove/types";
import type { CallerHead } from "./caller_head.ts";
import type { OwnerVerdict } from "./forwarding.ts";
import type { RefusalReason } from "./refusals.ts";
import type { KnownShortage } from "./room_check.ts";
import type { VerdictEvidence } from "./verdict_evidence.ts";

/** How a request of a caller ended. */
export interface CallerResult {
  readonly requestId: string;
  readonly outcome: "answered" | "gone" | RefusalReason;
  readonly status: number;
  readonly route: Route | undefined;
  readonly service: string | undefined;
  readonly rank: number | undefined;
  readonly version: number;
  readonly attempts: readonly AttemptRecord[];
  /** Estimated time from the caller's first attempt until the arrival of this request, which may be a retry. */
  readonly waitedBeforeMs: number | undefined;
  readonly timeLeftMs: number | undefined;
  readonly durationMs: number;
  /** What was known of the service, if the request was refused because of it. */
  readonly shortage?: KnownShortage | undefined;
}

/** One attempt of a request. */
export interface AttemptRecord {
  readonly upstreamId: string;
  readonly verdict: OwnerVerdict["kind"];
  readonly reason: string;
  readonly evidence: VerdictEvidence;
  readonly predictedWaitMs: number;
  readonly predictedServiceMs: number;
  readonly durationMs: number;
}

/** A caller's request; created when its head has arrived, before its body is read. */
export interface CallerRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Without its path and the fields that are passed on when the request has been served. */
  head: CallerHead;
  readonly requestId: string;
  readonly startedMs: number;
  readonly attempts: AttemptRecord[];
  isDisconnected: boolean;
  cancel: (() => void) | undefined;
  /** Memory of the body, until the request has been served. */
  bodyLease?: BodyLease | undefined;
  /** Gives back what the request takes of the heap; called when the answer has been sent or its connection has closed. */
  readonly releaseHead?: (() => void) | undefined;
  /** Called when the answer has been sent or its connection has closed. */
  releaseAnswer?: () => void;
}

/** A caller's request with its route. */
export interface RoutedRequest extends CallerRequest {
  readonly route: Route;
  readonly version: number;
  readonly service: string;
  readonly rank: number;
  /** Undefined without a body, and when the request has been served. */
  body: Buffer | undefined;
  readonly deadlineAtMs: number;
  /** End of the latency objective, after which an answer has lost most of its value; counted from the caller's first attempt. */
  readonly objectiveAtMs: number;
  readonly waitedBeforeMs: number;
  /** Whether this VM's upstream sends the request as part of handling another one. */
  readonly isNested: boolean;
  /** Whether it was checked before the body was read that the service has room. */
  readonly isRoomChecked?: boolean;
}
