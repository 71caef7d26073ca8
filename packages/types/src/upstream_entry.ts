/** State that an upstream announces. */
export type UpstreamEntryState = "ready" | "draining";

/** One registered upstream. */
export interface UpstreamEntry {
  readonly id: string;
  readonly service: string;
  /** IP of the VM on which the upstream and its daemon run. */
  readonly address: string;
  readonly port: number;
  readonly zone: string;
  /** Requests that the upstream runs at once. */
  readonly slots: number;
  readonly state: UpstreamEntryState;
  /** Remaining warm-up time when the entry was written; the upstream is slow until it has passed. */
  readonly coldMs: number;
  /** Unix time of the upstream's start; distinguishes two instances with the same id. */
  readonly bornMs: number | undefined;
}
