import { createServer, type Server, type Socket } from "node:net";
import { listen } from "./listen.ts";
import { RelayConnection } from "./relay_connection.ts";
import {
  combineRules,
  type Endpoint,
  type Link,
  type RelayRule,
  ruleMatches,
} from "./relay_rules.ts";

/** An endpoint that is reached through the relay. */
export interface RelayTarget {
  readonly endpoint: Endpoint;
  /** Address that other endpoints connect to; the relay listens on it. */
  readonly publishedAddress: string;
  /** Address that the endpoint listens on and opens its connections from. */
  readonly address: string;
  /** Ports that the relay and the endpoint listen on, each on its own address. */
  readonly ports: readonly number[];
}

/** Traffic of one link since the start. */
export interface LinkTraffic {
  readonly from: string;
  readonly to: string;
  /** Bytes from the endpoint that opened the connection; `receivedBytes` counts the opposite direction. */
  readonly sentBytes: number;
  readonly receivedBytes: number;
  readonly connections: number;
  /** Connections reset on arrival by a rule. */
  readonly refusedConnections: number;
}

/** Handle of a rule that was added. */
export interface RuleHandle {
  remove(): void;
}

interface RunningTarget {
  readonly target: RelayTarget;
  readonly serverByPort: Map<number, Server>;
}

type MutableTraffic = { -readonly [K in keyof LinkTraffic]: LinkTraffic[K] };

const OUTSIDE: Endpoint = { kind: "outside", id: "outside" };

/**
 * Forwards TCP between endpoints and imitates a faulty network. The endpoint that opened a connection is
 * identified by its source address. A connection that a rule cuts is accepted and reset at once, since
 * a listener cannot refuse by source; `refuse` closes listeners where connections must be refused.
 */
export class Relay {
  readonly #targets = new Map<string, RunningTarget>();
  readonly #endpointByAddress = new Map<string, Endpoint>();
  readonly #rules = new Set<RelayRule>();
  readonly #connections = new Set<RelayConnection>();
  readonly #traffic = new Map<string, MutableTraffic>();

  /** Starts to listen for an endpoint. */
  async addTarget(target: RelayTarget): Promise<void> {
    const running: RunningTarget = { target, serverByPort: new Map() };
    this.#targets.set(target.endpoint.id, running);
    this.#endpointByAddress.set(target.address, target.endpoint);
    // Daemons may also open connections from the published address.
    this.#endpointByAddress.set(target.publishedAddress, target.endpoint);
    await Promise.all(
      target.ports.map((port) => this.#listen(running, port)),
    );
  }

  /** Refuses connections to ports of an endpoint whose process has ended. */
  async refuse(id: string, ports: readonly number[]): Promise<void> {
    const running = this.#targets.get(id);
    const closed = ports.map(async (port) => {
      const server = running?.serverByPort.get(port);
      running?.serverByPort.delete(port);
      if (server !== undefined) await stopListening(server);
    });
    await Promise.all(closed);
  }

  /** Listens again after `refuse`. */
  async accept(id: string, ports: readonly number[]): Promise<void> {
    const running = this.#targets.get(id);
    if (running === undefined) return;
    const missing = ports.filter((port) => !running.serverByPort.has(port));
    await Promise.all(missing.map((port) => this.#listen(running, port)));
  }

  /** Adds a rule, which also applies to open connections. */
  addRule(rule: RelayRule): RuleHandle {
    this.#rules.add(rule);
    const discardsOpenConnections = rule.action === "silent" &&
      rule.newConnections === "pass";
    for (const connection of [...this.#connections]) {
      if (!ruleMatches(rule, connection.link)) continue;
      if (discardsOpenConnections) connection.discardData();
    }
    this.#applyRules();
    return {
      remove: () => {
        if (this.#rules.delete(rule)) this.#applyRules();
      },
    };
  }

  clearRules(): void {
    this.#rules.clear();
    this.#applyRules();
  }

  /** Traffic by link. */
  get traffic(): readonly LinkTraffic[] {
    return [...this.#traffic.values()];
  }

  async close(): Promise<void> {
    const servers = [...this.#targets.values()].flatMap(({ serverByPort }) => [
      ...serverByPort.values(),
    ]);
    this.#targets.clear();
    const closed = servers.map(stopListening);
    for (const connection of [...this.#connections]) connection.reset();
    await Promise.all(closed);
  }

  async #listen(
    { target, serverByPort }: RunningTarget,
    port: number,
  ): Promise<void> {
    const server = createServer(
      { allowHalfOpen: true, pauseOnConnect: true },
      (socket) => this.#accept(target, { socket, port }),
    );
    serverByPort.set(port, server);
    await listen(server, { host: target.publishedAddress, port });
  }

  #accept(
    target: RelayTarget,
    { socket, port }: { readonly socket: Socket; readonly port: number },
  ): void {
    const from = this.#endpointByAddress.get(socket.remoteAddress ?? "") ??
      OUTSIDE;
    const link: Link = { from, to: target.endpoint };
    const effect = combineRules(this.#rules, link);
    const traffic = this.#trafficOf(link);
    traffic.connections += 1;
    if (effect.action === "cut") {
      traffic.refusedConnections += 1;
      socket.on("error", () => {});
      socket.resetAndDestroy();
      return;
    }
    const connection = new RelayConnection({
      source: socket,
      link,
      target: { address: target.address, port },
      effect,
      onBytes: ({ sentBytes, receivedBytes }) => {
        traffic.sentBytes += sentBytes;
        traffic.receivedBytes += receivedBytes;
      },
      onClose: () => this.#connections.delete(connection),
    });
    this.#connections.add(connection);
  }

  #applyRules(): void {
    for (const connection of [...this.#connections]) {
      connection.apply(combineRules(this.#rules, connection.link));
    }
  }

  #trafficOf({ from, to }: Link): MutableTraffic {
    const key = `${from.id}>${to.id}`;
    const existing = this.#traffic.get(key);
    if (existing !== undefined) return existing;
    const traffic: MutableTraffic = {
      from: from.id,
      to: to.id,
      sentBytes: 0,
      receivedBytes: 0,
      connections: 0,
      refusedConnections: 0,
    };
    this.#traffic.set(key, traffic);
    return traffic;
  }
}

/** Closes the listener. Open connections stay open, so this does not wait for the server to close. */
function stopListening(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close();
    setImmediate(resolve);
  });
}
