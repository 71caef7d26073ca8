import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { formatVms } from "@tanagercove/lists";
import { HEADERS, type Vm } from "@tanagercove/types";
import { startFleet } from "./fleet.ts";
import { startPlatformStandIn } from "./platform_stand_in.ts";
import { startUpstreamStandIn } from "./upstream_stand_in.ts";

const ZONES = ["zone-a", "zone-b", "zone-c"];
const SERVICES = ["swatches", "reservations"];

/** Runs three zones of daemons and upstreams, edits the lists and shows a request routed by them. */
export async function runDemo(): Promise<void> {
  const platform = await startPlatformStandIn();
  const vms: Vm[] = [];
  const upstreams = [];
  for (const [z, zone] of ZONES.entries()) {
    for (const [s, service] of SERVICES.entries()) {
      const address = `127.10.${z + 1}.${s + 1}`;
      const upstream = await startUpstreamStandIn({
        name: `${service}-${z}`,
        host: address,
      });
      upstreams.push(upstream);
      vms.push({
        id: `${service}-${z}`,
        service,
        zone,
        region: "region-1",
        address,
        callerPort: 8080,
        peerPort: 8081,
        upstreamPort: upstream.port,
        state: "live",
      });
    }
  }
  platform.publish("vms", formatVms(vms));
  platform.publish(
    "allowances",
    "basic = swatches\nfull = swatches, reservations\n",
  );
  const fleet = await startFleet({ platformUrl: platform.url, vms });
  for (const plan of ["basic", "full"]) {
    const revision = platform.publish("plans", `perth = ${plan}\n`);
    await inForce(revision);
    console.log(
      `perth = ${plan}: revision ${revision} in force on ${vms.length} daemons`,
    );
    for (const service of SERVICES) {
      console.log(`  ${service}: ${await call(service)}`);
    }
  }
  await fleet.close();
  await Promise.all(upstreams.map((upstream) => upstream.close()));
  await platform.close();

  async function inForce(revision: number): Promise<void> {
    for (const daemon of fleet.daemons) {
      while (await revisionOf(daemon.operatorUrl) !== revision) await sleep(50);
    }
  }

  async function call(service: string): Promise<string> {
    const answer = await request(`http://${vms[0]!.address}:8080/venues`, {
      headers: { [HEADERS.customer]: "perth", [HEADERS.service]: service },
    });
    return `${answer.statusCode} ${await answer.body.text()}`;
  }
}

async function revisionOf(operatorUrl: string): Promise<number | undefined> {
  try {
    const answer = await request(`${operatorUrl}/status`);
    return (await answer.body.json() as { revision?: number }).revision;
  } catch {
    return undefined;
  }
}
