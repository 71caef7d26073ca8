import { IncomingMessage, ServerResponse } from "node:http";
import { Socket } from "node:net";
import t from "tap";
import { Catalog } from "@tanagercove/catalog";
import { ServiceBudgets } from "@tanagercove/retries";
import { TargetShares } from "@tanagercove/routing";
import { waitFor } from "@tanagercove/test_helpers";
import { AnswerMemory } from "./answer_memory.ts";
import { createCallerHandler } from "./caller_handler.ts";
import type { RoutedRequest } from "./caller_request.ts";

const NAMES = {
  requestId: "x-id",
  timeLeftMs: "x-left",
  signature: "x-signature",
  upstreamId: "x-upstream",
  answeringUpstreamId: "x-answering",
  load: "x-load",
  notRun: "x-not-run",
  callerService: "x-caller",
};

/** Creates a handler for one route; `handle` returns the request that is served. */
function setUp() {
  const catalog = new Catalog();
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
    answerMemory: new AnswerMemory({ maxBufferedBytes: 1_000_000 }),
    catalog,
    owner: { runsParentOf: () => false },
    serve(routed) {
      served.push(routed);
      return Promise.resolve({ kind: "gone" });
    },
    shares: new TargetShares(),
    budgets: new ServiceBudgets({
      ratio: 0,
      slack: 0,
      windowMs: 10_000,
      daemons: () => 1,
    }),
    isStopping: () => false,
    refusesNew: () => false,
    onResult: () => {},
    onHandlerFailed: (error) => t.fail(String(error)),
  });
  async function handle(timeLeft: string): Promise<RoutedRequest> {
    const servedBefore = served.length;
    const request = new IncomingMessage(new Socket());
    request.method = "GET";
    request.url = "/browse/x";
    request.headers = { host: "shop.example", "x-id": "r", "x-left": timeLeft };
    handler.handle(request, new ServerResponse(request));
    await waitFor(() => served.length > servedBefore);
    return served.at(-1)!;
  }
  return { handle };
}

// Guards against one caller that makes all later requests of its route fail: the time since their first attempt was
// estimated as infinite, and other daemons refused their tickets as malformed.
t.test("should treat an infinite time left as missing", async (t) => {
  const { handle } = setUp();
  for (const timeLeft of ["Infinity", "-Infinity", "1e999"]) {
    const { deadlineAtMs, objectiveAtMs } = await handle(timeLeft);
    t.ok(Number.isFinite(deadlineAtMs), `deadline for ${timeLeft}`);
    t.ok(Number.isFinite(objectiveAtMs), `objective for ${timeLeft}`);
  }
  const { objectiveAtMs } = await handle("900");
  t.ok(Number.isFinite(objectiveAtMs), "objective of a later request");
});
