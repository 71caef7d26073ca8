import type { Clock } from "./ports.ts";

/** Notice that the daemon process on a VM is leaving. */
export interface LeavingNotice {
  readonly vmId: string;
  /** Random id of the process; a later process on the same VM has a different one. */
  readonly processId: string;
  /** Time since the leaving process itself last repeated the notice. */
  readonly ageMs: number;
}

/** A daemon process, and when it last sent a message or repeated its notice. */
interface ProcessRecord {
  readonly processId: string;
  readonly lastSeenMs: number;
}

/** Time after which a notice expires unless the leaving process repeats it. */
export const NOTICE_EXPIRY_MS = 30_000;

/** Leaving notices by VM. A notice relayed by another daemon keeps its age, so relaying does not delay its expiry. */
export class LeavingNotices {
  readonly #clock: Clock;
  readonly #heldByVm = new Map<string, ProcessRecord>();
  /** The process that last sent a message to this daemon, by VM. */
  readonly #lastSenderByVm = new Map<string, ProcessRecord>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Adds a notice that has not expired and is newer than the held one. If a process on the VM has sent a message within
   * `NOTICE_EXPIRY_MS`, only notices about the latest such process are added. Returns true if the notice was added and
   * none about the VM was held.
   */
  add(notice: LeavingNotice): boolean {
    const { vmId, processId, ageMs } = notice;
    if (ageMs >= NOTICE_EXPIRY_MS) return false;
    const sender = this.#getUnexpired(this.#lastSenderByVm, vmId);
    if (sender !== undefined && sender.processId !== processId) return false;
    const repeatedAtMs = this.#clock.nowMs() - ageMs;
    const held = this.#getUnexpired(this.#heldByVm, vmId);
    if (held !== undefined && held.lastSeenMs >= repeatedAtMs) return false;
    this.#heldByVm.set(vmId, { processId, lastSeenMs: repeatedAtMs });
    return held === undefined;
  }

  /** Records a message that came directly from a process, and drops a notice about an earlier process on its VM. */
  recordMessage(vmId: string, processId: string): void {
    this.#lastSenderByVm.set(vmId, {
      processId,
      lastSeenMs: this.#clock.nowMs(),
    });
    if (this.#heldByVm.get(vmId)?.processId !== processId) {
      this.#heldByVm.delete(vmId);
    }
  }

  has(vmId: string): boolean {
    return this.#getUnexpired(this.#heldByVm, vmId) !== undefined;
  }

  /** Notices that have not expired. */
  list(): readonly LeavingNotice[] {
    const nowMs = this.#clock.nowMs();
    return [...this.#heldByVm.keys()].flatMap((vmId) => {
      const held = this.#getUnexpired(this.#heldByVm, vmId);
      if (held === undefined) return [];
      const ageMs = Math.round(nowMs - held.lastSeenMs);
      return [{ vmId, processId: held.processId, ageMs }];
    });
  }

  /** Removes the VMs for which the predicate is false. */
  retain(isKnown: (vmId: string) => boolean): void {
    for (const map of [this.#heldByVm, this.#lastSenderByVm]) {
      for (const vmId of map.keys()) if (!isKnown(vmId)) map.delete(vmId);
    }
  }

  #getUnexpired(
    map: Map<string, ProcessRecord>,
    vmId: string,
  ): ProcessRecord | undefined {
    const found = map.get(vmId);
    if (found === undefined) return undefined;
    if (this.#clock.nowMs() - found.lastSeenMs < NOTICE_EXPIRY_MS) {
      return found;
    }
    map.delete(vmId);
    return undefined;
  }
}
