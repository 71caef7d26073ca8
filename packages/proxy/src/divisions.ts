import { HEADERS, type Vm } from "@tanagercove/types";
import type { HopKind } from "./classify_exchange.ts";
import type { ExchangeEnd } from "./exchange.ts";
import type { RequestHead } from "./request_head.ts";

/** Whether the daemon of the upstream's VM (`owner`) or of the caller (`direct`) connects to the upstream. */
export type Division = "owner" | "direct";

/** Path prefix of forwarded requests on the peer port. */
export const FORWARD_PREFIX = "/forward";

/**
 * Time beyond the deadline for which the caller's daemon waits for the verdict
 * of the owner daemon, which alone knows whether a request in its queue ran.
 */
const OWNER_VERDICT_GRACE_MS = 25;

/** Options of `DivisionPlan.headers`. */
export interface DivisionHeadersOptions {
  readonly head: RequestHead;
  readonly service: string;
  readonly customer: string;
  readonly requestId: string;
  readonly revision: number;
  readonly timeLeftMs: number;
}

/** How a caller's daemon reaches an upstream in one division of work. */
export interface DivisionPlan {
  readonly hop: HopKind;
  readonly deadlineGraceMs: number;
  /** `IP:PORT` of the next hop. */
  destination(vm: Vm): string;
  path(url: string): string;
  headers(options: DivisionHeadersOptions): string[];
  /** Duration of the exchange with the upstream, if known. */
  upstreamMs(end: ExchangeEnd): number | undefined;
}

/** How a caller's daemon reaches an upstream in each division of work. */
export const DIVISIONS: Readonly<Record<Division, DivisionPlan>> = {
  owner: {
    hop: "peer",
    deadlineGraceMs: OWNER_VERDICT_GRACE_MS,
    destination: (vm) => `${vm.address}:${vm.peerPort}`,
    path: (url) => FORWARD_PREFIX + url,
    headers(options) {
      const fields = upstreamHeaders(options);
      fields.push(
        HEADERS.service,
        options.service,
        HEADERS.revision,
        String(options.revision),
      );
      if (options.head.timing) fields.push(HEADERS.timing, "1");
      return fields;
    },
    upstreamMs({ head }) {
      return head?.upstreamUs === undefined
        ? undefined
        : head.upstreamUs / 1_000;
    },
  },
  direct: {
    hop: "upstream",
    deadlineGraceMs: 0,
    destination: (vm) => `${vm.address}:${vm.upstreamPort}`,
    path: (url) => url,
    headers: upstreamHeaders,
    upstreamMs: ({ durationMs }) => durationMs,
  },
};

function upstreamHeaders(options: DivisionHeadersOptions): string[] {
  return hopHeaders(options.head, {
    requestId: options.requestId,
    customer: options.customer,
    timeLeftMs: options.timeLeftMs,
    depth: options.head.depth + 1,
  });
}

/** Options of `hopHeaders`. */
export interface HopHeadersOptions {
  readonly requestId: string;
  readonly customer: string;
  readonly timeLeftMs: number;
  readonly depth: number;
}

/** Returns the header fields sent to the next hop: those passed on from a request, and those that each hop sets. */
export function hopHeaders(
  head: RequestHead,
  { requestId, customer, timeLeftMs, depth }: HopHeadersOptions,
): string[] {
  return [
    ...head.passedFields,
    HEADERS.requestId,
    requestId,
    HEADERS.customer,
    customer,
    HEADERS.deadlineMs,
    String(Math.max(1, Math.floor(timeLeftMs))),
    HEADERS.depth,
    String(depth),
  ];
}
