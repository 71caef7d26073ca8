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
  /** How much longer the upstream is slow after its start, when the entry was written. */
  readonly coldMs: number;
  /** Unix time of the upstream's start; tells two lives under one id apart. */
  readonly bornMs: number | undefined;
}
