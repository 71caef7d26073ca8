import { HEADERS, type Vm } from "@tanagercove/types";
import type { HopKind } from "./classify_exchange.ts";
import type { ExchangeEnd } from "./exchange.ts";
import type { RequestHead } from "./request_head.ts";

/** Which daemon connects to an upstream: the one on its VM, or the caller's. */
export type Division = "owner" | "direct";

/** Path prefix of forwarded requests on the peer port. */
export const FORWARD_PREFIX = "/forward";

/**
 * Time beyond the deadline in which the owner daemon's own verdict is awaited:
 * it knows whether a request that waited in its queue ran, this daemon does not.
 */
const OWNER_VERDICT_GRACE_MS = 25;

/** Options of `DivisionPlan.headers`. */
export interface HopHeadersOptions {
  readonly head: RequestHead;
  readonly service: string;
  readonly customer: string;
  readonly requestId: string;
  readonly revision: number;
  readonly timeLeftMs: number;
}

/** How a caller's daemon reaches an upstream. */
export interface DivisionPlan {
  readonly hop: HopKind;
  readonly deadlineGraceMs: number;
  /** `IP:PORT` of the next hop. */
  destination(vm: Vm): string;
  path(url: string): string;
  headers(options: HopHeadersOptions): string[];
  /** Time spent on the upstream's own exchange, if known. */
  upstreamMs(end: ExchangeEnd): number | undefined;
}

/** Plan of each division of work. */
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

function upstreamHeaders(options: HopHeadersOptions): string[] {
  return hopHeaders(options.head, {
    requestId: options.requestId,
    customer: options.customer,
    timeLeftMs: options.timeLeftMs,
    depth: options.head.depth + 1,
  });
}

/** Options of `hopHeaders`. */
export interface HopFieldsOptions {
  readonly requestId: string;
  readonly customer: string;
  readonly timeLeftMs: number;
  readonly depth: number;
}

/** Fields passed on from a request and the ones that every hop carries. */
export function hopHeaders(
  head: RequestHead,
  { requestId, customer, timeLeftMs, depth }: HopFieldsOptions,
): string[] {
  return [
    ...head.passed,
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
