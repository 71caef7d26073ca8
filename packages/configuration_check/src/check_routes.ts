import type { Route, RouteConfiguration } from "@tanagercove/types";
import type { Finding } from "./finding.ts";

/**
 * Longest timeout that is taken for meant: a caller that waits for longer holds its connection and its place in the
 * upstream for longer than any drain of a VM lasts.
 */
const MAX_TIMEOUT_MS = 10 * 60_000;

/** Finds what is wrong with each route on its own. */
export function checkRoutes(
  { routes, services }: RouteConfiguration,
): readonly Finding[] {
  const serviceNames = new Set(services.map(({ name }) => name));
  return routes.flatMap((route) => [
    ...checkPrefix(route),
    ...checkTargets(route, serviceNames),
    ...checkTimes(route),
    ...checkAttempts(route),
  ]);
}

function checkPrefix({ name, prefix }: Route): readonly Finding[] {
  if (prefix.startsWith("/") && prefix.endsWith("/")) return [];
  return [{
    severity: "error",
    route: name,
    field: "prefix",
    message:
      `Expected a prefix that begins and ends with a slash, got ${prefix}`,
  }];
}

function checkTargets(
  { name, targets }: Route,
  serviceNames: ReadonlySet<string>,
): readonly Finding[] {
  const findings: Finding[] = targets
    .filter(({ service }) => !serviceNames.has(service))
    .map(({ service }) => ({
      severity: "error",
      route: name,
      field: "service",
      message: `The service ${service} is not among the services`,
    }));
  const totalWeight = targets.reduce((sum, { weight }) => sum + weight, 0);
  if (totalWeight === 0) {
    findings.push({
      severity: "error",
      route: name,
      field: "weight",
      message: "All weights are 0, so that no service gets a request",
    });
    return findings;
  }
  for (const { service, weight } of targets) {
    if (weight > 0) continue;
    findings.push({
      severity: "warning",
      route: name,
      field: "weight",
      message: `The service ${service} has weight 0 and gets no request`,
    });
  }
  return findings;
}

function checkTimes(
  { name, timeoutMs, latencyObjectiveMs }: Route,
): readonly Finding[] {
  const findings: Finding[] = [];
  if (!(timeoutMs > 0) || timeoutMs > MAX_TIMEOUT_MS) {
    findings.push({
      severity: "error",
      route: name,
      field: "timeout",
      message:
        `Expected a timeout above 0 and up to ${MAX_TIMEOUT_MS} ms, got ${timeoutMs} ms`,
    });
  }
  if (timeoutMs < latencyObjectiveMs) {
    findings.push({
      severity: "warning",
      route: name,
      field: "timeout",
      message:
        `The timeout of ${timeoutMs} ms is under the objective of ${latencyObjectiveMs} ms`,
    });
  }
  return findings;
}

function checkAttempts({ name, maxAttempts }: Route): readonly Finding[] {
  if (Number.isInteger(maxAttempts) && maxAttempts >= 1) return [];
  return [{
    severity: "error",
    route: name,
    field: "max_attempts",
    message: `Expected a whole number of at least 1, got ${maxAttempts}`,
  }];
}
