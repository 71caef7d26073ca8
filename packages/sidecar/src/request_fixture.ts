import { IncomingMessage, ServerResponse } from "node:http";
import { Socket } from "node:net";
import type { CatalogChange } from "@tanagercove/catalog";
import { bodyFraming } from "@tanagercove/headers";
import type { Route } from "@tanagercove/types";
import type { CallerHead } from "./caller_head.ts";
import type { RoutedRequest } from "./caller_request.ts";

/** Route of `routedRequest`. */
export const ROUTE: Route = {
  name: "browse",
  host: "shop.example",
  prefix: "/browse/",
  requestClass: "idempotent",
  latencyObjectiveMs: 500,
  priority: 1,
  targets: [{ service: "shop", weight: 1 }],
  timeoutMs: 4_000,
  maxAttempts: 2,
};

/** Options of `routedRequest`. */
export interface RoutedRequestOptions {
  readonly route?: Partial<Route>;
  readonly method?: string;
  readonly path?: string;
}

/** The head of a request to the host of `ROUTE`, without a body. */
export function callerHead({ path = "/browse/x" } = {}): CallerHead {
  return {
    requestId: "r1",
    host: ROUTE.host,
    path,
    timeLeftMs: 4_000,
    framing: bodyFraming({}),
    expectsContinue: false,
    offersUpgrade: false,
    headers: ["Host", ROUTE.host],
  };
}

/** A request of a caller that just got its route by version 1. */
export function routedRequest(
  { route = {}, method = "GET", path = "/browse/x" }: RoutedRequestOptions = {},
): RoutedRequest {
  const request = new IncomingMessage(new Socket());
  Object.assign(request, { method, url: path });
  const nowMs = performance.now();
  return {
    request,
    response: new ServerResponse(request),
    head: callerHead({ path }),
    requestId: "r1",
    startedMs: nowMs,
    attempts: [],
    isDisconnected: false,
    cancel: undefined,
    route: { ...ROUTE, ...route },
    version: 1,
    service: "shop",
    rank: 2,
    body: undefined,
    deadlineAtMs: nowMs + 4_000,
    objectiveAtMs: nowMs + 500,
    waitedBeforeMs: 0,
    isNested: false,
  };
}

/** The registration of the upstream `u0`, `u1`, ... of the service of `ROUTE`, each on a VM of its own. */
export function upstreamTaken(
  { index, revision, bornMs = 1, zone = "a" }: {
    readonly index: number;
    readonly revision: number;
    readonly bornMs?: number;
    readonly zone?: string;
  },
): CatalogChange {
  return {
    kind: "upstream",
    revision,
    entry: {
      id: `u${index}`,
      service: "shop",
      address: `10.0.0.${index + 1}`,
      port: 80,
      zone,
      slots: 4,
      state: "ready",
      coldMs: 0,
      bornMs,
    },
  };
}
