import { writeFile } from "node:fs/promises";
import { join, resolve } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import type { Vm } from "@tanagercove/types";
import { request } from "undici";
import { LogBuffer } from "./log_buffer.ts";
import { ManagedProcess } from "./managed_process.ts";
import { formatSettings, type IniSections } from "./settings_file.ts";
import type { VersionObservation } from "./version_history.ts";

/** A VM of a fleet. */
export interface FleetVm {
  /** The VM's entry in the VM list that the platform publishes. */
  readonly vm: Vm;
  /** Address that the daemon listens on; the published one by default. */
  readonly address?: string;
}

/** Answer of a daemon's `/status`; `json` has all fields. */
export interface DaemonStatus {
  /** Revision of the two lists (plans and allowances) in force. */
  readonly revision: number | undefined;
  readonly hash: string | undefined;
  readonly json: Readonly<Record<string, unknown>>;
}

/** Options of `DaemonProcess`. */
export interface DaemonProcessOptions {
  readonly fleetVm: FleetVm;
  /** Folder for the settings file. */
  readonly folder: string;
  readonly settings: () => IniSections;
  readonly onObservation: (observation: VersionObservation) => void;
  /** Called with true before a process starts and with false after `kill` or `stop` has ended it. */
  readonly onListening?: (listening: boolean) => Promise<void>;
  readonly ownProcessGroup?: boolean;
  /** Interval between two polls of `/status`; 0 turns polling off, so that only the log is observed. */
  readonly statusIntervalMs?: number;
}

const PROGRAM = resolve("dist/tanagercove.cjs");
/** The log reports every change already; polling also checks the versions that `/status` reports. */
const POLL_INTERVAL_MS = 250;
const READY_CHECK_INTERVAL_MS = 50;
/** Short, since the next poll of `/status` follows soon. */
const POLL_TIMEOUT_MS = 1_000;
/** Allows for late answers on a busy test machine; it does not state how fast a daemon must answer. */
const STATUS_TIMEOUT_MS = 10_000;
const DUMP_TIMEOUT_MS = 5_000;
const READY_TIMEOUT_MS = 20_000;

/** The daemon of one VM, across restarts of its process. */
export class DaemonProcess {
  readonly vm: Vm;
  readonly address: string;
  readonly operatorUrl: string;
  readonly log = new LogBuffer();
  readonly #options: DaemonProcessOptions;
  #process: ManagedProcess | undefined;
  #processNumber = 0;
  #paused = false;
  #closed = false;

  constructor(options: DaemonProcessOptions) {
    this.#options = options;
    this.vm = options.fleetVm.vm;
    this.address = options.fleetVm.address ?? this.vm.address;
    this.operatorUrl = `http://${this.address}:${operatorPortOf(this.vm)}`;
  }

  get id(): string {
    return this.vm.id;
  }

  /** Number of the latest process of this VM, counted from 1; 0 before the first start. */
  get processNumber(): number {
    return this.#processNumber;
  }

  get pid(): number | undefined {
    return this.#process?.pid;
  }

  get isRunning(): boolean {
    return this.#process?.isRunning ?? false;
  }

  get isPaused(): boolean {
    return this.#paused;
  }

  /** Starts a process and waits until its operators' port answers. */
  async start(): Promise<void> {
    if (this.isRunning) throw new Error(`Daemon "${this.id}" already runs`);
    const file = join(this.#options.folder, `${this.id}.ini`);
    await writeFile(file, formatSettings(this.#options.settings()));
    await this.#options.onListening?.(true);
    const processNumber = this.#processNumber += 1;
    this.log.add(`--- process ${processNumber} of ${this.id}`);
    this.#paused = false;
    this.#process = new ManagedProcess({
      args: [PROGRAM, "run", "--settings", file],
      endWithThisProcess: true,
      log: this.log,
      ownProcessGroup: this.#options.ownProcessGroup,
      onLine: (line) => this.#observeLine(line, processNumber),
    });
    void this.#observeStatus(this.#process, processNumber);
    await this.#waitUntilReady(this.#process);
  }

  /** `kill -9`. */
  async kill(): Promise<void> {
    await this.#process?.kill();
    await this.#options.onListening?.(false);
  }

  /** SIGTERM; waits until the process has drained and ended, but kills it after `graceMs`. */
  async stop(graceMs?: number): Promise<void> {
    await this.#process?.stop(graceMs);
    await this.#options.onListening?.(false);
  }

  /** SIGSTOP. */
  pause(): void {
    this.#paused = true;
    this.#process?.pause();
  }

  /** SIGCONT. */
  resume(): void {
    this.#process?.resume();
    this.#paused = false;
  }

  async restart(): Promise<void> {
    await this.stop();
    await this.start();
  }

  async status(timeoutMs = STATUS_TIMEOUT_MS): Promise<DaemonStatus> {
    const json = await this.#get("/status", timeoutMs);
    const fields = json as Readonly<Record<string, unknown>>;
    const lists = (fields.lists ?? fields) as Readonly<Record<string, unknown>>;
    const revision = fields.revision ?? lists.revision;
    const hash = fields.hash ?? lists.hash;
    return {
      revision: typeof revision === "number" ? revision : undefined,
      hash: typeof hash === "string" ? hash : undefined,
      json: fields,
    };
  }

  /** State dump of the daemon, from `/dump`. */
  dump(): Promise<unknown> {
    return this.#get("/dump", DUMP_TIMEOUT_MS);
  }

  async close(): Promise<void> {
    this.#closed = true;
    await this.#process?.stop();
  }

  async #get(path: string, timeoutMs: number): Promise<unknown> {
    const response = await request(`${this.operatorUrl}${path}`, {
      signal: AbortSignal.timeout(timeoutMs),
    });
    return await response.body.json();
  }

  async #waitUntilReady(child: ManagedProcess): Promise<void> {
    const deadlineMs = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < deadlineMs) {
      if (await this.status().then(() => true, () => false)) return;
      if (!child.isRunning) break;
      await sleep(READY_CHECK_INTERVAL_MS);
    }
    const tail = this.log.lines.slice(-20).join("\n");
    throw new Error(
      `Daemon "${this.id}" did not become ready (exit code ${child.exitCode}):\n${tail}`,
    );
  }

  #observeLine(line: string, processNumber: number): void {
    const fields = parseLine(line);
    if (fields?.event !== "version_taken") return;
    if ((fields.kind ?? "lists") !== "lists") return;
    const { revision, hash } = fields;
    if (typeof revision !== "number" || typeof hash !== "string") return;
    this.#observe({ processNumber, source: "log", revision, hash });
  }

  async #observeStatus(
    child: ManagedProcess,
    processNumber: number,
  ): Promise<void> {
    const intervalMs = this.#options.statusIntervalMs ?? POLL_INTERVAL_MS;
    if (intervalMs === 0) return;
    while (child.isRunning && !this.#closed) {
      await sleep(intervalMs);
      if (this.#paused) continue;
      const status = await this.status(POLL_TIMEOUT_MS).catch(() => undefined);
      const { revision, hash } = status ?? {};
      if (revision === undefined || hash === undefined) continue;
      // An answer that arrives after a restart may come from the next process.
      if (processNumber !== this.#processNumber) return;
      this.#observe({ processNumber, source: "status", revision, hash });
    }
  }

  #observe(reported: Omit<VersionObservation, "vmId" | "atMs">): void {
    const atMs = performance.now();
    this.#options.onObservation({ ...reported, vmId: this.id, atMs });
  }
}

/** Operators' port of a VM's daemon. */
export function operatorPortOf(vm: Vm): number {
  return vm.peerPort + OPERATOR_PORT_OFFSET;
}

/** Leaves room for the upstream's port between the peer port and the operators' port. */
const OPERATOR_PORT_OFFSET = 10;

function parseLine(line: string): Record<string, unknown> | undefined {
  try {
    return JSON.parse(line) as Record<string, unknown>;
  } catch {
    return undefined;
  }
}
