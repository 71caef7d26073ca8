import { parse } from "ini";
import { Result } from "true-myth";

/** Validated settings of one daemon. */
export interface Settings {
  readonly daemon: {
    readonly vmId: string;
    readonly zone: string;
    readonly region: string;
    readonly service: string;
    readonly address: string;
    readonly callerPort: number;
    readonly peerPort: number;
  };
  readonly platform: { readonly url: string };
  readonly upstream: { readonly address: string; readonly port: number };
  readonly operators: { readonly address: string; readonly port: number };
}

/** One wrong key in a settings file. */
export interface SettingsProblem {
  readonly section: string;
  readonly key: string;
  readonly value: string;
  readonly message: string;
}

/** Parses a settings file and reports all problems at once. */
export function parseSettings(
  text: string,
): Result<Settings, readonly SettingsProblem[]> {
  const file = parse(text) as Record<
    string,
    Record<string, string> | undefined
  >;
  const problems: SettingsProblem[] = [];
  const word = (section: string, key: string): string => {
    const value = file[section]?.[key];
    if (value !== undefined && value !== "") return value;
    problems.push({ section, key, value: "", message: "Expected a value" });
    return "";
  };
  const port = (section: string, key: string): number => {
    const value = Number(word(section, key));
    if (Number.isInteger(value) && value >= 1 && value <= 65_535) return value;
    problems.push({
      section,
      key,
      value: String(value),
      message: "Expected 1 to 65535",
    });
    return 0;
  };
  const settings: Settings = {
    daemon: {
      vmId: word("daemon", "vm_id"),
      zone: word("daemon", "zone"),
      region: word("daemon", "region"),
      service: word("daemon", "service"),
      address: word("daemon", "address"),
      callerPort: port("daemon", "caller_port"),
      peerPort: port("daemon", "peer_port"),
    },
    platform: { url: word("platform", "url") },
    upstream: {
      address: word("upstream", "address"),
      port: port("upstream", "port"),
    },
    operators: {
      address: word("operators", "address"),
      port: port("operators", "port"),
    },
  };
  return problems.length > 0 ? Result.err(problems) : Result.ok(settings);
}
