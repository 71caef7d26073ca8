import type { SnapshotId } from "@tanagercove/types";

/** A version of the two lists (plans and allowances) as one daemon process reported it. */
export interface VersionObservation extends SnapshotId {
  readonly vmId: string;
  /** Number of the process of this VM, counted from 1. */
  readonly processNumber: number;
  /** Log lines and status answers arrive independently, so reports are in order only within a source. */
  readonly source: "log" | "status";
  readonly atMs: number;
}

/** Options of `VersionHistory`. */
export interface VersionHistoryOptions {
  /**
   * Versions that were published; if left out, the only checks are that a reported revision does not fall
   * and that the content of a revision does not change.
   */
  readonly published?: () => readonly PublishedId[];
}

/** A published version of the lists. */
export interface PublishedId extends SnapshotId {
  readonly valid: boolean;
}

/** A version and the time of its report. */
type ReportedVersion = Pick<VersionObservation, "revision" | "hash" | "atMs">;

/** Records when each daemon process reported which version, and checks each report as it arrives. */
export class VersionHistory {
  readonly #options: VersionHistoryOptions;
  readonly #reportedByStream = new Map<string, ReportedVersion[]>();
  readonly #violations: string[] = [];
  #observationCount = 0;

  constructor(options: VersionHistoryOptions) {
    this.#options = options;
  }

  observe(observation: VersionObservation): void {
    this.#observationCount += 1;
    const { vmId, processNumber, source, revision, hash, atMs } = observation;
    const stream = `${vmId} process ${processNumber} (${source})`;
    const reported = this.#reportedByStream.get(stream) ?? [];
    this.#reportedByStream.set(stream, reported);
    const last = reported.at(-1);
    if (last?.revision === revision && last.hash === hash) return;
    reported.push({ revision, hash, atMs });
    if (last !== undefined && revision < last.revision) {
      this.#addViolation(`${stream} fell from ${last.revision} to ${revision}`);
    }
    if (last !== undefined && revision === last.revision) {
      this.#addViolation(`${stream} changed the content of ${revision}`);
    }
    this.#checkPublished(stream, { revision, hash });
  }

  /**
   * Faults so far: a revision that fell, a revision whose content changed, or content that was not
   * published as one valid version.
   */
  get violations(): readonly string[] {
    return this.#violations;
  }

  get observationCount(): number {
    return this.#observationCount;
  }

  /** The highest version that a daemon process has reported, with the time of its first report. */
  latest(vmId: string, processNumber: number): ReportedVersion | undefined {
    return this.#reportedBy(vmId, processNumber)
      .reduce<ReportedVersion | undefined>(higherOrEarlier, undefined);
  }

  /** When a daemon process first reported this revision or a higher one. */
  firstReportedAtMs(
    vmId: string,
    { processNumber, revision }: {
      readonly processNumber: number;
      readonly revision: number;
    },
  ): number | undefined {
    const times = this.#reportedBy(vmId, processNumber)
      .filter((reported) => reported.revision >= revision)
      .map(({ atMs }) => atMs);
    return times.length === 0 ? undefined : Math.min(...times);
  }

  #reportedBy(vmId: string, processNumber: number): readonly ReportedVersion[] {
    return (["log", "status"] as const).flatMap((source) =>
      this.#reportedByStream.get(
        `${vmId} process ${processNumber} (${source})`,
      ) ?? []
    );
  }

  #checkPublished(stream: string, { revision, hash }: SnapshotId): void {
    const published = this.#options.published?.();
    if (published === undefined) return;
    const match = published.find((version) =>
      version.revision === revision && version.hash === hash
    );
    if (match === undefined) {
      this.#addViolation(
        `${stream} holds ${revision} ${hash}, never published`,
      );
    } else if (!match.valid) {
      this.#addViolation(`${stream} holds the invalid version ${revision}`);
    }
  }

  #addViolation(violation: string): void {
    this.#violations.push(violation);
  }
}

function higherOrEarlier(
  best: ReportedVersion | undefined,
  reported: ReportedVersion,
): ReportedVersion {
  if (best === undefined || reported.revision > best.revision) return reported;
  const earlier = reported.revision === best.revision &&
    reported.atMs < best.atMs;
  return earlier ? reported : best;
}
