import type { SectionName, Settings } from "./key_table.ts";
import type { SettingsProblem } from "./settings.ts";

/** Finds keys whose value is valid in itself but contradicts another key. */
export function findConflicts(settings: Settings): readonly SettingsProblem[] {
  const problems: SettingsProblem[] = [];
  const report = (
    section: SectionName,
    key: string,
    { value, message }: {
      readonly value: string | number;
      readonly message: string;
    },
  ) => problems.push({ section, key, value: String(value), message });
  const { requests, upstream } = settings;

  if (requests.identity === "signed" && requests.customerKey === undefined) {
    report("requests", "customer_key", {
      value: "",
      message: "Expected a key, because `identity` is `signed`",
    });
  }
  if (requests.identity === "trusted" && requests.trustedCallers.length === 0) {
    report("requests", "trusted_callers", {
      value: "",
      message:
        "Expected at least one IP/BITS, because `identity` is `trusted` and no caller would be accepted",
    });
  }
  if (upstream.connections < upstream.slots) {
    report("upstream", "connections", {
      value: upstream.connections,
      message: `Expected at least \`slots\`, which is ${upstream.slots}`,
    });
  }
  if (upstream.healthTimeoutMs > upstream.healthIntervalMs) {
    report("upstream", "health_timeout_ms", {
      value: upstream.healthTimeoutMs,
      message:
        `Expected at most \`health_interval_ms\`, which is ${upstream.healthIntervalMs}`,
    });
  }
  problems.push(...findSharedPorts(settings));
  return problems;
}

interface ListeningPort {
  readonly section: SectionName;
  readonly key: string;
  readonly address: string;
  readonly port: number;
}

function findSharedPorts(
  { daemon, operators, upstream }: Settings,
): readonly SettingsProblem[] {
  const ports: readonly ListeningPort[] = [
    {
      section: "daemon",
      key: "caller_port",
      address: daemon.callerAddress,
      port: daemon.callerPort,
    },
    {
      section: "daemon",
      key: "peer_port",
      address: daemon.address,
      port: daemon.peerPort,
    },
    { section: "operators", key: "port", ...operators },
    {
      section: "upstream",
      key: "port",
      address: upstream.address,
      port: upstream.port,
    },
  ];
  return ports.flatMap((later, index) => {
    const earlier = ports.slice(0, index).find((earlier) =>
      earlier.port === later.port &&
      addressesOverlap(earlier.address, later.address)
    );
    if (earlier === undefined) return [];
    return [{
      section: later.section,
      key: later.key,
      value: String(later.port),
      message:
        `Expected a port other than that of [${earlier.section}] ${earlier.key}, because their addresses overlap`,
    }];
  });
}

function addressesOverlap(a: string, b: string): boolean {
  const isAny = (address: string) => address === "0.0.0.0" || address === "::";
  return a === b || isAny(a) || isAny(b);
}
