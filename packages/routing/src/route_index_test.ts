import t from "tap";
import type { Route, RouteConfiguration } from "@tanagercove/types";
import { computeRouteIndex, matchRoute, TargetShares } from "./index.ts";

function route(options: Partial<Route>): Route {
  return {
    name: options.prefix ?? "route",
    host: "shop.example",
    prefix: "/",
    requestClass: "idempotent",
    latencyObjectiveMs: 500,
    priority: 1,
    targets: [{ service: "shop", weight: 1 }],
    timeoutMs: 1_000,
    maxAttempts: 2,
    ...options,
  };
}

function configuration(routes: readonly Route[]): RouteConfiguration {
  return {
    version: 1,
    routes,
    services: [],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  };
}

t.test("should choose the host's route whose prefix matches the most of the path", (t) => {
  const index = computeRouteIndex(configuration([
    route({ prefix: "/a/" }),
    route({ prefix: "/a/b/" }),
    route({ prefix: "/a/", host: "other.example", name: "other" }),
  ]));
  const nameOf = (host: string, path: string) =>
    matchRoute(index, { host, path })?.name;
  t.equal(nameOf("shop.example", "/a/b/c"), "/a/b/");
  t.equal(nameOf("shop.example", "/a/b"), "/a/");
  t.equal(nameOf("shop.example", "/a/x?next=/a/b/"), "/a/");
  t.equal(nameOf("Shop.Example:8080", "/a/"), "/a/");
  t.equal(nameOf("other.example", "/a/b/c"), "other");
  t.equal(nameOf("shop.example", "/b/"), undefined);
  t.equal(nameOf("shop.example", ""), undefined);
  t.end();
});

t.test("should match the root route if no longer prefix matches", (t) => {
  const index = computeRouteIndex(configuration([route({ prefix: "/" })]));
  t.ok(matchRoute(index, { host: "shop.example", path: "/x" }));
  t.ok(matchRoute(index, { host: "shop.example", path: "/" }));
  t.end();
});

t.test("should meet the weights within 100 requests, since users measure them over short times", (t) => {
  const split = route({
    targets: [
      { service: "old", weight: 90 },
      { service: "new", weight: 10 },
      { service: "off", weight: 0 },
    ],
  });
  const shares = new TargetShares();
  const counts: Record<string, number> = { old: 0, new: 0, off: 0 };
  for (let i = 0; i < 100; i += 1) counts[shares.nextService(split)]! += 1;
  t.equal(counts.off, 0);
  t.ok(Math.abs(counts.new! - 10) <= 1, `${counts.new} of 100`);
  t.end();
});
