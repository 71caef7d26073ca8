import { formatVms } from "@tanagercove/lists";
import type { Vm, VmState } from "@tanagercove/types";
import { type AddressBlock, claimAddressBlock } from "./address_block.ts";
import { allEnded } from "./all_ended.ts";
import type { Execution } from "./execution_log.ts";
import type { FleetVm } from "./daemon_process.ts";
import type { FleetTls } from "./fleet_keys.ts";
import { type Fleet, startFleet } from "./fleet.ts";
import {
  type PlatformStandIn,
  startPlatformStandIn,
  type StartPlatformStandInOptions,
} from "./platform_stand_in.ts";
import { Relay } from "./relay.ts";
import type { IniSections } from "./settings_file.ts";
import { startUpstreamProcess, UpstreamProcess } from "./upstream_process.ts";
import {
  startUpstreamStandIn,
  type StartUpstreamStandInOptions,
  type UpstreamStandIn,
} from "./upstream_stand_in.ts";

/** Where the upstreams of a mesh run: in this process, in separate processes, or not at all. */
export type UpstreamHosting = "inside" | "processes" | "none";

/** Returns the number of VMs of a service in a zone; zones are numbered from 0. */
export type InstanceCounts = (service: string, zoneIndex: number) => number;

/** Options of `startMesh`. */
export interface StartMeshOptions {
  readonly zones: readonly string[];
  readonly services: readonly string[];
  /** VMs of each service in each zone: one number for all, or a function; default 1. */
  readonly instances?: number | InstanceCounts;
  /** Puts a relay in front of the published addresses of the platform and the VMs; default true. */
  readonly relay?: boolean;
  /** Default `inside`. */
  readonly upstreams?: UpstreamHosting;
  /** Options of upstreams other than their names and addresses. */
  readonly upstreamOptions?: (
    vm: Vm,
  ) => Partial<Omit<StartUpstreamStandInOptions, "name" | "host" | "port">>;
  readonly platform?: StartPlatformStandInOptions;
  /** Initial lists. */
  readonly plans: string;
  readonly allowances: string;
  readonly settings?: IniSections | ((fleetVm: FleetVm) => IniSections);
  /** TLS between the daemons; off by default. */
  readonly tls?: FleetTls;
  readonly ownProcessGroup?: boolean;
  /** Interval between two polls of a daemon's `/status`; 0 turns polling off: only its log is read. */
  readonly statusIntervalMs?: number;
  /**
   * VMs without processes that are added to the VM list, for measurements with the list of a large fleet.
   * They are listed with their own `state`, which should be `leaving`, so that no daemon calls them.
   */
  readonly extraVms?: readonly Vm[];
}

/** A platform, upstreams and daemons with a network between them. */
export interface Mesh {
  readonly platform: PlatformStandIn;
  /** Undefined if the mesh was started without a relay. */
  readonly relay: Relay | undefined;
  readonly fleet: Fleet;
  readonly vms: readonly Vm[];
  /** Upstreams by VM id. */
  readonly upstreams: ReadonlyMap<string, UpstreamStandIn | UpstreamProcess>;
  /** URL of a VM's caller port on its daemon's listen address, so that requests bypass the relay. */
  callerUrl(id: string): string;
  /**
   * Publishes the VM list with the given states and returns its revision; null leaves a VM out. A VM
   * without a given state is listed as `live`, whatever was published before.
   */
  publishVms(states?: Readonly<Record<string, VmState | null>>): number;
  close(): Promise<void>;
}

const CALLER_PORT = 8_080;
const PEER_PORT = 8_081;
const UPSTREAM_PORT = 8_082;
const REGION = "region-1";

/** Starts a mesh; if a part fails to start, closes the parts already started. */
export async function startMesh(options: StartMeshOptions): Promise<Mesh> {
  const opened: (() => Promise<void>)[] = [];
  const close = async () => {
    for (const closeOne of opened.splice(0).reverse()) await closeOne();
  };
  try {
    const block = await claimAddressBlock();
    opened.push(() => block.close());
    const fleetVms = createFleetVms(options, block);
    const vms = fleetVms.map(({ vm }) => vm);

    const platform = await startPlatformStandIn({
      ...options.platform,
      values: {
        plans: options.plans,
        allowances: options.allowances,
        vms: formatVms([...vms, ...options.extraVms ?? []]),
      },
    });
    opened.push(() => platform.close());

    const relay = options.relay === false ? undefined : new Relay();
    if (relay !== undefined) {
      opened.push(() => relay.close());
      await addTargets(relay, { block, fleetVms, platform });
    }
    const upstreams = await startUpstreams(options, { fleetVms, opened });
    const fleet = await startFleet({
      platformUrl: relay === undefined
        ? platform.url
        : `http://${block.platform}:${platform.port}`,
      vms: fleetVms,
      published: () => platform.versions,
      settings: options.settings,
      tls: options.tls,
      relay,
      ownProcessGroup: options.ownProcessGroup,
      statusIntervalMs: options.statusIntervalMs,
    });
    opened.push(() => fleet.close());

    return {
      platform,
      relay,
      fleet,
      vms,
      upstreams,
      callerUrl: (id) => `http://${fleet.daemon(id).address}:${CALLER_PORT}`,
      publishVms: (states = {}) => {
        const listed = vms
          .filter(({ id }) => states[id] !== null)
          .map((vm) => ({ ...vm, state: states[vm.id] ?? vm.state }));
        return platform.publish(
          "vms",
          formatVms([...listed, ...options.extraVms ?? []]),
        );
      },
      close,
    };
  } catch (error) {
    await close();
    throw error;
  }
}

/** Executions that all upstreams of a mesh have recorded. */
export function executionsOf(mesh: Mesh): readonly Execution[] {
  return [...mesh.upstreams.values()].flatMap((upstream) =>
    upstream instanceof UpstreamProcess
      ? upstream.logs.flatMap((log) => log.all)
      : upstream.log.all
  );
}

/** Creates VMs named `SERVICE-ZONENUMBER-INSTANCE`, with all numbers from 1. */
function createFleetVms(
  { zones, services, instances = 1, relay = true }: StartMeshOptions,
  block: AddressBlock,
): readonly FleetVm[] {
  const countOf: InstanceCounts = typeof instances === "number"
    ? () => instances
    : instances;
  return zones.flatMap((zone, zoneIndex) => {
    let lastVm = 0;
    return services.flatMap((service) =>
      Array.from({ length: countOf(service, zoneIndex) }, (_, instance) => {
        const position = { zone: zoneIndex, vm: lastVm += 1 };
        const vm: Vm = {
          id: `${service}-${zoneIndex + 1}-${instance + 1}`,
          service,
          zone,
          region: REGION,
          address: relay
            ? block.publishedAddress(position)
            : block.listenAddress(position),
          callerPort: CALLER_PORT,
          peerPort: PEER_PORT,
          upstreamPort: UPSTREAM_PORT,
          state: "live",
        };
        return { vm, address: block.listenAddress(position) };
      })
    );
  });
}

interface AddTargetsOptions {
  readonly block: AddressBlock;
  readonly fleetVms: readonly FleetVm[];
  readonly platform: PlatformStandIn;
}

async function addTargets(
  relay: Relay,
  { block, fleetVms, platform }: AddTargetsOptions,
): Promise<void> {
  await relay.addTarget({
    endpoint: { kind: "platform", id: "platform" },
    publishedAddress: block.platform,
    address: platform.host,
    ports: [platform.port],
  });
  for (const { vm, address } of fleetVms) {
    await relay.addTarget({
      endpoint: { kind: "vm", id: vm.id, zone: vm.zone },
      publishedAddress: vm.address,
      address: address!,
      ports: [vm.callerPort, vm.peerPort, vm.upstreamPort],
    });
  }
}

interface StartUpstreamsOptions {
  readonly fleetVms: readonly FleetVm[];
  readonly opened: (() => Promise<void>)[];
}

async function startUpstreams(
  options: StartMeshOptions,
  { fleetVms, opened }: StartUpstreamsOptions,
): Promise<ReadonlyMap<string, UpstreamStandIn | UpstreamProcess>> {
  const hosting = options.upstreams ?? "inside";
  const upstreams = new Map<string, UpstreamStandIn | UpstreamProcess>();
  if (hosting === "none") return upstreams;
  const start = async ({ vm, address }: FleetVm, index: number) => {
    const startOptions = {
      seed: index + 1,
      ...options.upstreamOptions?.(vm),
      name: vm.id,
      host: address ?? vm.address,
      port: vm.upstreamPort,
    };
    const upstream = hosting === "inside"
      ? await startUpstreamStandIn(startOptions)
      : await startUpstreamProcess({
        ...startOptions,
        ownProcessGroup: options.ownProcessGroup,
      });
    upstreams.set(vm.id, upstream);
    opened.push(() => upstream.close());
  };
  await allEnded(fleetVms.map(start));
  return upstreams;
}
