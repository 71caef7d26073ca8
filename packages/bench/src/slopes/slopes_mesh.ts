import { startMesh, type UpstreamProcess } from "@tanagercove/emulator";
import { request } from "undici";
import { HEADERS } from "@tanagercove/types";

/** Fleet of three daemons: one receives the calls, one owns the upstream, and one is idle. */
export interface SlopesMesh {
  readonly customer: string;
  readonly service: string;
  /** URL at which callers reach the caller's daemon. */
  readonly callerUrl: string;
  /** Address and peer port of the daemon that serves no calls. */
  readonly idlePeer: { readonly host: string; readonly port: number };
  readonly pids: Readonly<Record<"caller" | "owner" | "idle", number>>;
  /** Bytes in both directions between the caller's and the owner daemon, since the start. */
  bytesBetweenDaemons(): number;
  /** Sends one long request for each slot of the owner's upstream; does not wait until these requests run. */
  occupySlots(): Promise<void>;
  close(): Promise<void>;
}

const CUSTOMER = "isla";
const SERVICES = { owner: "swatches", caller: "venues", idle: "fittings" };
const CALLER_PORT = 8_080;
const SLOTS = 10;
const SERVICE_TIME_MS = 1;
/** Longer than the measurement of queued requests, so that the slots stay occupied. */
const OCCUPIED_MS = 60_000;
const QUEUE_LENGTH = 4_000;
const IN_FORCE_TIMEOUT_MS = 20_000;

/** Starts the daemons with a relay between them, which counts their bytes. */
export async function startSlopesMesh(): Promise<SlopesMesh> {
  const services = Object.values(SERVICES);
  const mesh = await startMesh({
    zones: ["zone-a"],
    services,
    upstreams: "processes",
    upstreamOptions: () => ({
      serviceTime: { shape: "fixed", meanMs: SERVICE_TIME_MS },
      slots: SLOTS,
    }),
    plans: `${CUSTOMER} = full\n`,
    allowances: `full = ${services.join(", ")}\n`,
    settings: {
      upstream: {
        slots: SLOTS,
        queue_length: QUEUE_LENGTH,
        queue_timeout_ms: OCCUPIED_MS,
      },
    },
    statusIntervalMs: 0,
    ownProcessGroup: true,
  });
  const vmOf = (service: string) =>
    mesh.vms.find((vm) => vm.service === service)!;
  const caller = mesh.fleet.daemon(vmOf(SERVICES.caller).id);
  const owner = mesh.fleet.daemon(vmOf(SERVICES.owner).id);
  const idle = mesh.fleet.daemon(vmOf(SERVICES.idle).id);
  const callerUrl = `http://${caller.address}:${CALLER_PORT}`;
  await mesh.fleet.waitUntilInForce(mesh.platform.revision, {
    timeoutMs: IN_FORCE_TIMEOUT_MS,
  });
  const endIds = new Set([caller.id, owner.id]);
  return {
    customer: CUSTOMER,
    service: SERVICES.owner,
    callerUrl,
    idlePeer: { host: idle.address, port: idle.vm.peerPort },
    pids: { caller: caller.pid!, owner: owner.pid!, idle: idle.pid! },
    bytesBetweenDaemons() {
      const links = mesh.relay!.traffic.filter(({ from, to }) =>
        from !== to && endIds.has(from) && endIds.has(to)
      );
      return links.reduce(
        (sum, link) => sum + link.sentBytes + link.receivedBytes,
        0,
      );
    },
    async occupySlots() {
      const upstream = mesh.upstreams.get(owner.id) as UpstreamProcess;
      await upstream.control({
        action: "set_service_time",
        serviceTime: { shape: "fixed", meanMs: OCCUPIED_MS },
      });
      for (let slot = 0; slot < SLOTS; slot += 1) {
        // The request fails when the mesh is closed.
        void request(`${callerUrl}/occupied?id=occupied-${slot}`, {
          headers: {
            [HEADERS.customer]: CUSTOMER,
            [HEADERS.service]: SERVICES.owner,
            [HEADERS.deadlineMs]: String(OCCUPIED_MS),
          },
        }).then(({ body }) => body.dump()).catch(() => {});
      }
    },
    close: () => mesh.close(),
  };
}
