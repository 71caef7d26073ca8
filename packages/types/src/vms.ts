/** State of a VM in the platform's VM list. */
export type VmState = "live" | "leaving";

/** One VM with its daemon and its upstream, as the platform lists it. */
export interface Vm {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly region: string;
  /** IP address at which other VMs reach this one. */
  readonly address: string;
  /** TCP port for callers. */
  readonly callerPort: number;
  /** TCP port for other daemons. */
  readonly peerPort: number;
  /** TCP port of the upstream itself, to which callers' daemons connect if the division of work is `direct`. */
  readonly upstreamPort: number;
  readonly state: VmState;
}
