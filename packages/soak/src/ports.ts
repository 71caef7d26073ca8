/** How a stand-in of an upstream treats requests. */
export type UpstreamMode = "answer" | "shed" | "cut" | "hang";

/** One run of a request on an upstream. */
export interface UpstreamRun {
  readonly requestId: string;
  readonly method: string;
  /** By `performance.now()` of the soak. */
  readonly startedAtMs: number;
}

/** Stand-in of an upstream, in the soak's own process. */
export interface SoakUpstream {
  readonly id: string;
  readonly runs: readonly UpstreamRun[];
  mode: UpstreamMode;
  close(): void;
}

/** Stand-in of the users' store, in the soak's own process. */
export interface SoakStore {
  /** Puts a version in force whose routes are `/browse/` (idempotent), `/buy/` and `probePath` of it and those before. */
  publish(version: number): void;
  setUpstream(vm: SoakVm, state: "ready" | "draining"): void;
  setMode(mode: "answer" | "refuse" | "silent"): void;
  dropHistory(): void;
  close(): void;
}

/** One VM with its daemon and its upstream. */
export interface SoakVm {
  readonly id: string;
  readonly zone: string;
  /** Where the daemon listens. */
  readonly address: string;
  /** Where others reach the daemon, through the relay, and where the upstream listens. */
  readonly publishedAddress: string;
}

/** What the soak needs of the platform that the daemons run on. */
export interface SoakPlatform {
  /** Arguments of `node` that run the daemon. */
  readonly programArgs: readonly string[];
  readonly ports: {
    readonly caller: number;
    readonly peer: number;
    readonly readiness: number;
  };
  startStore(address: string): Promise<SoakStore & { readonly port: number }>;
  /** Its answers hold the id of their request. */
  startUpstream(vm: SoakVm): Promise<SoakUpstream>;
  /** Environment of a daemon; the store is given as `IP:PORT`. */
  environment(vm: SoakVm, store: string): Readonly<Record<string, string>>;
  requestHeaders(
    options: { readonly id: string; readonly timeLeftMs: number },
  ): Readonly<Record<string, string>>;
}

/** Path that is routed from this version on. */
export function versionPath(version: number): string {
  return `/since-${version}/`;
}
