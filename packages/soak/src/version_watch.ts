import { setTimeout as sleep } from "node:timers/promises";
import { sendCall } from "./callers.ts";
import { type SoakPlatform, versionPath } from "./ports.ts";
import {
  type AppliedFault,
  APPLY_BOUND_MS,
  type CallRecord,
  propagationBoundAtMs,
  type Violation,
} from "./promises.ts";
import type { SoakDaemon } from "./soak_fleet.ts";

/** Time between two polls of a daemon's version. */
const POLL_INTERVAL_MS = 100;

/** Tolerance for a poll that starts before the bound and ends after it. */
const POLL_TOLERANCE_MS = 700;

/** Statuses of a request that was routed; 503 is not one of them, since a daemon without a version answers with it too. */
const ROUTED: ReadonlySet<number> = new Set([200, 429, 502, 504]);

/** Options of `VersionWatch`. */
export interface VersionWatchOptions {
  readonly platform: SoakPlatform;
  readonly daemons: readonly SoakDaemon[];
  readonly onCall: (call: CallRecord) => void;
  readonly signal: AbortSignal;
}

/** Watches which version each daemon routes by. For that, it requests paths that no earlier version routes. */
export class VersionWatch {
  readonly violations: Violation[] = [];
  readonly #options: VersionWatchOptions;
  readonly #publishedAtMs = new Map<number, number>();
  /** For each VM id and version, the time at which the daemon was first seen to route by that version. */
  readonly #servedAtMs = new Map<string, Map<number, number>>();
  #newest = 0;
  #pollCount = 0;

  constructor(options: VersionWatchOptions) {
    this.#options = options;
  }

  get newest(): number {
    return this.#newest;
  }

  /** Newest version that must be in force, whatever fails; undefined if there is none yet. */
  get newestInForce(): number | undefined {
    const latestMs = performance.now() - APPLY_BOUND_MS;
    return [...this.#publishedAtMs].findLast(([, atMs]) => atMs <= latestMs)
      ?.[0];
  }

  recordPublished(version: number): void {
    this.#newest = version;
    this.#publishedAtMs.set(version, performance.now());
  }

  /** Polls one daemon until the signal aborts. */
  async watchDaemon(daemon: SoakDaemon): Promise<void> {
    let servedVersion = 0;
    let startCount = daemon.startCount;
    while (!this.#options.signal.aborted) {
      const { newest } = this;
      if (daemon.startCount !== startCount) servedVersion = 0;
      startCount = daemon.startCount;
      const status = await this.#poll(daemon, newest);
      if (status !== undefined && ROUTED.has(status)) {
        servedVersion = newest;
        this.#recordServed(daemon, newest);
      }
      if (status === 404 && servedVersion > 0 && servedVersion < newest) {
        const secondStatus = await this.#poll(daemon, servedVersion);
        if (secondStatus === 404 && daemon.startCount === startCount) {
          this.violations.push({
            promise: "version_never_goes_back",
            subject: daemon.vm.id,
            detail: `no longer serves by version ${servedVersion}`,
          });
          servedVersion = 0;
        }
      }
      await sleep(POLL_INTERVAL_MS);
    }
  }

  /**
   * Finds versions that were late on a daemon: within the bound, it routed neither by the version nor by a newer
   * one. A version whose bound is after `endedAtMs` is left out.
   */
  findLateVersions(
    faults: readonly AppliedFault[],
    endedAtMs: number,
  ): readonly Violation[] {
    return [...this.#publishedAtMs].flatMap(([version, atMs]) => {
      const boundAtMs = propagationBoundAtMs(atMs, faults) + POLL_TOLERANCE_MS;
      if (boundAtMs > endedAtMs) return [];
      return this.#options.daemons
        .filter(({ vm }) =>
          !(this.#firstServedAtMs(vm.id, version) <= boundAtMs)
        )
        .map(({ vm }) => ({
          promise: "version_in_force" as const,
          subject: vm.id,
          detail: `version ${version} not served ${
            Math.round(boundAtMs - atMs)
          } ms after it was published`,
        }));
    });
  }

  #firstServedAtMs(vmId: string, version: number): number {
    let firstMs = Infinity;
    for (const [served, atMs] of this.#servedAtMs.get(vmId) ?? []) {
      if (served >= version) firstMs = Math.min(firstMs, atMs);
    }
    return firstMs;
  }

  #recordServed({ vm }: SoakDaemon, version: number): void {
    const times = this.#servedAtMs.get(vm.id) ?? new Map<number, number>();
    if (!times.has(version)) times.set(version, performance.now());
    this.#servedAtMs.set(vm.id, times);
  }

  async #poll(
    { vm, state }: SoakDaemon,
    version: number,
  ): Promise<number | undefined> {
    if (state !== "running") return undefined;
    const call = await sendCall({
      platform: this.#options.platform,
      vm,
      id: `poll-${vm.id}-${this.#pollCount += 1}`,
      method: "GET",
      path: versionPath(version),
    });
    this.#options.onCall(call);
    return call.status;
  }
}
