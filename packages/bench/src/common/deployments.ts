/** Names of the deployments whose sizes the benches use. */
export type DeploymentName = "thistledown" | "trust" | "minimal";

/** Size of a deployment. `thistledown` and `trust` are customers, with the sizes that they run today (see docs/design.md). */
export interface Deployment {
  readonly name: DeploymentName;
  readonly zones: readonly string[];
  /** Instances by service. */
  readonly instancesByService: Readonly<Record<string, number>>;
  readonly slots: number;
  readonly connections: number;
  /** Share of requests that are not idempotent, by service. */
  readonly nonIdempotentShare: Readonly<Record<string, number>>;
}

/** Deployments by name. The shares of non-idempotent requests are assumptions of the bench. */
export const DEPLOYMENTS: Readonly<Record<DeploymentName, Deployment>> = {
  thistledown: {
    name: "thistledown",
    zones: ["zone-a", "zone-b", "zone-c"],
    instancesByService: {
      swatches: 3,
      reservations: 3,
      fittings: 3,
      venues: 3,
    },
    slots: 10,
    connections: 110,
    nonIdempotentShare: {
      swatches: 0,
      reservations: 0.5,
      fittings: 0.8,
      venues: 0,
    },
  },
  trust: {
    name: "trust",
    zones: ["ojuelegba", "yaba", "surulere"],
    instancesByService: { stockroom: 4, deposits: 3, handover: 3, ledger: 3 },
    slots: 20,
    connections: 120,
    nonIdempotentShare: {
      stockroom: 0,
      deposits: 0.8,
      handover: 0.8,
      ledger: 0.1,
    },
  },
  // Few processes, so that the machine does not limit measurements of the request path.
  minimal: {
    name: "minimal",
    zones: ["zone-a"],
    instancesByService: { swatches: 1, venues: 1 },
    slots: 10,
    connections: 110,
    nonIdempotentShare: { swatches: 0, venues: 0 },
  },
};
