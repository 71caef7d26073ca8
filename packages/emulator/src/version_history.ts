import type { SnapshotId } from "@tanagercove/types";

/** A version of the lists as one daemon process reported it. */
export interface VersionObservation extends SnapshotId {
  readonly vmId: string;
  /** Counts the processes of the VM from 1. */
  readonly processNumber: number;
  /** Log lines and status answers arrive independently, so each is in order only by itself. */
  readonly source: "log" | "status";
  readonly atMs: number;
}

/** Options of `VersionHistory`. */
export interface VersionHistoryOptions {
  /** Versions that were published as one; without it, only the order is checked. */
  readonly published?: () => readonly PublishedId[];
}

/** A published version of the lists. */
export interface PublishedId extends SnapshotId {
  readonly valid: boolean;
}

/** A version and its time. */
type Held = Pick<VersionObservation, "revision" | "hash" | "atMs">;

/** Records which version each daemon process held when, and checks every observation as it comes. */
export class VersionHistory {
  readonly #options: VersionHistoryOptions;
  readonly #heldByStream = new Map<string, Held[]>();
  readonly #violations: string[] = [];
  #observationCount = 0;

  constructor(options: VersionHistoryOptions) {
    this.#options = options;
  }

  observe(observation: VersionObservation): void {
    this.#observationCount += 1;
    const { vmId, processNumber, source, revision, hash, atMs } = observation;
    const stream = `${vmId} process ${processNumber} (${source})`;
    const held = this.#heldByStream.get(stream) ?? [];
    this.#heldByStream.set(stream, held);
    const last = held.at(-1);
    if (last?.revision === revision && last.hash === hash) return;
    held.push({ revision, hash, atMs });
    if (last !== undefined && revision < last.revision) {
      this.#report(`${stream} fell from ${last.revision} to ${revision}`);
    }
    if (last !== undefined && revision === last.revision) {
      this.#report(`${stream} changed the content of ${revision}`);
    }
    this.#checkPublished(stream, { revision, hash });
  }

  /** Faults seen so far: a revision that fell, or content that was not published as one version. */
  get violations(): readonly string[] {
    return this.#violations;
  }

  get observationCount(): number {
    return this.#observationCount;
  }

  /** The highest version that a daemon process has reported, and when it did so first. */
  latest(vmId: string, processNumber: number): Held | undefined {
    return this.#all(vmId, processNumber)
      .reduce<Held | undefined>(higherOrEarlier, undefined);
  }

  /** When a daemon process first reported this revision or a higher one. */
  firstReportedAtMs(
    vmId: string,
    { processNumber, revision }: {
      readonly processNumber: number;
      readonly revision: number;
    },
  ): number | undefined {
    const times = this.#all(vmId, processNumber)
      .filter((held) => held.revision >= revision)
      .map(({ atMs }) => atMs);
    return times.length === 0 ? undefined : Math.min(...times);
  }

  #all(vmId: string, processNumber: number): readonly Held[] {
    return (["log", "status"] as const).flatMap((source) =>
      this.#heldByStream.get(`${vmId} process ${processNumber} (${source})`) ??
        []
    );
  }

  #checkPublished(stream: string, { revision, hash }: SnapshotId): void {
    const published = this.#options.published?.();
    if (published === undefined) return;
    const match = published.find((version) =>
      version.revision === revision && version.hash === hash
    );
    if (match === undefined) {
      this.#report(`${stream} holds ${revision} ${hash}, never published`);
    } else if (!match.valid) {
      this.#report(`${stream} holds the invalid version ${revision}`);
    }
  }

  #report(violation: string): void {
    this.#violations.push(violation);
  }
}

function higherOrEarlier(best: Held | undefined, held: Held): Held {
  if (best === undefined || held.revision > best.revision) return held;
  const earlier = held.revision === best.revision && held.atMs < best.atMs;
  return earlier ? held : best;
}
