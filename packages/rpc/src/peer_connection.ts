import type { Socket } from "node:net";
import {
  createJSONRPCRequest,
  isJSONRPCResponse,
  JSONRPCClient,
  type JSONRPCResponse,
} from "json-rpc-2.0";
import { Result } from "true-myth";
import { Client } from "undici";
import type { RpcError } from "@tanagercove/errors";
import type { PeerTransport } from "@tanagercove/keys";
import type { SocketByteCounter } from "@tanagercove/metrics";
import { decodeBody, encodeBody } from "./body.ts";
import type { RpcCall, RpcPeer } from "./rpc_client.ts";
import { claimedVmIdOf, RPC_PATH } from "./rpc_methods.ts";

/** Options of `PeerConnection`. */
export interface PeerConnectionOptions {
  readonly peer: RpcPeer;
  readonly bytes: SocketByteCounter;
  readonly transport: PeerTransport;
  readonly localAddress: string | undefined;
  /** At least the longest timeout of a method, so that calls end at their own deadlines. */
  readonly connectTimeoutMs: number;
  readonly maxBodyBytes: number;
  readonly maxCalls: number;
  readonly idleMs: number;
  /** Called when the connection accepts no further calls. */
  readonly onEnd: () => void;
}

type CallResult = Result<unknown, RpcError>;

interface OpenCall extends Required<RpcCall> {
  readonly deadline: AbortSignal;
  readonly resolve: (result: CallResult) => void;
}

/** A connection to one peer and the task that runs its calls one after another. */
export class PeerConnection {
  /** Resolves when the task has ended and the connection is closed. */
  readonly ended: Promise<void>;
  readonly #options: PeerConnectionOptions;
  readonly #waiting: OpenCall[] = [];
  readonly #stop = new AbortController();
  #running = false;
  #wake: () => void = () => {};
  #client: Client | undefined;
  #socket: Socket | undefined;
  /** Calls completed on the current connection. */
  #completed = 0;

  constructor(options: PeerConnectionOptions) {
    this.#options = options;
    this.ended = this.#run();
  }

  call(call: Required<RpcCall>): Promise<CallResult> {
    const { maxCalls } = this.#options;
    const openCalls = this.#waiting.length + (this.#running ? 1 : 0);
    if (this.#stop.signal.aborted) {
      return Promise.resolve(closedResult());
    }
    if (openCalls >= maxCalls) {
      return Promise.resolve(Result.err({ kind: "busy", openCalls }));
    }
    return new Promise((settle) => {
      const deadline = new AbortController();
      const timer = setTimeout(() => {
        deadline.abort();
        if (this.#removeWaiting(open)) open.resolve(timeoutResult(open));
      }, call.timeoutMs);
      const open: OpenCall = {
        ...call,
        deadline: deadline.signal,
        resolve: (result) => {
          clearTimeout(timer);
          settle(result);
        },
      };
      this.#waiting.push(open);
      this.#wake();
    });
  }

  endIfIdle(): void {
    if (!this.#running && this.#waiting.length === 0) this.end();
  }

  end(): void {
    if (this.#stop.signal.aborted) return;
    this.#stop.abort();
    this.#options.onEnd();
    this.#wake();
  }

  async #run(): Promise<void> {
    for (;;) {
      const call = await this.#next();
      if (call === undefined) break;
      this.#running = true;
      const result = await this.#exchange(call);
      this.#running = false;
      call.resolve(result);
    }
    for (const call of this.#waiting.splice(0)) call.resolve(closedResult());
    await this.#closeClient();
  }

  /** Waits for a call; returns undefined once the connection is to end. */
  async #next(): Promise<OpenCall | undefined> {
    if (this.#waiting.length === 0 && !this.#stop.signal.aborted) {
      await new Promise<void>((resolve) => {
        const timer = setTimeout(() => this.endIfIdle(), this.#options.idleMs);
        timer.unref();
        this.#wake = () => {
          clearTimeout(timer);
          resolve();
        };
      });
    }
    return this.#stop.signal.aborted ? undefined : this.#waiting.shift();
  }

  #removeWaiting(call: OpenCall): boolean {
    const position = this.#waiting.indexOf(call);
    if (position < 0) return false;
    this.#waiting.splice(position, 1);
    return true;
  }

  async #exchange(call: OpenCall): Promise<CallResult> {
    let failure: RpcError | undefined;
    const rpc: JSONRPCClient = new JSONRPCClient(async (request) => {
      const response = await this.#post(request, call);
      if (response.isOk) return rpc.receive(response.value);
      failure = response.error;
      throw new Error(failure.kind);
    });
    const request = createJSONRPCRequest(1, call.method, call.params);
    const answer = await rpc.requestAdvanced(request);
    if (failure !== undefined) return Result.err(failure);
    if (answer.error === undefined) {
      const { result } = answer;
      const claimedVmId = claimedVmIdOf(call.method, { result });
      return this.#isAuthorizedAs(claimedVmId)
        ? Result.ok(result)
        : malformed(`The answer names another VM: ${claimedVmId}`);
    }
    const { code, message } = answer.error;
    return Result.err({ kind: "refused", code, message: String(message) });
  }

  /**
   * Sends a request. A failure of the first attempt closes the connection. If the peer was unreachable on a
   * connection that had completed an earlier call, the request is sent once more on a new connection. If that
   * attempt fails too, this method does not close the new connection.
   */
  async #post(
    request: unknown,
    call: OpenCall,
  ): Promise<Result<JSONRPCResponse, RpcError>> {
    const reused = this.#completed > 0;
    const first = await this.#postOnce(request, call);
    if (first.isOk) return first;
    await this.#closeClient();
    const retry = reused && first.error.kind === "unreachable" &&
      !this.#stop.signal.aborted;
    return retry ? await this.#postOnce(request, call) : first;
  }

  async #postOnce(
    request: unknown,
    call: OpenCall,
  ): Promise<Result<JSONRPCResponse, RpcError>> {
    const signal = AbortSignal.any([call.deadline, this.#stop.signal]);
    try {
      const { bytes, headers } = await encodeBody(request);
      this.#client ??= this.#connect();
      const response = await this.#client.request({
        method: "POST",
        path: RPC_PATH,
        headers,
        body: bytes,
        signal,
      });
      const body = Buffer.from(await response.body.arrayBuffer());
      if (response.statusCode !== 200) {
        return malformed(`Status ${response.statusCode}`);
      }
      const message = await decodeBody(body, {
        encoding: response.headers["content-encoding"],
        maxBytes: this.#options.maxBodyBytes,
      });
      if (message.isErr) return malformed(message.error);
      if (!isResponse(message.value)) return malformed("No response");
      this.#completed += 1;
      return Result.ok(message.value);
    } catch (error) {
      if (call.deadline.aborted) return timeoutResult(call);
      return Result.err({ kind: "unreachable", message: String(error) });
    }
  }

  #isAuthorizedAs(vmId: string | undefined): boolean {
    return vmId === undefined || this.#socket === undefined ||
      this.#options.transport.isAuthorizedAs(this.#socket, vmId);
  }

  #connect(): Client {
    const { peer, localAddress, bytes, transport, maxBodyBytes, idleMs } =
      this.#options;
    const connect = transport.connector({
      timeoutMs: this.#options.connectTimeoutMs,
    });
    const host = peer.address.includes(":")
      ? `[${peer.address}]`
      : peer.address;
    return new Client(`http://${host}:${peer.port}`, {
      localAddress,
      pipelining: 1,
      maxResponseSize: maxBodyBytes,
      keepAliveTimeout: idleMs,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (options, callback) =>
        connect(options, (...[error, socket]) => {
          if (error !== null) return callback(error, null);
          bytes.track(transport.tcpSocketOf(socket));
          this.#socket = socket;
          callback(null, socket);
        }),
    });
  }

  async #closeClient(): Promise<void> {
    const client = this.#client;
    this.#client = undefined;
    this.#completed = 0;
    await client?.destroy().catch(() => {});
  }
}

/** Whether a message is a JSON-RPC response with the id 1, which all requests of a `PeerConnection` have. */
function isResponse(message: unknown): message is JSONRPCResponse {
  if (typeof message !== "object" || message === null) return false;
  if (!isJSONRPCResponse(message) || message.id !== 1) return false;
  return message.error === undefined ||
    (typeof message.error === "object" && message.error !== null);
}

function malformed(message: string): Result<never, RpcError> {
  return Result.err({ kind: "malformed", message });
}

function timeoutResult(
  { timeoutMs }: Pick<OpenCall, "timeoutMs">,
): Result<never, RpcError> {
  return Result.err({ kind: "timeout", timeoutMs });
}

function closedResult(): Result<never, RpcError> {
  return Result.err({ kind: "unreachable", message: "Client is closed" });
}
