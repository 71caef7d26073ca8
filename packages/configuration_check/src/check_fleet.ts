import type { RouteConfiguration } from "@tanagercove/types";
import type { Finding } from "./finding.ts";

/** What is known of the fleet that gets the configuration. */
export interface FleetFacts {
  /** Number of upstreams by service; a service that is missing has none. */
  readonly upstreamCounts?: Readonly<Record<string, number>>;
  /** Memory of the VM with the least. */
  readonly smallestMemoryBytes?: number;
}

/**
 * Finds limits that the fleet cannot keep: attempts for which there are too few upstreams, services without any, and
 * bodies that a daemon cannot hold on the smallest VM.
 */
export function checkFleet(
  { routes, limits }: RouteConfiguration,
  { upstreamCounts, smallestMemoryBytes }: FleetFacts,
): readonly Finding[] {
  const findings: Finding[] = [];
  if (
    smallestMemoryBytes !== undefined &&
    limits.maxBodyBytes > smallestMemoryBytes
  ) {
    findings.push({
      severity: "warning",
      field: "max_body_bytes",
      message:
        `A body of ${limits.maxBodyBytes} bytes does not fit into the memory of the smallest VM, ${smallestMemoryBytes} bytes`,
    });
  }
  if (upstreamCounts === undefined) return findings;
  for (const { name, targets, maxAttempts } of routes) {
    for (const { service } of targets) {
      const count = upstreamCounts[service] ?? 0;
      if (count === 0) {
        findings.push({
          severity: "error",
          route: name,
          field: "service",
          message: `The service ${service} has no upstream`,
        });
      } else if (maxAttempts > count) {
        findings.push({
          severity: "warning",
          route: name,
          field: "max_attempts",
          message:
            `${maxAttempts} attempts, but the service ${service} has ${count} upstreams`,
        });
      }
    }
  }
  return findings;
}
