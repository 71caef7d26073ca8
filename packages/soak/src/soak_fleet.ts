import { LogBuffer, ManagedProcess, Relay } from "@tanagercove/emulator";
import type { SoakPlatform, SoakStore, SoakUpstream, SoakVm } from "./ports.ts";
import type { DaemonHalt, StopInterval } from "./promises.ts";

/** Zones of the run. With two zones of three VMs, a zone can be cut off, and a zone whose VM stops has two left. */
const ZONES = ["zone-a", "zone-b"] as const;
const VMS_PER_ZONE = 3;
export const VM_COUNT = ZONES.length * VMS_PER_ZONE;

/** Time from SIGTERM until SIGKILL, the same as in the platform's settings. */
const STOP_GRACE_MS = 3_000;

/** Added to the period of a kill or pause, since a resumed daemon needs time to read what arrived during the pause. */
const RECOVERY_MS = 500;

/** First octets of the published addresses, on which the relay listens, and of the VMs' own addresses. */
const PUBLISHED_NET = "127.30";
const VM_NET = "127.31";

/** A daemon that runs as its own process. */
export interface SoakDaemon {
  readonly vm: SoakVm;
  process: ManagedProcess | undefined;
  /** Output of all processes that the daemon has had, one after the other. */
  readonly log: LogBuffer;
  /**
   * Number of starts; a restarted daemon may serve by an older version than before, so `version_never_goes_back`
   * holds only until the next start.
   */
  startCount: number;
  state: "running" | "paused" | "stopping" | "stopped";
}

/** The daemons, upstreams and store of a run, and the relay between them. */
export class SoakFleet {
  readonly relay = new Relay();
  readonly stops: StopInterval[] = [];
  readonly halts: DaemonHalt[] = [];
  readonly #platform: SoakPlatform;
  #store: (SoakStore & { readonly port: number }) | undefined;
  #storeAddress = "";
  upstreams: readonly SoakUpstream[] = [];
  daemons: readonly SoakDaemon[] = [];

  constructor(platform: SoakPlatform) {
    this.#platform = platform;
  }

  get store(): SoakStore {
    return this.#store!;
  }

  get vms(): readonly SoakVm[] {
    return this.daemons.map(({ vm }) => vm);
  }

  /** Starts everything; `block` is the third octet of all addresses. */
  async start(block: number): Promise<void> {
    this.#storeAddress = `${PUBLISHED_NET}.${block}.250`;
    this.#store = await this.#platform.startStore(`${VM_NET}.${block}.250`);
    await this.relay.addTarget({
      endpoint: { kind: "platform", id: "store" },
      publishedAddress: this.#storeAddress,
      address: `${VM_NET}.${block}.250`,
      ports: [this.#store.port],
    });
    const vms = Array.from({ length: VM_COUNT }, (_, i): SoakVm => ({
      id: `vm-${i}`,
      zone: ZONES[i % ZONES.length]!,
      address: `${VM_NET}.${block}.${i + 1}`,
      publishedAddress: `${PUBLISHED_NET}.${block}.${i + 1}`,
    }));
    this.upstreams = await Promise.all(
      vms.map((vm) => this.#platform.startUpstream(vm)),
    );
    this.daemons = vms.map((vm) => ({
      vm,
      process: undefined,
      log: new LogBuffer(),
      startCount: 0,
      state: "stopped",
    }));
    for (const vm of vms) {
      this.store.setUpstream(vm, "ready");
      await this.relay.addTarget({
        endpoint: { kind: "vm", id: vm.id, zone: vm.zone },
        publishedAddress: vm.publishedAddress,
        address: vm.address,
        ports: [this.#platform.ports.peer],
      });
    }
    for (const daemon of this.daemons) this.launch(daemon);
  }

  /** Starts the process of a daemon that is not running. */
  launch(daemon: SoakDaemon): void {
    daemon.startCount += 1;
    daemon.state = "running";
    daemon.process = new ManagedProcess({
      args: this.#platform.programArgs,
      environment: this.#platform.environment(
        daemon.vm,
        `${this.#storeAddress}:${this.#store!.port}`,
      ),
      endWithThisProcess: true,
      log: daemon.log,
    });
  }

  async kill(daemon: SoakDaemon): Promise<void> {
    const fromMs = performance.now();
    daemon.state = "stopped";
    await daemon.process!.kill();
    this.#addHalt(daemon, fromMs);
  }

  async stop(daemon: SoakDaemon): Promise<void> {
    const fromMs = performance.now();
    daemon.state = "stopping";
    await daemon.process!.stop(STOP_GRACE_MS);
    daemon.state = "stopped";
    const untilMs = performance.now();
    this.stops.push({ vmId: daemon.vm.id, fromMs, untilMs });
  }

  /** Pauses a daemon; the returned function resumes it. */
  pause(daemon: SoakDaemon): () => void {
    const fromMs = performance.now();
    daemon.state = "paused";
    daemon.process!.pause();
    return () => {
      daemon.process!.resume();
      daemon.state = "running";
      this.#addHalt(daemon, fromMs);
    };
  }

  /** Returns the log lines that contain a text such as a request id, daemon by daemon; only the last `limit` of them. */
  logLines(text: string, limit: number): readonly string[] {
    return this.daemons
      .flatMap(({ log }) => log.lines.filter((line) => line.includes(text)))
      .slice(-limit);
  }

  async close(): Promise<void> {
    await Promise.all(
      this.daemons.map(({ process }) =>
        process?.isRunning ? process.kill() : undefined
      ),
    );
    for (const upstream of this.upstreams) upstream.close();
    this.#store?.close();
    await this.relay.close();
  }

  #addHalt({ vm }: SoakDaemon, fromMs: number): void {
    const untilMs = performance.now() + RECOVERY_MS;
    this.halts.push({ vmId: vm.id, fromMs, untilMs });
  }
}
