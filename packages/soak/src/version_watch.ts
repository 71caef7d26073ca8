import { setTimeout as sleep } from "node:timers/promises";
import { sendCall } from "./callers.ts";
import { type SoakPlatform, versionPath } from "./ports.ts";
import {
  type AppliedFault,
  boundAfter,
  type CallRecord,
  type Violation,
} from "./promises.ts";
import type { SoakDaemon } from "./soak_fleet.ts";

/** Time between two looks at a daemon's version. */
const LOOK_INTERVAL_MS = 100;

/** A look may begin this long before the bound and end after it. */
const LOOK_TOLERANCE_MS = 700;

/** Statuses of a request that found its route; 503 is also that of a daemon that holds no version yet. */
const ROUTED: ReadonlySet<number> = new Set([200, 429, 502, 504]);

/** Options of `VersionWatch`. */
export interface VersionWatchOptions {
  readonly platform: SoakPlatform;
  readonly daemons: readonly SoakDaemon[];
  readonly onCall: (call: CallRecord) => void;
  readonly signal: AbortSignal;
}

/** Looks at the versions that daemons serve by, as a caller of a route that only later versions have. */
export class VersionWatch {
  readonly violations: Violation[] = [];
  readonly #options: VersionWatchOptions;
  readonly #publishedAtMs = new Map<number, number>();
  /** First time at which a daemon served by a version or a later one. */
  readonly #servedAtMs = new Map<string, Map<number, number>>();
  #newest = 0;
  #looks = 0;

  constructor(options: VersionWatchOptions) {
    this.#options = options;
  }

  get newest(): number {
    return this.#newest;
  }

  published(version: number): void {
    this.#newest = version;
    this.#publishedAtMs.set(version, performance.now());
  }

  /** Looks at one daemon until the signal. */
  async follow(daemon: SoakDaemon): Promise<void> {
    let held = 0;
    let life = daemon.life;
    while (!this.#options.signal.aborted) {
      const { newest } = this;
      if (daemon.life !== life) held = 0;
      life = daemon.life;
      const status = await this.#look(daemon, newest);
      if (status !== undefined && ROUTED.has(status)) {
        held = newest;
        this.#served(daemon, newest);
      }
      if (status === 404 && held > 0 && held < newest) {
        const again = await this.#look(daemon, held);
        if (again === 404 && daemon.life === life) {
          this.violations.push({
            promise: "version_never_goes_back",
            subject: daemon.vm.id,
            detail: `no longer serves by version ${held}`,
          });
          held = 0;
        }
      }
      await sleep(LOOK_INTERVAL_MS);
    }
  }

  /** Finds versions that a daemon did not serve by within the bound; versions near the end are left out. */
  late(
    faults: readonly AppliedFault[],
    endedAtMs: number,
  ): readonly Violation[] {
    return [...this.#publishedAtMs].flatMap(([version, atMs]) => {
      const boundAtMs = boundAfter(atMs, faults) + LOOK_TOLERANCE_MS;
      if (boundAtMs > endedAtMs) return [];
      return this.#options.daemons
        .filter(({ vm }) => !(this.#firstServed(vm.id, version) <= boundAtMs))
        .map(({ vm }) => ({
          promise: "version_in_force" as const,
          subject: vm.id,
          detail: `version ${version} not served ${
            Math.round(boundAtMs - atMs)
          } ms after it was published`,
        }));
    });
  }

  #firstServed(vmId: string, version: number): number {
    let firstMs = Infinity;
    for (const [served, atMs] of this.#servedAtMs.get(vmId) ?? []) {
      if (served >= version) firstMs = Math.min(firstMs, atMs);
    }
    return firstMs;
  }

  #served({ vm }: SoakDaemon, version: number): void {
    const times = this.#servedAtMs.get(vm.id) ?? new Map<number, number>();
    if (!times.has(version)) times.set(version, performance.now());
    this.#servedAtMs.set(vm.id, times);
  }

  async #look(
    { vm, state }: SoakDaemon,
    version: number,
  ): Promise<number | undefined> {
    if (state !== "running") return undefined;
    const call = await sendCall({
      platform: this.#options.platform,
      vm,
      id: `look-${vm.id}-${this.#looks += 1}`,
      method: "GET",
      path: versionPath(version),
    });
    this.#options.onCall(call);
    return call.status;
  }
}
