import type { Test } from "tap";
import { formatVms, parseVms, validateLists } from "@tanagercove/lists";
import type { LogEvent } from "@tanagercove/logs";
import { Membership } from "@tanagercove/membership";
import type { RpcMethod } from "@tanagercove/rpc";
import {
  FakeNetwork,
  FakePlatform,
  VirtualClock,
} from "@tanagercove/test_helpers";
import type { Snapshot, Vm } from "@tanagercove/types";
import { SnapshotStore } from "@tanagercove/versions";
import {
  Distribution,
  type DistributionTuning,
  type SnapshotStores,
} from "./index.ts";

/** Creates a live VM; zone names are single characters. */
export function makeVm(zone: string, n: number): Vm {
  return {
    id: `${zone}${n}`,
    zone,
    service: "swatches",
    region: "r",
    address: `127.21.${zone.charCodeAt(0)}.${n}`,
    callerPort: 1,
    peerPort: 2,
    upstreamPort: 3,
    state: "live",
  };
}

/** Creates VMs in each zone, numbered from 1. */
export function makeVms(zones: string, perZone: number): readonly Vm[] {
  return [...zones].flatMap((zone) =>
    Array.from({ length: perZone }, (_, n) => makeVm(zone, n + 1))
  );
}

/** An in-memory fleet on a virtual clock. */
export class Fleet {
  readonly clock = new VirtualClock();
  readonly network = new FakeNetwork(this.clock);
  readonly platform = new FakePlatform(this.clock);
  readonly daemons = new Map<string, ReturnType<Fleet["start"]>>();
  readonly withoutPlatform = new Set<string>();
  /** Replaces the evenly distributed sequence that all daemons share by default. */
  random: (() => number) | undefined;
  #random = 0;

  constructor(t: Test, readonly vms: readonly Vm[]) {
    this.platform.publish("vms", formatVms(vms));
    this.platform.publish("allowances", "p = s\n");
    this.platform.publish("plans", "c = p\n");
    t.teardown(async () => {
      const closing = [...this.daemons.values()].map(({ close }) => close());
      await this.clock.advance(10_000);
      await Promise.all(closing);
    });
  }

  startAll(tuning?: Partial<DistributionTuning>): void {
    for (const vm of this.vms) this.start(vm, tuning);
  }

  start(
    vm: Vm,
    tuning?: Partial<DistributionTuning>,
    seeds: readonly Vm[] = [],
  ) {
    const { clock, network, platform } = this;
    const random = {
      next: () =>
        this.random?.() ?? (this.#random = (this.#random + 0.618_034) % 1),
    };
    const membership = new Membership({
      vmId: vm.id,
      zone: vm.zone,
      seeds: seeds.map(({ address, peerPort: port }) => ({ address, port })),
      clock,
      random,
    });
    const events: LogEvent[] = [];
    const taken: Snapshot<"lists">[] = [];
    const stores: SnapshotStores = {
      lists: new SnapshotStore<"lists">({
        kind: "lists",
        validate: ({ texts }) =>
          validateLists(texts).isErr ? "invalid lists" : undefined,
        onChange: ({ held }) => taken.push(held),
      }),
      vms: new SnapshotStore<"vms">({
        kind: "vms",
        validate: ({ texts }) =>
          parseVms(texts.vms).isErr ? "invalid vms" : undefined,
        onChange: ({ held }) =>
          membership.setVms(parseVms(held.texts.vms).unwrapOr([])),
      }),
    };
    const distribution = new Distribution({
      membership,
      stores,
      tuning,
      clock,
      random,
      rpc: network.callerFrom(vm.address),
      platform: platform.port(() => !this.withoutPlatform.has(vm.id)),
      onEvent: ({ event }) => events.push(event),
    });
    network.listen(vm.address, distribution.handlers);
    distribution.start();
    const daemon = {
      vm,
      membership,
      stores,
      distribution,
      events,
      taken,
      close: () => {
        network.close(vm.address);
        this.daemons.delete(vm.id);
        return distribution.close();
      },
    };
    this.daemons.set(vm.id, daemon);
    return daemon;
  }

  daemon(id: string) {
    return this.daemons.get(id)!;
  }

  /** Number of daemons whose lists have this revision. */
  countAt(revision: number): number {
    return [...this.daemons.values()].filter(({ stores }) =>
      stores.lists.held?.revision === revision
    ).length;
  }

  readers(zone: string): readonly string[] {
    return [...this.daemons.values()]
      .find(({ vm }) => vm.zone === zone)!.membership.readersInZone();
  }

  call(to: string, method: RpcMethod, params: unknown) {
    return this.daemon(to).distribution.handlers[method](params);
  }
}

/** Starts a fleet and waits until all daemons hold the first version. */
export async function startFleet(t: Test, { zones, perZone, tuning }: {
  readonly zones: string;
  readonly perZone: number;
  readonly tuning?: Partial<DistributionTuning>;
}) {
  const fleet = new Fleet(t, makeVms(zones, perZone));
  fleet.startAll(tuning);
  await fleet.clock.advance(4_000);
  t.equal(fleet.countAt(fleet.platform.revision), zones.length * perZone);
  return fleet;
}
