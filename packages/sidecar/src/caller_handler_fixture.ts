import { Catalog } from "@tanagercove/catalog";
import type { MemoryBudget } from "@tanagercove/memory";
import { ServiceBudgets } from "@tanagercove/retries";
import { TargetShares } from "@tanagercove/routing";
import type { Route } from "@tanagercove/types";
import { createMemory } from "./memory_fixture.ts";
import {
  createCallerHandler,
  type CreateCallerHandlerOptions,
} from "./caller_handler.ts";
import { NAMES } from "./peer_server_fixture.ts";
import type { RoutedRequest } from "./caller_request.ts";
import type { RequestServer, ServeRequest } from "./serve_request.ts";

/** Options of `setUpCallerHandler`. */
export interface SetUpCallerHandlerOptions {
  readonly catalog?: Catalog;
  readonly serve?: ServeRequest;
  readonly knownShortage?: RequestServer["knownShortage"];
  readonly route?: Partial<Route>;
  readonly memory?: MemoryBudget;
  readonly mayTake?: CreateCallerHandlerOptions["mayTake"];
}

/** Creates a handler for one route; `served` lists the requests that it serves if there is no other `serve`. */
export function setUpCallerHandler(
  {
    catalog = new Catalog(),
    serve,
    knownShortage = () => undefined,
    route = {},
    memory = createMemory(),
    mayTake = () => true,
  }: SetUpCallerHandlerOptions = {},
) {
  catalog.apply([{
    kind: "configuration",
    revision: 1,
    configuration: {
      version: 1,
      routes: [{
        name: "browse",
        host: "shop.example",
        prefix: "/browse/",
        requestClass: "idempotent",
        latencyObjectiveMs: 500,
        priority: 1,
        targets: [{ service: "shop", weight: 1 }],
        timeoutMs: 4_000,
        maxAttempts: 2,
        ...route,
      }],
      services: [],
      limits: {
        maxHeaderBytes: 1_000,
        maxBodyBytes: 1_000,
        headerTimeoutMs: 1_000,
        idleTimeoutMs: 1_000,
      },
    },
  }]);
  const served: RoutedRequest[] = [];
  const handler = createCallerHandler({
    names: NAMES,
    memory,
    catalog,
    owner: {
      runsParentOf: () => false,
      beginNested: () => () => {},
      recordCall: () => {},
    },
    server: {
      serve: serve ?? ((routed) => {
        served.push(routed);
        return Promise.resolve({ kind: "gone" });
      }),
      knownShortage,
    },
    shares: new TargetShares(),
    budgets: new ServiceBudgets({
      ratio: 0,
      slack: 0,
      windowMs: 10_000,
      daemons: () => 1,
    }),
    isStarting: () => false,
    isStopping: () => false,
    mayTake,
    onResult: () => {},
    onHandlerFailed(error) {
      throw error;
    },
  });
  return { handler, served };
}
