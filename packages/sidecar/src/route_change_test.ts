import t from "tap";
import { Catalog } from "@tanagercove/catalog";
import { UpstreamReports } from "@tanagercove/placement";
import { ServiceBudgets } from "@tanagercove/retries";
import type { Route } from "@tanagercove/types";
import { runForwarded } from "./forwarded_requests.ts";
import { EvacuatedZones } from "./evacuated_zones.ts";
import { LeavingUpstreams } from "./leaving_upstreams.ts";
import type { OwnedRequest, OwnedResult } from "./owner.ts";
import { decideRequestClass } from "./request_class.ts";
import { ROUTE, routedRequest, upstreamTaken } from "./request_fixture.ts";
import { createMemory } from "./memory_fixture.ts";
import { createRequestServer } from "./serve_request.ts";

/** A route of the second version, below that of the first one. */
const PAY: Route = {
  ...ROUTE,
  name: "pay",
  prefix: "/browse/pay/",
  requestClass: "non_idempotent",
};

const LOAD = { running: 1, slots: 4, waitingByRank: [0], serviceTimeMs: 50 };

const ANSWER_LOST: OwnedResult = {
  verdict: { kind: "unknown", reason: "cut" },
  answer: undefined,
};

/** A catalog with two upstreams, which are on other VMs, and the routes of a version. */
function catalogAt(version: 1 | 2): Catalog {
  const catalog = new Catalog();
  for (const index of [0, 1]) {
    catalog.apply([upstreamTaken({ index, revision: index + 1 })]);
  }
  takeVersion(catalog, version);
  return catalog;
}

function takeVersion(catalog: Catalog, version: 1 | 2): void {
  catalog.apply([{
    kind: "configuration",
    revision: 10 + version,
    configuration: {
      version,
      routes: version === 1 ? [ROUTE] : [ROUTE, PAY],
      services: [],
      limits: {
        maxHeaderBytes: 1_000,
        maxBodyBytes: 1_000,
        headerTimeoutMs: 1_000,
        idleTimeoutMs: 1_000,
      },
    },
  }]);
}

/** A daemon that holds version 1, in front of two owner daemons whose upstreams lose each answer. */
function setUp(options: {
  readonly ownerVersion: 1 | 2;
  readonly isConfigurationCurrent?: boolean;
  /** Called when an upstream has run the request. */
  readonly onRun?: (catalog: Catalog) => void;
  /** What each upstream makes of the request; by default, its answer is lost. */
  readonly outcome?: OwnedResult;
}) {
  let withheldCount = 0;
  const catalog = catalogAt(1);
  const ownerCatalog = catalogAt(options.ownerVersion);
  const runs: OwnedRequest[] = [];
  const { serve } = createRequestServer({
    zone: "a",
    address: "10.0.0.99",
    service: "web",
    peerPort: 9_000,
    catalog,
    owner: { run: () => t.fail("the upstream is on another VM") as never },
    ownerState: () => t.fail("the upstream is on another VM") as never,
    leaving: new LeavingUpstreams(catalog),
    evacuated: new EvacuatedZones({ catalog }),
    peers: {
      forward({ request }) {
        const { ended, cancel } = runForwarded(request, {
          owner: {
            load: () => LOAD,
            run(owned) {
              runs.push(owned);
              options.onRun?.(catalog);
              const ended = Promise.resolve(options.outcome ?? ANSWER_LOST);
              return { ended, cancel() {} };
            },
          },
          memory: createMemory(),
          accepts: () => true,
          catalog: ownerCatalog,
          onForwarded() {},
        });
        // Without a state, as if the owner daemon had ended together with its upstream.
        return {
          ended: ended.then((end) => ({ ...end, state: undefined })),
          cancel,
        };
      },
    },
    reports: new UpstreamReports(),
    budgets: new ServiceBudgets({
      ratio: 0,
      slack: 1_000,
      windowMs: 10_000,
      daemons: () => 1,
    }),
    sendQueue: { wait: () => Promise.resolve() },
    isStopping: () => false,
    isConfigurationCurrent: () => options.isConfigurationCurrent ?? true,
    onRepeatWithheld: () => withheldCount += 1,
    onPeerState() {},
    random: () => 0.5,
  });
  const path = "/browse/pay/x";
  return {
    serve: (method: string) => serve(routedRequest({ method, path })),
    runs,
    withheld: () => withheldCount,
  };
}

// Guards against a payment that runs twice: its daemon held an older version, by which the request might be repeated.
t.test("should not run a request that another daemon takes for idempotent by an older version", async (t) => {
  for (const method of ["POST", "GET"]) {
    const { serve, runs } = setUp({ ownerVersion: 2 });
    const served = await serve(method);
    t.match(served, { kind: "refused", reason: "route_changed" }, method);
    t.match(served, { retryAfterMs: 500 }, "by then its daemon has caught up");
    t.equal(runs.length, 0, "also not at an upstream that might be tried next");
  }
});

// Guards against the same at a daemon that is cut off together with the upstreams. The route decides what may be repeated,
// not the method.
t.test("should repeat nothing that may have run while the configuration may be outdated", async (t) => {
  const outdated = { ownerVersion: 1, isConfigurationCurrent: false } as const;
  for (const method of ["POST", "PUT", "GET", "HEAD", "OPTIONS"]) {
    const { serve, runs, withheld } = setUp(outdated);
    t.match(await serve(method), { kind: "refused", reason: "cut" });
    t.equal(runs.length, 1, method);
    t.equal(withheld(), 1, "which is counted");
  }
  for (const method of ["POST", "GET"]) {
    const { serve, runs, withheld } = setUp({ ownerVersion: 1 });
    await serve(method);
    t.equal(runs.length, 2, "a current configuration decides alone");
    t.equal(withheld(), 0);
  }
});

// Guards against requests that fail although a second upstream could serve them: what an upstream has not run may go on.
t.test("should send a request that has not run to another upstream while the configuration may be outdated", async (t) => {
  const { serve, runs, withheld } = setUp({
    ownerVersion: 1,
    isConfigurationCurrent: false,
    outcome: {
      verdict: {
        kind: "not_run",
        reason: "upstream_refused",
        reachedUpstream: true,
        retryAfterMs: 0,
      },
      answer: undefined,
    },
  });
  t.match(await serve("GET"), { kind: "refused", reason: "upstream_refused" });
  t.equal(runs.length, 2);
  t.equal(withheld(), 0);
});

// Guards against the same for a request that is under way while the newer version arrives.
t.test("should not repeat a request that a version taken meanwhile makes non-idempotent", async (t) => {
  const { serve, runs } = setUp({
    ownerVersion: 1,
    onRun: (catalog) => takeVersion(catalog, 2),
  });
  t.match(await serve("POST"), { kind: "refused", reason: "cut" });
  t.equal(runs.length, 1);
});

t.test("should keep the class of a request whose route was removed", (t) => {
  const removed = { current: undefined, isConfigurationCurrent: true };
  for (const routed of ["idempotent", "non_idempotent"] as const) {
    t.equal(decideRequestClass({ ...removed, routed }), routed);
  }
  t.end();
});
