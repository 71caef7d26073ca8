import type { Clock } from "./ports.ts";

/** Tells that the daemon process on a VM is leaving. */
export interface LeavingNotice {
  readonly vmId: string;
  /** Random id of the process; a later process on the same VM has another one. */
  readonly processId: string;
  /** Time since the leaving process itself last repeated the notice. */
  readonly ageMs: number;
}

interface HeldNotice {
  readonly processId: string;
  readonly repeatedAtMs: number;
}

/** Time after which a notice that is not repeated has no effect. */
export const NOTICE_EXPIRY_MS = 30_000;

/** Leaving notices by VM. Passing a notice on does not extend its time. */
export class LeavingNotices {
  readonly #clock: Clock;
  readonly #heldByVm = new Map<string, HeldNotice>();
  /** The process last heard from itself, by VM. */
  readonly #heardByVm = new Map<string, HeldNotice>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Takes a notice; true where it is new. */
  take(notice: LeavingNotice): boolean {
    const { vmId, processId, ageMs } = notice;
    if (ageMs >= NOTICE_EXPIRY_MS) return false;
    const heard = this.#fresh(this.#heardByVm, vmId);
    if (heard !== undefined && heard.processId !== processId) return false;
    const repeatedAtMs = this.#clock.nowMs() - ageMs;
    const held = this.#fresh(this.#heldByVm, vmId);
    if (held !== undefined && held.repeatedAtMs >= repeatedAtMs) return false;
    this.#heldByVm.set(vmId, { processId, repeatedAtMs });
    return held === undefined;
  }

  /** Notes a message from a process itself; a notice about an earlier process on its VM ends. */
  heard(vmId: string, processId: string): void {
    this.#heardByVm.set(vmId, {
      processId,
      repeatedAtMs: this.#clock.nowMs(),
    });
    if (this.#heldByVm.get(vmId)?.processId !== processId) {
      this.#heldByVm.delete(vmId);
    }
  }

  has(vmId: string): boolean {
    return this.#fresh(this.#heldByVm, vmId) !== undefined;
  }

  /** Notices that have not expired. */
  list(): readonly LeavingNotice[] {
    const nowMs = this.#clock.nowMs();
    return [...this.#heldByVm.keys()].flatMap((vmId) => {
      const held = this.#fresh(this.#heldByVm, vmId);
      if (held === undefined) return [];
      const ageMs = Math.round(nowMs - held.repeatedAtMs);
      return [{ vmId, processId: held.processId, ageMs }];
    });
  }

  /** Forgets the VMs that the predicate does not name. */
  retain(isKnown: (vmId: string) => boolean): void {
    for (const map of [this.#heldByVm, this.#heardByVm]) {
      for (const vmId of map.keys()) if (!isKnown(vmId)) map.delete(vmId);
    }
  }

  #fresh(map: Map<string, HeldNotice>, vmId: string): HeldNotice | undefined {
    const found = map.get(vmId);
    if (found === undefined) return undefined;
    if (this.#clock.nowMs() - found.repeatedAtMs < NOTICE_EXPIRY_MS) {
      return found;
    }
    map.delete(vmId);
    return undefined;
  }
}
