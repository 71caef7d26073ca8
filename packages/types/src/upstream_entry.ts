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
  /** Whether the entry tells a warm-up time that cannot be read; `coldMs` is 0 then, and does not mean that it is warm. */
  readonly isColdTimeUnreadable?: true;
  /** Unix time of the upstream's start; distinguishes two instances with the same id. */
  readonly bornMs: number;
}
