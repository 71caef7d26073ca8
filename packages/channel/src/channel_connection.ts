import type { Socket } from "node:net";
import type {
  BodyMemory,
  BodyReservation,
  ChannelMessage,
  ChannelProblem,
  MessageHead,
} from "./channel_message.ts";
import {
  encodeFrame,
  type Frame,
  type FrameKind,
  FrameReader,
} from "./frames.ts";
import {
  decodeHello,
  encodeHello,
  GRANTS_LEVEL,
  isReadableHead,
  MessageCodec,
  PROTOCOL_LEVEL,
  PROTOCOL_VERSION,
} from "./message_codec.ts";

/** Messages with a head and possibly a body. */
export type MessageKind = "request" | "answer";

/** Frames without a payload that concern an exchange or the connection. */
export type SignalKind = "alive" | "cancel" | "pong" | "leaving";

/** A message that has arrived whole, or a request whose body waits to be asked for. */
export interface ReceivedMessage {
  readonly kind: MessageKind;
  readonly message: ChannelMessage;
  /** Length of the body that waits; undefined if the message is whole. */
  readonly announcedBytes?: number;
  /** Memory of the body, which the receiver gives back. */
  readonly reservation: BodyReservation;
}

/** Receives what arrives on a connection. */
export interface ConnectionHandlers {
  /** Called when the other end has opened its direction. */
  onOpen(): void;
  onMessage(exchangeId: number, received: ReceivedMessage): void;
  /** Called if a body would take too much memory; the rest of it is skipped. */
  onBodyRefused(exchangeId: number): void;
  onSignal(kind: SignalKind, exchangeId: number): void;
  /** Called after all frames that were read together. */
  onRead(): void;
  /** Called once. The problem is set if this end closed the connection because of it. */
  onClosed(problem: ChannelProblem | undefined): void;
}

/** Options of `ChannelConnection`. */
export interface ChannelConnectionOptions {
  readonly socket: Socket;
  readonly maxBodyBytes: number;
  readonly memory: BodyMemory;
  /** Protocol level that this end tells; the newest by default. */
  readonly level?: number;
  readonly handlers: ConnectionHandlers;
}

/** Bodies are sent in pieces of this size, so that short messages pass between those of a long one. */
const PIECE_BYTES = 16 * 1024;

/** Bodies of requests above this size are sent only as the other end grants them. */
export const UNGRANTED_BYTES = 2 * PIECE_BYTES;

/** Interval of `closeStuck`; a connection that makes no progress is closed after up to twice this time. */
export const CHECK_INTERVAL_MS = 5_000;

/** Length of the payload of a grant. */
const GRANT_BYTES = 4;

const NO_BYTES = Buffer.alloc(0);

const NO_RESERVATION: BodyReservation = { resize() {}, close() {} };

/** How an announced body is received. */
export interface ReceiveAnnouncedOptions {
  readonly sizeBytes: number;
  readonly reservation: BodyReservation;
  /** Called for the bytes that arrive. */
  readonly onBytes: (sizeBytes: number) => void;
  /** Called once, with the whole body or with undefined if its exchange has ended before. */
  readonly onEnded: (body: Buffer | undefined) => void;
}

interface Assembly {
  readonly body: Buffer;
  readonly reservation: BodyReservation;
  receivedBytes: number;
  /** `receivedBytes` at the last call of `closeStuck`. */
  checkedBytes?: number;
  /** Bytes that the other end may have sent. */
  grantedBytes: number;
  readonly onBytes: (sizeBytes: number) => void;
  readonly onWhole: () => void;
  readonly onDropped: () => void;
}

interface OutgoingBody {
  readonly exchangeId: number;
  readonly body: Buffer;
  sentBytes: number;
  /** Bytes that may have been sent. */
  grantedBytes: number;
  readonly onSent: () => void;
}

/**
 * One connection between two daemons, as either end sees it: messages with bodies, sent in pieces in turn, and short
 * signals in between.
 */
export class ChannelConnection {
  readonly #options: ChannelConnectionOptions;
  readonly #socket: Socket;
  readonly #reader = new FrameReader();
  readonly #codec = new MessageCodec();
  readonly #assemblies = new Map<number, Assembly>();
  #outgoing: OutgoingBody[] = [];
  #isOpen = false;
  /** Protocol level of the other end; 0 until it is known. */
  #peerLevel = 0;
  #isClosed = false;
  #problem: ChannelProblem | undefined;
  #lastReceivedMs = performance.now();
  #bytesAtCheck = { read: 0, written: 0 };

  constructor(options: ChannelConnectionOptions) {
    this.#options = options;
    this.#socket = options.socket;
    const socket = this.#socket;
    socket.setNoDelay(true);
    socket.on("data", (chunk) => this.#read(chunk));
    socket.on("drain", () => this.#sendPieces());
    socket.on("end", () => socket.destroy());
    socket.on("error", () => socket.destroy());
    socket.on("close", () => this.#handleClose());
    const payload = encodeHello({ level: options.level ?? PROTOCOL_LEVEL });
    this.#write("hello", { exchangeId: 0, payload });
  }

  /** Whether the other end has opened its direction. */
  get isOpen(): boolean {
    return this.#isOpen && !this.#isClosed;
  }

  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** When something last arrived, on the clock of `performance.now`. */
  get lastReceivedMs(): number {
    return this.#lastReceivedMs;
  }

  /** Whether the other end can read a head; one that it cannot read would end the connection. */
  canSend(head: MessageHead): boolean {
    return isReadableHead(head, this.#peerLevel);
  }

  /** Sends a message; `onSent` is called once when its last byte has been written, or nothing more of it will be. */
  sendMessage(
    exchangeId: number,
    { kind, message: { head, body }, onSent = () => {} }: {
      readonly kind: MessageKind;
      readonly message: ChannelMessage;
      readonly onSent?: () => void;
    },
  ): void {
    if (this.#isClosed) return onSent();
    const bodyBytes = body?.length;
    const isGranted = kind === "request" && bodyBytes !== undefined &&
      bodyBytes > UNGRANTED_BYTES && this.#peerLevel >= GRANTS_LEVEL;
    const firstBytes = body?.subarray(0, isGranted ? 0 : PIECE_BYTES) ??
      NO_BYTES;
    const payload = this.#codec.encode(head, {
      bodyBytes,
      firstBytes,
      level: this.#peerLevel,
    });
    if (body === undefined || body.length === firstBytes.length) {
      return this.#write(kind, { exchangeId, payload, onWritten: onSent });
    }
    this.#write(kind, { exchangeId, payload });
    const sentBytes = firstBytes.length;
    const grantedBytes = isGranted ? 0 : body.length;
    this.#outgoing.push({ exchangeId, body, sentBytes, grantedBytes, onSent });
    this.#sendPieces();
  }

  /** Whether a part of a body has not been handed to the connection, so that the other end cannot have it whole. */
  isPartlySent(exchangeId: number): boolean {
    return this.#outgoing.some((outgoing) =>
      outgoing.exchangeId === exchangeId
    );
  }

  /** Prepares for an announced body, which arrives as it is granted. */
  receiveAnnounced(
    exchangeId: number,
    { sizeBytes, reservation, onBytes, onEnded }: ReceiveAnnouncedOptions,
  ): void {
    const body = Buffer.allocUnsafeSlow(sizeBytes);
    this.#assemblies.set(exchangeId, {
      body,
      reservation,
      receivedBytes: 0,
      grantedBytes: 0,
      onBytes,
      onWhole: () => onEnded(body),
      onDropped: () => onEnded(undefined),
    });
  }

  /** Grants the bytes of an announced body up to a total. */
  sendGrant(exchangeId: number, totalBytes: number): void {
    const assembly = this.#assemblies.get(exchangeId);
    if (assembly === undefined || this.#isClosed) return;
    assembly.grantedBytes = totalBytes;
    const payload = Buffer.allocUnsafe(GRANT_BYTES);
    payload.writeUInt32BE(totalBytes);
    this.#write("grant", { exchangeId, payload });
  }

  /** Receives nothing more of an exchange's body. */
  dropBody(exchangeId: number): void {
    const assembly = this.#assemblies.get(exchangeId);
    if (assembly === undefined) return;
    this.#assemblies.delete(exchangeId);
    assembly.reservation.close();
    assembly.onDropped();
  }

  sendSignal(kind: SignalKind | "ping", exchangeId = 0): void {
    if (!this.#isClosed) this.#write(kind, { exchangeId });
  }

  /** Ends an exchange: nothing more of its message is sent, and what arrives of the other one is skipped. */
  forget(exchangeId: number): void {
    this.dropBody(exchangeId);
    if (this.#outgoing.length === 0) return;
    const dropped = this.#outgoing.filter((outgoing) =>
      outgoing.exchangeId === exchangeId
    );
    this.#outgoing = this.#outgoing.filter((outgoing) =>
      outgoing.exchangeId !== exchangeId
    );
    for (const { onSent } of dropped) onSent();
  }

  /** Closes the connection after what has been written. */
  end(): void {
    this.#socket.destroySoon();
  }

  /** Closes the connection; bytes that have not been delivered are lost. */
  reset(): void {
    this.#socket.resetAndDestroy();
  }

  /**
   * Closes the connection if it opens, receives a frame or sends, and no byte has passed since the last call. To be
   * called every `CHECK_INTERVAL_MS`.
   */
  closeStuck(): void {
    const { bytesRead, bytesWritten, writableLength } = this.#socket;
    const { read, written } = this.#bytesAtCheck;
    const hasRead = bytesRead > read;
    if (!this.#isOpen && !hasRead) return this.#fail("no_hello");
    if (this.#reader.heldBytes > 0 && !hasRead) {
      return this.#fail("incomplete_frame");
    }
    const flushedBytes = bytesWritten - writableLength;
    if (writableLength > 0 && flushedBytes === written) return this.reset();
    this.#bytesAtCheck = { read: bytesRead, written: flushedBytes };
    this.#dropStuckBodies();
  }

  /** Drops bodies that are sent without grants and of which nothing has arrived since the last call. */
  #dropStuckBodies(): void {
    for (const [exchangeId, assembly] of this.#assemblies) {
      const { receivedBytes, grantedBytes, checkedBytes, body } = assembly;
      const isStuck = receivedBytes === checkedBytes &&
        grantedBytes === body.length;
      assembly.checkedBytes = receivedBytes;
      if (isStuck) this.dropBody(exchangeId);
    }
  }

  #fail(problem: ChannelProblem): void {
    this.#problem ??= problem;
    this.#socket.destroy();
  }

  #read(chunk: Buffer): void {
    this.#lastReceivedMs = performance.now();
    const frames = this.#reader.push(chunk);
    if (frames.isErr) return this.#fail(frames.error);
    for (const frame of frames.value) {
      if (this.#isClosed || this.#problem !== undefined) return;
      this.#handle(frame);
    }
    this.#options.handlers.onRead();
  }

  #handle(frame: Frame): void {
    if (!this.#isOpen && frame.kind !== "hello") return this.#fail("no_hello");
    this.#frameHandlers[frame.kind](frame);
  }

  readonly #frameHandlers: Readonly<
    Record<FrameKind, (frame: Frame) => void>
  > = {
    hello: ({ payload }) => {
      const hello = decodeHello(payload);
      if (hello === undefined) return this.#fail("malformed");
      if (hello.version !== PROTOCOL_VERSION) {
        return this.#fail("unknown_version");
      }
      if (this.#isOpen) return;
      this.#peerLevel = hello.level;
      this.#isOpen = true;
      this.#options.handlers.onOpen();
    },
    request: (frame) => this.#beginMessage(frame, "request"),
    answer: (frame) => this.#beginMessage(frame, "answer"),
    data: (frame) => this.#continueMessage(frame),
    grant: (frame) => this.#takeGrant(frame),
    ping: () => this.sendSignal("pong"),
    alive: (frame) => this.#handleSignal(frame, "alive"),
    cancel: (frame) => this.#handleSignal(frame, "cancel"),
    pong: (frame) => this.#handleSignal(frame, "pong"),
    leaving: (frame) => this.#handleSignal(frame, "leaving"),
  };

  #handleSignal({ exchangeId }: Frame, kind: SignalKind): void {
    this.#options.handlers.onSignal(kind, exchangeId);
  }

  #beginMessage({ exchangeId, payload }: Frame, kind: MessageKind): void {
    const decoded = this.#codec.decode(payload);
    if (decoded === undefined || this.#assemblies.has(exchangeId)) {
      return this.#fail("malformed");
    }
    const { handlers, maxBodyBytes, memory } = this.#options;
    const { head, bodyBytes, firstBytes } = decoded;
    const isWhole = bodyBytes === firstBytes.length;
    // A short answer is not counted: ending it to save its few bytes would lose what the upstream has done.
    if (bodyBytes === undefined || isWhole && kind === "answer") {
      const body = bodyBytes === undefined ? undefined : firstBytes;
      const reservation = NO_RESERVATION;
      const message = { head, body };
      return handlers.onMessage(exchangeId, { kind, message, reservation });
    }
    if (bodyBytes > maxBodyBytes) return handlers.onBodyRefused(exchangeId);
    const isAnnounced = kind === "request" && bodyBytes > 0 &&
      firstBytes.length === 0 && this.#peerLevel >= GRANTS_LEVEL;
    if (isAnnounced) {
      return handlers.onMessage(exchangeId, {
        kind,
        message: { head, body: undefined },
        announcedBytes: bodyBytes,
        reservation: NO_RESERVATION,
      });
    }
    let isRefused = false;
    const reservation = memory.receive(() => {
      isRefused = true;
      this.#assemblies.delete(exchangeId);
      handlers.onBodyRefused(exchangeId);
    });
    reservation.resize(bodyBytes);
    if (isRefused) return;
    if (isWhole) {
      const message = { head, body: firstBytes };
      return handlers.onMessage(exchangeId, { kind, message, reservation });
    }
    const body = Buffer.allocUnsafe(bodyBytes);
    firstBytes.copy(body);
    this.#assemblies.set(exchangeId, {
      body,
      reservation,
      receivedBytes: firstBytes.length,
      grantedBytes: bodyBytes,
      onBytes: () => {},
      onWhole: () => {
        const message = { head, body };
        handlers.onMessage(exchangeId, { kind, message, reservation });
      },
      onDropped: () => {},
    });
  }

  #continueMessage({ exchangeId, payload }: Frame): void {
    // The rest of a body that was refused, or whose exchange has ended here.
    const assembly = this.#assemblies.get(exchangeId);
    if (assembly === undefined) return;
    const { body, receivedBytes, grantedBytes } = assembly;
    if (receivedBytes + payload.length > grantedBytes) {
      return this.#fail("malformed");
    }
    payload.copy(body, receivedBytes);
    assembly.receivedBytes += payload.length;
    assembly.onBytes(payload.length);
    if (assembly.receivedBytes < body.length) return;
    this.#assemblies.delete(exchangeId);
    assembly.onWhole();
  }

  #takeGrant({ exchangeId, payload }: Frame): void {
    if (payload.length !== GRANT_BYTES) return this.#fail("malformed");
    // The exchange may have ended here while the grant was on its way.
    const outgoing = this.#outgoing.find((other) =>
      other.exchangeId === exchangeId
    );
    if (outgoing === undefined) return;
    outgoing.grantedBytes = Math.min(
      outgoing.body.length,
      Math.max(outgoing.grantedBytes, payload.readUInt32BE(0)),
    );
    this.#sendPieces();
  }

  /** Sends a piece of each body in turn, as far as it is granted, while the connection takes bytes. */
  #sendPieces(): void {
    while (!this.#socket.writableNeedDrain) {
      const index = this.#outgoing.findIndex((outgoing) =>
        outgoing.sentBytes < outgoing.grantedBytes
      );
      if (index < 0) return;
      const [outgoing] = this.#outgoing.splice(index, 1);
      const { exchangeId, body, sentBytes, grantedBytes, onSent } = outgoing!;
      const endBytes = Math.min(grantedBytes, sentBytes + PIECE_BYTES);
      outgoing!.sentBytes = endBytes;
      const isLast = endBytes === body.length;
      if (!isLast) this.#outgoing.push(outgoing!);
      const payload = body.subarray(sentBytes, endBytes);
      const onWritten = isLast ? onSent : undefined;
      this.#write("data", { exchangeId, payload, onWritten });
    }
  }

  #write(
    kind: FrameKind,
    { exchangeId, payload = NO_BYTES, onWritten }: {
      readonly exchangeId: number;
      readonly payload?: Uint8Array;
      readonly onWritten?: (() => void) | undefined;
    },
  ): void {
    const frame = encodeFrame(kind, { exchangeId, payload });
    this.#socket.write(frame, onWritten && (() => onWritten()));
  }

  #handleClose(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    for (const exchangeId of [...this.#assemblies.keys()]) {
      this.dropBody(exchangeId);
    }
    // What was partly sent is still known then.
    this.#options.handlers.onClosed(this.#problem);
    for (const { onSent } of this.#outgoing.splice(0)) onSent();
  }
}
