import type { RankedRequest } from "./ranked_order.ts";
import { canMeetObjective } from "./ranked_order.ts";

/** Who a request comes from and what it is, for the shares of an upstream. */
export interface ShareKeys {
  /** VM whose daemon sent the request. */
  readonly vm: string;
  readonly zone: string;
  /** Whether that is another zone than the upstream's. */
  readonly isOtherZone: boolean;
  /** Route of the request. */
  readonly kind: string;
}

/** A request whose caller has a share of the upstream. */
export interface SharedRequest extends RankedRequest {
  readonly keys: ShareKeys;
  /** Whether it goes before others of its rank, since it has waited for long; false by default. */
  readonly isCommitted?: boolean;
}

/** Time in which work that was done for a caller loses half of its weight. */
const HALF_LIFE_MS = 2_000;

/**
 * Service times of work up to which callers are equal. A VM of a large fleet sends an upstream a few requests in this
 * time, which says nothing of its demand.
 */
const EQUAL_WORK = 4;

/** Share of the work that a kind gets if it asks for it, whatever its rank. */
const MIN_KIND_SHARE = 0.05;

/**
 * Steps by which a request of another zone comes later. Each zone has upstreams of its own, and a burst in one would
 * otherwise get an equal share of all others beside these. Three steps leave another zone an eighth of what the own one
 * gets, so that a zone without upstreams is not shut out.
 */
const OTHER_ZONE_STEPS = 3;

/** Rank of a kind that has had less than that: after nested calls, before all others. */
const SHORT_KIND_RANK = 0.5;

/** Limit of the callers kept; those with the least work are forgotten first. */
const MAX_KEPT = 1_000;

interface Work {
  ms: number;
  atMs: number;
}

/** Work of an upstream for each VM, zone and kind, of the last seconds. */
export class CallerShares {
  readonly #work = new Map<string, Work>();
  readonly #total: Work = { ms: 0, atMs: 0 };

  /** Records that a request starts. */
  record({ vm, zone, kind }: ShareKeys, workMs: number, nowMs: number): void {
    this.#add(this.#total, workMs, nowMs);
    for (const key of [`vm ${vm}`, `zone ${zone}`, `kind ${kind}`]) {
      let work = this.#work.get(key);
      if (work === undefined) {
        if (this.#work.size >= MAX_KEPT) this.#forget(nowMs);
        work = { ms: 0, atMs: nowMs };
        this.#work.set(key, work);
      }
      this.#add(work, workMs, nowMs);
    }
  }

  /**
   * How much work a VM or a zone has had, in steps that double. Callers of one step are equal, so that a small
   * difference does not change the order.
   */
  step(owner: "vm" | "zone", name: string, options: StepOptions): number {
    const work = this.#work.get(`${owner} ${name}`);
    if (work === undefined) return 0;
    const requests = decayed(work, options.nowMs) / options.neededMs;
    return Math.max(0, Math.floor(Math.log2(requests / EQUAL_WORK)) + 1);
  }

  /** Whether a kind has had less than the share that each kind gets. */
  isShort(kind: string, nowMs: number): boolean {
    const work = this.#work.get(`kind ${kind}`);
    const doneMs = work === undefined ? 0 : decayed(work, nowMs);
    return doneMs < MIN_KIND_SHARE * decayed(this.#total, nowMs);
  }

  #add(work: Work, workMs: number, nowMs: number): void {
    work.ms = decayed(work, nowMs) + workMs;
    work.atMs = nowMs;
  }

  #forget(nowMs: number): void {
    const byWork = [...this.#work].sort(([, a], [, b]) =>
      decayed(a, nowMs) - decayed(b, nowMs)
    );
    for (const [key] of byWork.slice(0, MAX_KEPT / 2)) this.#work.delete(key);
  }
}

/** Options of `CallerShares.step`. */
export interface StepOptions {
  /** Time that one request takes. */
  readonly neededMs: number;
  readonly nowMs: number;
}

function decayed({ ms, atMs }: Work, nowMs: number): number {
  return ms * 0.5 ** ((nowMs - atMs) / HALF_LIFE_MS);
}

/** What determines the place of a request in the order of shares. */
export interface SharePlace {
  readonly rank: number;
  readonly isCommitted: boolean;
  readonly isOnTime: boolean;
  readonly zoneStep: number;
  readonly vmStep: number;
  readonly objectiveAtMs: number;
}

/** Computes the place of a request. */
export function sharePlace(
  request: SharedRequest,
  { shares, nowMs }: {
    readonly shares: CallerShares;
    readonly nowMs: number;
  },
): SharePlace {
  const { rank, keys, objectiveAtMs, neededMs } = request;
  const options = { nowMs, neededMs };
  const isShort = rank > SHORT_KIND_RANK && shares.isShort(keys.kind, nowMs);
  return {
    rank: isShort ? SHORT_KIND_RANK : rank,
    isCommitted: request.isCommitted ?? false,
    isOnTime: canMeetObjective(request, nowMs),
    zoneStep: shares.step("zone", keys.zone, options) +
      (keys.isOtherZone ? OTHER_ZONE_STEPS : 0),
    vmStep: shares.step("vm", keys.vm, options),
    objectiveAtMs,
  };
}

/**
 * Compares two places: by rank, then requests that have waited for long, then
 * requests that can still meet their objective, then those of the zone and of the VM that had less work, then by the earlier
 * objective.
 *
 * Answers a caller or a zone that asks for a multiple of what the others do: in the
 * order of objectives alone, each of them gets room by its demand, and a burst of
 * one closes the door to all. What the others do not ask for still goes to it.
 */
export function comparePlaces(a: SharePlace, b: SharePlace): number {
  return a.rank - b.rank ||
    Number(b.isCommitted) - Number(a.isCommitted) ||
    Number(b.isOnTime) - Number(a.isOnTime) ||
    a.zoneStep - b.zoneStep ||
    a.vmStep - b.vmStep ||
    a.objectiveAtMs - b.objectiveAtMs;
}
