import { createServer, type Server, type Socket } from "node:net";
import type { BodyGrants } from "./body_grants.ts";
import { MAX_EXCHANGES } from "./channel_client.ts";
import { ChannelConnection, CHECK_INTERVAL_MS } from "./channel_connection.ts";
import { GRANTS_LEVEL, PROTOCOL_LEVEL } from "./message_codec.ts";
import type {
  BodyMemory,
  BodyReservation,
  ChannelMessage,
  ChannelProblem,
  IncomingBody,
  ReceiveBodyOptions,
} from "./channel_message.ts";

/** A request at work. */
export interface ChannelRun {
  /** The answer; undefined if there is none, which is a cut for the other daemon. A rejection is one, too. */
  readonly ended: Promise<ChannelMessage | undefined>;
  /** Called when the other daemon no longer waits for the answer. */
  cancel(): void;
}

/** Where a request comes from. */
export interface RequestOrigin {
  /** IP of the other daemon. */
  readonly address: string;
}

/** Options of `startChannelServer`. */
export interface StartChannelServerOptions {
  readonly address: string;
  readonly port: number;
  readonly maxBodyBytes: number;
  readonly memory: BodyMemory;
  /** Order in which large bodies of all connections are received; without it, they are sent with their requests. */
  readonly grants?: BodyGrants;
  readonly handle: (
    request: ChannelMessage,
    origin: RequestOrigin,
  ) => ChannelRun;
  /** Answer to a request whose body would take too much memory. */
  readonly answerRefusedBody: () => ChannelMessage;
  /** Answer in place of one whose head the other end cannot read. */
  readonly answerLargeHead: () => ChannelMessage;
  /** Called when an answer of this size begins to be sent; the returned function is called when it has been. */
  readonly holdAnswer: (sizeBytes: number) => () => void;
  /** Called when a connection is closed because the other end did not keep to the protocol. */
  readonly onProblem: (
    problem: { readonly peer: string; readonly problem: ChannelProblem },
  ) => void;
}

/** A server for requests of other daemons. */
export interface ChannelServer {
  /** Requests whose answers have not been sent. */
  readonly inFlight: number;
  /** Asks the other daemons to send no new request on the connections that are open. */
  announceLeaving(): void;
  /** Stops listening and closes all connections. */
  close(): Promise<void>;
}

/** A request that takes longer is confirmed by a signal; without one, this daemon would be taken for unreachable. */
const CONFIRM_AFTER_MS = 120;

/** Connections that may wait to be accepted; all daemons of a fleet may reconnect at once. */
const BACKLOG = 511;

/** Limit on connections; a fleet has one for each pair of daemons. */
const MAX_CONNECTIONS = 4_096;

/** Time for the other daemons to take the last bytes when the server closes. */
const CLOSE_GRACE_MS = 100;

interface ServedExchange {
  request: ChannelMessage | undefined;
  /** Memory of the request's body, until the exchange ends. */
  reservation: BodyReservation | undefined;
  run: ChannelRun | undefined;
  confirmTimer: NodeJS.Timeout | undefined;
}

/** Serves the requests of other daemons on one port. */
export async function startChannelServer(
  options: StartChannelServerOptions,
): Promise<ChannelServer> {
  const connections = new Set<ChannelConnection>();
  let inFlight = 0;
  let isLeaving = false;

  function accept(socket: Socket): void {
    const address = socket.remoteAddress ?? "";
    const peer = `${address}:${socket.remotePort}`;
    const exchanges = new Map<number, ServedExchange>();
    /** Requests that arrived in the bytes that are being read; a cancellation may be among the next ones. */
    let arrived: number[] = [];
    const connection = new ChannelConnection({
      socket,
      maxBodyBytes: options.maxBodyBytes,
      memory: options.memory,
      level: options.grants === undefined ? GRANTS_LEVEL - 1 : PROTOCOL_LEVEL,
      handlers: {
        onOpen: () => {
          if (isLeaving) connection.sendSignal("leaving");
        },
        onMessage(exchangeId, { kind, message, announcedBytes, reservation }) {
          if (kind !== "request" || exchanges.has(exchangeId)) {
            return reservation.close();
          }
          if (exchanges.size >= MAX_EXCHANGES) {
            reservation.close();
            options.onProblem({ peer, problem: "too_many_exchanges" });
            return connection.reset();
          }
          const request = announcedBytes === undefined ? message : {
            ...message,
            incoming: incomingBody(exchangeId, announcedBytes),
          };
          begin(exchangeId, request, reservation);
          arrived.push(exchangeId);
        },
        onBodyRefused(exchangeId) {
          begin(exchangeId, undefined);
          finish(exchangeId, options.answerRefusedBody());
        },
        onSignal(kind, exchangeId) {
          if (kind === "cancel") end(exchangeId, "cancel");
        },
        onRead() {
          const started = arrived;
          arrived = [];
          for (const exchangeId of started) start(exchangeId);
        },
        onClosed(problem) {
          connections.delete(connection);
          for (const exchangeId of [...exchanges.keys()]) {
            end(exchangeId, "cancel");
          }
          if (problem !== undefined) options.onProblem({ peer, problem });
        },
      },
    });
    connections.add(connection);

    function begin(
      exchangeId: number,
      request: ChannelMessage | undefined,
      reservation?: BodyReservation,
    ): void {
      inFlight += 1;
      exchanges.set(exchangeId, {
        request,
        reservation,
        run: undefined,
        confirmTimer: undefined,
      });
    }

    function incomingBody(
      exchangeId: number,
      sizeBytes: number,
    ): IncomingBody {
      return {
        sizeBytes,
        receive: (receiveOptions) =>
          exchanges.has(exchangeId) && options.grants !== undefined
            ? receiveBody(exchangeId, { sizeBytes, ...receiveOptions })
            : Promise.resolve(undefined),
      };
    }

    function receiveBody(
      exchangeId: number,
      { sizeBytes, rank, beginWithinMs, timeoutMs }: ReceiveBodyOptions & {
        readonly sizeBytes: number;
      },
    ): Promise<Buffer | undefined> {
      return new Promise((resolve) => {
        let hasMemory = true;
        const reservation = options.memory.receive(() => {
          hasMemory = false;
          connection.dropBody(exchangeId);
        });
        reservation.resize(sizeBytes);
        if (!hasMemory) return resolve(undefined);
        exchanges.get(exchangeId)!.reservation = reservation;
        connection.receiveAnnounced(exchangeId, {
          sizeBytes,
          reservation,
          onBytes: (arrivedBytes) => granted.received(arrivedBytes),
          onEnded(body) {
            clearTimeout(beginTimer);
            clearTimeout(timeoutTimer);
            granted.close();
            resolve(body);
          },
        });
        const granted = options.grants!.add({
          rank,
          sizeBytes,
          grant: (totalBytes) => connection.sendGrant(exchangeId, totalBytes),
        });
        const beginTimer = setTimeout(() => {
          if (!granted.hasBegun) connection.dropBody(exchangeId);
        }, beginWithinMs);
        const timeoutTimer = setTimeout(
          () => connection.dropBody(exchangeId),
          timeoutMs,
        );
      });
    }

    function start(exchangeId: number): void {
      const exchange = exchanges.get(exchangeId);
      if (exchange === undefined) return;
      const run = options.handle(exchange.request!, { address });
      exchange.request = undefined;
      exchange.run = run;
      exchange.confirmTimer = setTimeout(
        () => connection.sendSignal("alive", exchangeId),
        CONFIRM_AFTER_MS,
      );
      void run.ended.then(
        (answer) => finish(exchangeId, answer),
        () => finish(exchangeId, undefined),
      );
    }

    function finish(
      exchangeId: number,
      answer: ChannelMessage | undefined,
    ): void {
      const exchange = exchanges.get(exchangeId);
      if (exchange === undefined) return;
      clearTimeout(exchange.confirmTimer);
      connection.dropBody(exchangeId);
      exchange.reservation?.close();
      if (answer === undefined) {
        connection.sendSignal("cancel", exchangeId);
        return end(exchangeId, "keep");
      }
      const message = connection.canSend(answer.head)
        ? answer
        : options.answerLargeHead();
      const release = options.holdAnswer(message.body?.length ?? 0);
      connection.sendMessage(exchangeId, {
        kind: "answer",
        message,
        onSent() {
          release();
          end(exchangeId, "keep");
        },
      });
    }

    function end(exchangeId: number, runAction: "cancel" | "keep"): void {
      const exchange = exchanges.get(exchangeId);
      // The body of a request that has not begun may be arriving.
      if (exchange === undefined) return connection.dropBody(exchangeId);
      exchanges.delete(exchangeId);
      inFlight -= 1;
      clearTimeout(exchange.confirmTimer);
      exchange.reservation?.close();
      if (runAction === "keep") return;
      connection.forget(exchangeId);
      exchange.run?.cancel();
    }
  }

  const server = createServer(accept);
  server.maxConnections = MAX_CONNECTIONS;
  await listen(server, options);
  // An unhandled error, such as that there are no more descriptors, would end the process.
  server.on(
    "error",
    () => options.onProblem({ peer: "unknown", problem: "accept_failed" }),
  );
  const checkTimer = setInterval(() => {
    for (const connection of connections) connection.closeStuck();
  }, CHECK_INTERVAL_MS);
  return {
    get inFlight() {
      return inFlight;
    },
    announceLeaving() {
      isLeaving = true;
      for (const connection of connections) connection.sendSignal("leaving");
    },
    close() {
      clearInterval(checkTimer);
      return new Promise((resolve) => {
        server.close(() => resolve());
        for (const connection of connections) connection.end();
        setTimeout(() => {
          for (const connection of connections) connection.reset();
        }, CLOSE_GRACE_MS).unref();
      });
    },
  };
}

function listen(
  server: Server,
  { address, port }: { readonly address: string; readonly port: number },
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen({ host: address, port, backlog: BACKLOG }, resolve);
  });
}
