import type { IncomingMessage, ServerResponse } from "node:http";
import {
  createJSONRPCErrorResponse,
  createJSONRPCSuccessResponse,
  JSONRPCErrorCode,
  type JSONRPCRequest,
  type JSONRPCResponse,
  JSONRPCServer,
} from "json-rpc-2.0";
import type { Result } from "true-myth";
import { createPlainTransport, type PeerTransport } from "@tanagercove/keys";
import type { SocketByteCounter } from "@tanagercove/metrics";
import { decodeBody, encodeBody, MAX_BODY_BYTES } from "./body.ts";
import {
  claimedVmIdOf,
  isRpcMethod,
  type RpcMethod,
  TIMEOUT_MS_BY_METHOD,
} from "./rpc_methods.ts";

/** Error response of a method. */
export interface RpcMethodError {
  /** JSON-RPC error code. */
  readonly code: number;
  readonly message: string;
}

/** Error code for parameters of the wrong form. */
export const INVALID_PARAMS: number = JSONRPCErrorCode.InvalidParams;

/** Handles the calls of one method. `params` comes from the network and must be checked. */
export type RpcMethodHandler = (
  params: unknown,
) => Promise<Result<unknown, RpcMethodError>>;

/** Handlers of all methods. */
export type RpcHandlers = Readonly<Record<RpcMethod, RpcMethodHandler>>;

/** Options of `createRpcRequestHandler`. */
export interface CreateRpcRequestHandlerOptions {
  readonly handlers: RpcHandlers;
  /** Counts the bytes of the connections that calls arrive on. */
  readonly bytes?: SocketByteCounter;
  /** Checks that a message comes from the VM that it names; the default, without TLS, accepts every sender. */
  readonly transport?: PeerTransport;
  /** Limit on a request body, before and after decompression. */
  readonly maxBodyBytes?: number;
  /** Limit on calls handled at once; further ones get status 503. */
  readonly maxOpenCalls?: number;
  /** Time for the body of a request to arrive and be decoded; also the deadline of a call to an unknown method. */
  readonly receiveTimeoutMs?: number;
  readonly timeoutMsByMethod?: Readonly<Record<RpcMethod, number>>;
  /** Called when a method handler throws; the caller gets an error response. */
  readonly onHandlerError?: (message: string, error: unknown) => void;
}

/** Handles one HTTP request to `/rpc`; the promise never rejects. */
export type RpcRequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void>;

/** Creates the handler for `/rpc` on the peer port. It closes the connection of a call past its deadline. */
export function createRpcRequestHandler(
  options: CreateRpcRequestHandlerOptions,
): RpcRequestHandler {
  const maxBodyBytes = options.maxBodyBytes ?? MAX_BODY_BYTES;
  const maxOpenCalls = options.maxOpenCalls ?? 256;
  const receiveTimeoutMs = options.receiveTimeoutMs ?? 1_000;
  const timeoutMsByMethod = options.timeoutMsByMethod ?? TIMEOUT_MS_BY_METHOD;
  const transport = options.transport ?? createPlainTransport();
  const server = createServer(options);
  let openCalls = 0;

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const close = () => request.socket.destroy();
    let deadline = setTimeout(close, receiveTimeoutMs);
    try {
      const bytes = await readBody(request, maxBodyBytes);
      if (bytes === undefined) return refuse(response, 413);
      const body = await decodeBody(bytes, {
        encoding: request.headers["content-encoding"],
        maxBytes: maxBodyBytes,
      });
      if (body.isErr) return refuse(response, 400);
      clearTimeout(deadline);
      const { method, params } = (body.value ?? {}) as Partial<JSONRPCRequest>;
      const claimedVmId = isRpcMethod(method)
        ? claimedVmIdOf(method, { params })
        : undefined;
      if (
        claimedVmId !== undefined &&
        !transport.isAuthorizedAs(request.socket, claimedVmId)
      ) return refuse(response, 403);
      deadline = setTimeout(
        close,
        isRpcMethod(method) ? timeoutMsByMethod[method] : receiveTimeoutMs,
      );
      await send(response, await dispatch(server, body.value));
    } catch {
      close();
    } finally {
      clearTimeout(deadline);
    }
  }

  return async (request, response) => {
    options.bytes?.track(transport.tcpSocketOf(request.socket));
    request.on("error", () => {});
    response.on("error", () => {});
    if (request.method !== "POST") return refuse(response, 405);
    if (openCalls >= maxOpenCalls) return refuse(response, 503);
    openCalls += 1;
    await handle(request, response);
    openCalls -= 1;
  };
}

function createServer(options: CreateRpcRequestHandlerOptions): JSONRPCServer {
  const server = new JSONRPCServer({
    errorListener: (message, error) => options.onHandlerError?.(message, error),
  });
  for (const [method, handler] of Object.entries(options.handlers)) {
    server.addMethodAdvanced(method, async (request) => {
      const answer = await handler(request.params);
      const id = request.id ?? null;
      return answer.isOk
        ? createJSONRPCSuccessResponse(id, answer.value ?? null)
        : createJSONRPCErrorResponse(
          id,
          answer.error.code,
          answer.error.message,
        );
    });
  }
  return server;
}

/** Runs one JSON-RPC call. Batches are refused: one HTTP request could otherwise cause many `versions.fetch` calls. */
async function dispatch(
  server: JSONRPCServer,
  body: unknown,
): Promise<JSONRPCResponse | null> {
  if (typeof body !== "object" || body === null || Array.isArray(body)) {
    return createJSONRPCErrorResponse(
      null,
      JSONRPCErrorCode.InvalidRequest,
      "Expected one request object",
    );
  }
  return await server.receive(body as JSONRPCRequest);
}

/** Reads a body; returns undefined if it is too large. */
async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Buffer | undefined> {
  if (Number(request.headers["content-length"] ?? 0) > maxBytes) {
    return undefined;
  }
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    sizeBytes += chunk.length;
    if (sizeBytes > maxBytes) return undefined;
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

async function send(
  response: ServerResponse,
  message: JSONRPCResponse | null,
): Promise<void> {
  if (message === null) {
    response.writeHead(204).end();
    return;
  }
  const { bytes, headers } = await encodeBody(message);
  if (response.destroyed) return;
  const done = new Promise<void>((resolve) => {
    response.once("close", resolve);
  });
  response.writeHead(200, headers).end(bytes);
  await done;
}

function refuse(response: ServerResponse, status: number): void {
  if (response.headersSent || response.destroyed) return;
  response.writeHead(status, { connection: "close", "content-length": 0 })
    .end();
}
