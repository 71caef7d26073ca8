import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { allEnded } from "./all_ended.ts";
import {
  DaemonProcess,
  type FleetVm,
  operatorPortOf,
} from "./daemon_process.ts";
import { FleetKeys, type FleetTls } from "./fleet_keys.ts";
import type { Relay } from "./relay.ts";
import { type IniSections, mergeSections } from "./settings_file.ts";
import { type PublishedId, VersionHistory } from "./version_history.ts";

/** Options of `startFleet`. */
export interface StartFleetOptions {
  readonly platformUrl: string;
  readonly vms: readonly FleetVm[];
  /** Versions that the platform published; every version that a daemon reports is checked against them. */
  readonly published?: () => readonly PublishedId[];
  /** Settings that complement and override the generated ones, for all daemons or per VM. */
  readonly settings?: IniSections | ((fleetVm: FleetVm) => IniSections);
  /** TLS between the daemons, with certificates of a new CA; off by default. */
  readonly tls?: FleetTls;
  /**
   * Relay in front of the daemons. Once a daemon was killed or stopped, the relay refuses connections to
   * its caller and peer ports until its next start.
   */
  readonly relay?: Relay;
  /** Starts the daemons in process groups of their own, out of reach of a terminal's ctrl-C. */
  readonly ownProcessGroup?: boolean;
  /** Number of daemons that are started concurrently. */
  readonly startConcurrency?: number;
  /** Interval between two polls of a daemon's `/status`; 0 turns polling off: only its log is read. */
  readonly statusIntervalMs?: number;
}

/** Options of `Fleet.waitUntilInForce`. */
export interface WaitUntilInForceOptions {
  readonly timeoutMs: number;
  /** All running daemons that are not paused, by default. */
  readonly daemons?: readonly DaemonProcess[];
}

const DEFAULT_START_CONCURRENCY = 12;
const POLL_INTERVAL_MS = 10;
const LOG_TAIL_LINES = 30;
const SEEDS_PER_DAEMON = 5;

/** Daemons that run as processes. */
export class Fleet {
  readonly daemons: readonly DaemonProcess[];
  readonly history: VersionHistory;
  readonly keys: FleetKeys;
  readonly #folder: string;

  constructor(folder: string, options: StartFleetOptions) {
    this.#folder = folder;
    this.keys = new FleetKeys(folder, options.vms);
    this.history = new VersionHistory({ published: options.published });
    this.daemons = options.vms.map((fleetVm) =>
      new DaemonProcess({
        fleetVm,
        folder,
        settings: () => settingsFor(fleetVm, { ...options, keys: this.keys }),
        onObservation: (observation) => this.history.observe(observation),
        onListening: async (listening) => {
          const { id, callerPort, peerPort } = fleetVm.vm;
          const ports = [callerPort, peerPort];
          if (listening) await options.relay?.accept(id, ports);
          else await options.relay?.refuse(id, ports);
        },
        ownProcessGroup: options.ownProcessGroup,
        statusIntervalMs: options.statusIntervalMs,
      })
    );
  }

  daemon(id: string): DaemonProcess {
    const daemon = this.daemons.find((known) => known.id === id);
    if (daemon === undefined) throw new Error(`No daemon has the id "${id}"`);
    return daemon;
  }

  /** Daemons of a zone. */
  zone(zone: string): readonly DaemonProcess[] {
    return this.daemons.filter(({ vm }) => vm.zone === zone);
  }

  /** Running daemons that are not paused. */
  get active(): readonly DaemonProcess[] {
    return this.daemons.filter((daemon) =>
      daemon.isRunning && !daemon.isPaused
    );
  }

  /** Starts daemons, all by default, a bounded number at a time. */
  async start(
    daemons: readonly DaemonProcess[] = this.daemons,
    startConcurrency: number = DEFAULT_START_CONCURRENCY,
  ): Promise<void> {
    const waiting = [...daemons];
    const worker = async () => {
      for (let next = waiting.shift(); next; next = waiting.shift()) {
        try {
          await next.start();
        } catch (error) {
          waiting.length = 0;
          throw error;
        }
      }
    };
    await allEnded(Array.from({ length: startConcurrency }, worker));
  }

  async kill(daemons: readonly DaemonProcess[]): Promise<void> {
    await Promise.all(daemons.map((daemon) => daemon.kill()));
  }

  /**
   * Waits until the daemons have reported this revision of the lists or a higher one. Returns how many
   * milliseconds after the call the last daemon reported it, or 0 if all had done so before. The timeout
   * error names the daemons that did not.
   */
  async waitUntilInForce(
    revision: number,
    options: WaitUntilInForceOptions,
  ): Promise<number> {
    const daemons = options.daemons ?? this.active;
    const startedAtMs = performance.now();
    const daemonsBehind = () =>
      daemons.filter(({ id, processNumber }) =>
        (this.history.latest(id, processNumber)?.revision ?? 0) < revision
      );
    while (daemonsBehind().length > 0) {
      if (performance.now() - startedAtMs > options.timeoutMs) {
        const list = daemonsBehind().map(({ id, processNumber }) =>
          `${id} at ${this.history.latest(id, processNumber)?.revision}`
        );
        throw new Error(
          `Revision ${revision} is not in force after ${options.timeoutMs} ms on: ${
            list.join(", ")
          }`,
        );
      }
      await sleep(POLL_INTERVAL_MS);
    }
    const times = daemons.map(({ id, processNumber }) =>
      this.history.firstReportedAtMs(id, { processNumber, revision }) ??
        startedAtMs
    );
    return Math.max(0, ...times.map((atMs) => atMs - startedAtMs));
  }

  /** The newest log lines of each daemon, for the report of a failed test. */
  formatLogs(tailLines: number = LOG_TAIL_LINES): string {
    return this.daemons.map(({ id, log }) =>
      [`=== ${id}`, ...log.lines.slice(-tailLines)].join("\n")
    ).join("\n");
  }

  /** Ends all daemons and deletes their settings and key files. */
  async close(): Promise<void> {
    await Promise.all(this.daemons.map((daemon) => daemon.close()));
    await rm(this.#folder, { recursive: true, force: true });
  }
}

/** Starts a daemon process for each VM and waits until each is ready. */
export async function startFleet(options: StartFleetOptions): Promise<Fleet> {
  const folder = await mkdtemp(join(tmpdir(), "tanagercove-"));
  const fleet = new Fleet(folder, options);
  try {
    if (options.tls !== undefined) await fleet.keys.issue();
    await fleet.start(fleet.daemons, options.startConcurrency);
  } catch (error) {
    await fleet.close();
    throw error;
  }
  return fleet;
}

function settingsFor(
  fleetVm: FleetVm,
  options: StartFleetOptions & { readonly keys: FleetKeys },
): IniSections {
  const { vm } = fleetVm;
  const address = fleetVm.address ?? vm.address;
  const extra = typeof options.settings === "function"
    ? options.settings(fleetVm)
    : options.settings ?? {};
  const { tls, keys } = options;
  const peerKeys = tls === undefined ? {} : keys.settingsFor(fleetVm, tls);
  return mergeSections(
    {
      daemon: {
        vm_id: vm.id,
        zone: vm.zone,
        region: vm.region,
        service: vm.service,
        address,
        caller_port: vm.callerPort,
        peer_port: vm.peerPort,
      },
      platform: { url: options.platformUrl },
      peers: { seeds: seedsFor(fleetVm, options.vms).join(", ") },
      upstream: { address, port: vm.upstreamPort },
      operators: { address, port: operatorPortOf(vm) },
    },
    peerKeys,
    extra,
  );
}

/**
 * Peer addresses of some other VMs, taken at equal steps from the start of the list, so that in a large
 * fleet they are spread over the zones.
 */
function seedsFor(
  { vm }: FleetVm,
  vms: readonly FleetVm[],
): readonly string[] {
  const others = vms.filter((other) => other.vm.id !== vm.id);
  const step = Math.max(1, Math.floor(others.length / SEEDS_PER_DAEMON));
  return others
    .filter((_, index) => index % step === 0)
    .slice(0, SEEDS_PER_DAEMON)
    .map((other) => `${other.vm.address}:${other.vm.peerPort}`);
}
