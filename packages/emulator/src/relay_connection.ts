import { connect, type Socket } from "node:net";
import { type FlowState, RelayDirection } from "./relay_direction.ts";
import type { Link, LinkEffect } from "./relay_rules.ts";

/** Options of `RelayConnection`. */
export interface RelayConnectionOptions {
  readonly source: Socket;
  readonly link: Link;
  readonly target: { readonly address: string; readonly port: number };
  readonly effect: LinkEffect;
  /** Called with the forwarded bytes: `sentBytes` to the target, `receivedBytes` back. */
  readonly onBytes: (
    bytes: { readonly sentBytes: number; readonly receivedBytes: number },
  ) => void;
  readonly onClose: () => void;
}

/** One connection through the relay. */
export class RelayConnection {
  readonly link: Link;
  readonly #options: RelayConnectionOptions;
  #effect: LinkEffect;
  #discarding = false;
  #target: Socket | undefined;
  #directions: readonly RelayDirection[] = [];
  #openTimer: NodeJS.Timeout | undefined;

  constructor(options: RelayConnectionOptions) {
    this.#options = options;
    this.link = options.link;
    this.#effect = options.effect;
    const { source } = options;
    source.setNoDelay(true);
    source.on("error", () => {});
    source.on("close", (failed) => this.#onClose(source, failed));
    this.apply(options.effect);
  }

  /** Applies the combined effect of the current rules. */
  apply(effect: LinkEffect): void {
    this.#effect = effect;
    if (effect.action === "cut") return this.reset();
    const state: FlowState = effect.action === "silent" ? "hold" : "pass";
    for (const direction of this.#directions) direction.setState(state);
    const unopened = this.#target === undefined && !this.#discarding;
    if (state === "pass" && unopened && this.#openTimer === undefined) {
      this.#openTimer = setTimeout(() => this.#open(), effect.delayMs);
    }
  }

  /** Discards queued and further data for good while both ends stay open. */
  discardData(): void {
    this.#discarding = true;
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
      // The target sees the source address of the incoming connection.
      localAddress: source.remoteAddress,
      allowHalfOpen: true,
      noDelay: true,
    });
    this.#target = socket;
    socket.on("error", () => {});
    socket.on("close", (failed) => this.#onClose(socket, failed));
    const delayMs = () => this.#effect.delayMs;
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
    if (this.#discarding) this.discardData();
    else this.apply(this.#effect);
    if (this.#effect.action === "pass") source.resume();
  }

  #onClose(closed: Socket, failed: boolean): void {
    const { source } = this.#options;
    const other = closed === source ? this.#target : source;
    if (other === undefined || other.destroyed) return this.#end();
    // A silent link does not carry resets either.
    if (this.#discarding || this.#effect.action === "silent") return;
    if (failed) this.reset();
  }

  #end(): void {
    clearTimeout(this.#openTimer);
    for (const direction of this.#directions) direction.stop();
    this.#options.onClose();
  }
}
