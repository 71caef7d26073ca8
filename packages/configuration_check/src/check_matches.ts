import type { Route } from "@tanagercove/types";
import type { Finding } from "./finding.ts";

/**
 * Finds routes that no request can match: the longest matching prefix of a host applies, so of two routes with the same
 * host and prefix only one does, and a route behind it gets nothing.
 */
export function checkMatches(routes: readonly Route[]): readonly Finding[] {
  const nameByKey = new Map<string, string>();
  const findings: Finding[] = [];
  for (const { name, host, prefix } of routes) {
    const key = `${host}${prefix}`;
    const earlier = nameByKey.get(key);
    if (earlier === undefined) {
      nameByKey.set(key, name);
      continue;
    }
    findings.push({
      severity: "error",
      route: name,
      field: "prefix",
      message: `The route ${earlier} has the same host and prefix, ${key}`,
    });
  }
  return [...findings, ...checkNames(routes), ...checkHosts(routes)];
}

function checkNames(routes: readonly Route[]): readonly Finding[] {
  const seen = new Set<string>();
  return routes.flatMap(({ name }) => {
    const isRepeated = seen.has(name);
    seen.add(name);
    return isRepeated
      ? [{
        severity: "warning" as const,
        route: name,
        field: "name",
        message: "Another route has this name, so logs cannot tell them apart",
      }]
      : [];
  });
}

/** Host as the authority of a request can name it: letters, digits, dots and hyphens. */
const HOST = /^[a-z0-9](?:[a-z0-9.-]*[a-z0-9])?$/;

function checkHosts(routes: readonly Route[]): readonly Finding[] {
  return routes.flatMap(({ name, host }) =>
    HOST.test(host) ? [] : [{
      severity: "error" as const,
      route: name,
      field: "host",
      message:
        `No request names the host ${host}: expected a host name without port`,
    }]
  );
}
