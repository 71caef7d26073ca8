import { connect, type Socket } from "node:net";
import { type FlowState, RelayDirection } from "./relay_direction.ts";
import type { Link, LinkVerdict } from "./relay_rules.ts";

/** Options of `RelayConnection`. */
export interface RelayConnectionOptions {
  readonly source: Socket;
  readonly link: Link;
  readonly target: { readonly address: string; readonly port: number };
  readonly verdict: LinkVerdict;
  /** Bytes passed on: `sentBytes` towards the target, `receivedBytes` back. */
  readonly onBytes: (
    bytes: { readonly sentBytes: number; readonly receivedBytes: number },
  ) => void;
  readonly onClose: () => void;
}

/** One connection through the relay. */
export class RelayConnection {
  readonly link: Link;
  readonly #options: RelayConnectionOptions;
  #verdict: LinkVerdict;
  #lost = false;
  #target: Socket | undefined;
  #directions: readonly RelayDirection[] = [];
  #openTimer: NodeJS.Timeout | undefined;

  constructor(options: RelayConnectionOptions) {
    this.#options = options;
    this.link = options.link;
    this.#verdict = options.verdict;
    const { source } = options;
    source.setNoDelay(true);
    source.on("error", () => {});
    source.on("close", (failed) => this.#onClose(source, failed));
    this.apply(options.verdict);
  }

  /** Follows a change of the rules. */
  apply(verdict: LinkVerdict): void {
    this.#verdict = verdict;
    if (verdict.action === "cut") return this.reset();
    const state: FlowState = verdict.action === "silent" ? "hold" : "pass";
    for (const direction of this.#directions) direction.setState(state);
    const unopened = this.#target === undefined && !this.#lost;
    if (state === "pass" && unopened && this.#openTimer === undefined) {
      this.#openTimer = setTimeout(() => this.#open(), verdict.delayMs);
    }
  }

  /** Delivers nothing from now on while both ends stay open. */
  lose(): void {
    this.#lost = true;
    clearTimeout(this.#openTimer);
    if (this.#target === undefined) this.#options.source.resume();
    for (const direction of this.#directions) direction.setState("discard");
  }

  /** Resets both ends. */
  reset(): void {
    clearTimeout(this.#openTimer);
    for (const direction of this.#directions) direction.stop();
    this.#options.source.resetAndDestroy();
    this.#target?.resetAndDestroy();
  }

  #open(): void {
    const { source, target, onBytes } = this.#options;
    if (source.destroyed) return;
    const socket = connect({
      host: target.address,
      port: target.port,
      // The daemon sees the address that the connection came from.
      localAddress: source.remoteAddress,
      allowHalfOpen: true,
      noDelay: true,
    });
    this.#target = socket;
    socket.on("error", () => {});
    socket.on("close", (failed) => this.#onClose(socket, failed));
    const delayMs = () => this.#verdict.delayMs;
    this.#directions = [
      new RelayDirection({
        source,
        destination: socket,
        delayMs,
        onBytes: (sentBytes) => onBytes({ sentBytes, receivedBytes: 0 }),
      }),
      new RelayDirection({
        source: socket,
        destination: source,
        delayMs,
        onBytes: (receivedBytes) => onBytes({ sentBytes: 0, receivedBytes }),
      }),
    ];
    if (this.#lost) this.lose();
    else this.apply(this.#verdict);
    if (this.#verdict.action === "pass") source.resume();
  }

  #onClose(closed: Socket, failed: boolean): void {
    const { source } = this.#options;
    const other = closed === source ? this.#target : source;
    if (other === undefined || other.destroyed) return this.#end();
    // A silent link does not carry resets either.
    if (this.#lost || this.#verdict.action === "silent") return;
    if (failed) this.reset();
  }

  #end(): void {
    clearTimeout(this.#openTimer);
    for (const direction of this.#directions) direction.stop();
    this.#options.onClose();
  }
}
