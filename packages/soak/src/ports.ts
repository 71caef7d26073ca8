/**
 * How the stand-in of an upstream handles requests: `shed` refuses them before they run, `cut` runs them and
 * closes the connection without an answer, `hang` runs them and never answers, `misreport` runs those that are not
 * idempotent and answers with a status for requests that have not run.
 */
export type UpstreamMode = "answer" | "shed" | "cut" | "hang" | "misreport";

/** One execution of a request on an upstream. */
export interface UpstreamRun {
  readonly requestId: string;
  readonly method: string;
  /** Time by `performance.now()` of the soak's process. */
  readonly startedAtMs: number;
  /** Body of the request, as far as it has arrived. */
  readonly body: string;
  /** Names of the request's fields, in lower case. */
  readonly fieldNames: ReadonlySet<string>;
}

/** What an upstream says about itself in its answers. */
export interface UpstreamNotices {
  /** Requests per second that it takes from all daemons together. */
  readonly limitPerSecond?: number;
  readonly isLeaving?: boolean;
}

/** Stand-in of an upstream, in the soak's own process. */
export interface SoakUpstream {
  readonly vmId: string;
  readonly runs: readonly UpstreamRun[];
  mode: UpstreamMode;
  notices: UpstreamNotices;
  /** Whether each refusal is written once more where the next answer on its connection is due. */
  repeatsRefusals: boolean;
  /** Starts anew under another id, at the same address; at first, the id is that of the VM. */
  restartAs(id: string): void;
  /** Starts anew under its id and is cold for a time, which it tells in its health answers only. */
  restartCold(coldMs: number): void;
  close(): void;
}

/** What a cold upstream bears, and how far the requests to it may exceed that in any second. */
export interface SoakColdBounds {
  readonly requestsPerSecond: number;
  readonly overFactor: number;
  readonly slackCount: number;
}

/** Stand-in of the platform's store, in the soak's own process. */
export interface SoakStore {
  /**
   * Publishes a version that routes `/browse/` (idempotent), `/buy/` (not idempotent), and `versionPath` and `oncePath`
   * of this and of recent earlier versions.
   */
  publish(version: number): void;
  /** Writes the entry of a VM's upstream; each time that it is ready, it has started anew. */
  setUpstream(vm: SoakVm, state: "ready" | "draining"): void;
  removeUpstream(id: string): void;
  /** Writes an entry of another writer that cannot be read, or removes it. */
  setMalformedEntry(isPresent: boolean): void;
  /** Writes an entry of another writer with the address of a VM's upstream, draining and of a later start, or removes it. */
  setForeignEntry(vm: SoakVm, isPresent: boolean): void;
  setMode(mode: "answer" | "refuse" | "silent"): void;
  dropHistory(): void;
  /** Writes that a zone is evacuated, or takes that back. */
  setEvacuated(zone: string, isEvacuated: boolean): void;
  /** Keeps a copy of the present state. */
  takeCopy(): void;
  /** Comes back as the copy, in a new era; resolves once what was written since then is written again. */
  returnAsCopy(): Promise<void>;
  close(): void;
}

/** One VM with its daemon and its upstream. */
export interface SoakVm {
  readonly id: string;
  readonly zone: string;
  /** Address on which the daemon listens. */
  readonly address: string;
  /** Address on which other daemons reach this daemon through the relay, and on which the upstream listens. */
  readonly publishedAddress: string;
}

/** Interface of the soak to the platform on which the daemons run. */
export interface SoakPlatform {
  readonly coldBounds: SoakColdBounds;
  /** Arguments of `node` that run the daemon. */
  readonly programArgs: readonly string[];
  readonly ports: {
    readonly caller: number;
    readonly peer: number;
    readonly readiness: number;
  };
  startStore(address: string): Promise<SoakStore & { readonly port: number }>;
  /** Starts an upstream whose answers have the id of their request as the body. */
  startUpstream(vm: SoakVm): Promise<SoakUpstream>;
  /** Environment variables of a daemon; `store` is the store's `IP:PORT`. */
  environment(vm: SoakVm, store: string): Readonly<Record<string, string>>;
  requestHeaders(
    options: { readonly id: string; readonly timeLeftMs: number },
  ): Readonly<Record<string, string>>;
}

/** End of the ids of requests to an `oncePath`. */
export const ONCE_SUFFIX = "-once";

/**
 * Returns a path whose requests are not idempotent from `version` on, whatever their method is. By an earlier version
 * they are idempotent, as all others of `/browse/`.
 */
export function oncePath(version: number): string {
  return `/browse/once-${version}/`;
}

/** Returns a path that `version` routes and no earlier version does. */
export function versionPath(version: number): string {
  return `/since-${version}/`;
}
