import { randomUUID } from "node:crypto";
import type { Vm } from "@tanagercove/types";
import { type LeavingNotice, LeavingNotices } from "./leaving_notices.ts";
import {
  type Clock,
  type Random,
  SYSTEM_CLOCK,
  SYSTEM_RANDOM,
} from "./ports.ts";
import { rankByRendezvous } from "./rendezvous.ts";
import { type Suspicion, Suspicions } from "./suspicions.ts";

/** Another daemon and its address. */
export interface Peer {
  /** VM id, or `IP PORT` of a seed whose VM is unknown. */
  readonly id: string;
  /** IP address. */
  readonly address: string;
  readonly port: number;
  /** Undefined for a seed whose VM is unknown. */
  readonly zone: string | undefined;
}

/** Address of a daemon's peer port, from the settings. */
export interface SeedAddress {
  readonly address: string;
  readonly port: number;
}

/** Options of `Membership`. */
export interface MembershipOptions {
  readonly vmId: string;
  readonly zone: string;
  /** Daemons to contact while no VM list is known. */
  readonly seeds?: readonly SeedAddress[];
  readonly readersPerZone?: number;
  /** Id of this process; random by default. */
  readonly processId?: string;
  readonly clock?: Clock;
  readonly random?: Random;
}

/** State of the membership for the command `dump`. */
export interface MembershipDump {
  readonly processId: string;
  readonly vmCount: number;
  readonly seeds: readonly SeedAddress[];
  readonly ownRank: number;
  readonly readersInZone: readonly string[];
  readonly leaving: readonly LeavingNotice[];
  readonly suspected: readonly Suspicion[];
}

/** The other daemons of the fleet as known to this one, from the VM list, leaving notices and failed exchanges. */
export class Membership {
  readonly processId: string;
  readonly #options: MembershipOptions;
  readonly #random: Random;
  readonly #notices: LeavingNotices;
  readonly #suspicions: Suspicions;
  readonly #seeds: readonly Peer[];
  #vms: readonly Vm[] = [];
  #peerById: ReadonlyMap<string, Peer> = new Map();
  #peersByZone: ReadonlyMap<string, readonly Peer[]> = new Map();
  #ranks: readonly string[] = [];
  /** Zones with a live VM, and this daemon's zone. */
  #liveZones: readonly string[];
  /** VMs that are leaving according to the VM list. */
  #leavingIds: ReadonlySet<string> = new Set();
  #leaving = false;

  constructor(options: MembershipOptions) {
    const clock = options.clock ?? SYSTEM_CLOCK;
    this.#options = options;
    this.#random = options.random ?? SYSTEM_RANDOM;
    this.#notices = new LeavingNotices(clock);
    this.#suspicions = new Suspicions({ clock, random: this.#random });
    this.#seeds = (options.seeds ?? []).map(({ address, port }) => ({
      id: `${address} ${port}`,
      address,
      port,
      zone: undefined,
    }));
    this.#liveZones = [options.zone];
    this.processId = options.processId ?? randomUUID();
  }

  get vmId(): string {
    return this.#options.vmId;
  }

  get zone(): string {
    return this.#options.zone;
  }

  get vms(): readonly Vm[] {
    return this.#vms;
  }

  get readersPerZone(): number {
    return this.#options.readersPerZone ?? 2;
  }

  /** Number of known daemons, including this one. */
  get daemonCount(): number {
    return this.#peerById.size > 0
      ? this.#peerById.size + 1
      : this.#seeds.length + 1;
  }

  /** Replaces the VM list, and drops the notices and suspicions about VMs that are not in it. */
  setVms(vms: readonly Vm[]): void {
    const others = vms.filter(({ id }) => id !== this.vmId).map(peerOf);
    const byZone = new Map<string, Peer[]>();
    for (const peer of others) {
      const inZone = byZone.get(peer.zone ?? "");
      if (inZone === undefined) byZone.set(peer.zone ?? "", [peer]);
      else inZone.push(peer);
    }
    const live = vms.filter(({ zone, state }) =>
      zone === this.zone && state === "live"
    );
    this.#vms = vms;
    this.#peerById = new Map(others.map((peer) => [peer.id, peer]));
    this.#peersByZone = byZone;
    this.#ranks = rankByRendezvous(this.zone, live.map(({ id }) => id));
    const liveZones = vms.flatMap(({ zone, state }) =>
      state === "live" ? [zone] : []
    );
    this.#liveZones = [...new Set([this.zone, ...liveZones])];
    this.#leavingIds = new Set(
      vms.filter(({ state }) => state === "leaving").map(({ id }) => id),
    );
    this.#notices.retain((vmId) => this.#peerById.has(vmId));
    this.#suspicions.retain((id) =>
      this.#peerById.has(id) || this.#seeds.some((seed) => seed.id === id)
    );
  }

  /** The peer on a listed VM. */
  peer(vmId: string): Peer | undefined {
    return this.#peerById.get(vmId);
  }

  /** All peers in the VM list, or the seeds if it has none. */
  peers(): readonly Peer[] {
    return this.#peerById.size > 0 ? [...this.#peerById.values()] : this.#seeds;
  }

  seeds(): readonly Peer[] {
    return this.#seeds;
  }

  /** Rank of a VM among the live VMs of this zone, from 0; a VM that is not among them ranks last. */
  rankOf(vmId: string): number {
    const rank = this.#ranks.indexOf(vmId);
    return rank < 0 ? this.#ranks.length : rank;
  }

  get ownRank(): number {
    return this.rankOf(this.vmId);
  }

  get isReader(): boolean {
    return this.ownRank < this.readersPerZone;
  }

  /**
   * Position of this zone, from 0, in the order in which zones read a revision from the platform. The order differs
   * between revisions, so that the zones share the load of reading full values.
   */
  zonePosition(revision: number): number {
    return rankByRendezvous(String(revision), this.#liveZones)
      .indexOf(this.zone);
  }

  /**
   * VM ids of this zone's readers, by rank; may include this daemon's. Readers are the daemons on the first
   * `readersPerZone` live VMs in rank, which watch the platform.
   */
  readersInZone(): readonly string[] {
    return this.#ranks.slice(0, this.readersPerZone);
  }

  /** VM ids of this zone that directly precede this daemon in the ranking, at most `count`. */
  precedingByRank(count: number): readonly string[] {
    const rank = this.ownRank;
    return this.#ranks.slice(Math.max(0, rank - count), rank);
  }

  /** Distinct random peers in this zone; seeds if the VM list has no peers at all. */
  pickInZone(count: number): readonly Peer[] {
    const candidates = this.#peerById.size === 0
      ? this.#seeds
      : this.#peersByZone.get(this.zone) ?? [];
    return this.#pick(candidates, count);
  }

  /** Random peers in other zones, at most one for each zone. */
  pickInOtherZones(count: number): readonly Peer[] {
    const zones = [...this.#peersByZone.keys()].filter((zone) =>
      zone !== this.zone
    );
    return this.#sample(zones, count).flatMap((zone) =>
      this.#pick(this.#peersByZone.get(zone) ?? [], 1)
    );
  }

  /** Distinct random peers in any zone. */
  pickInAnyZone(count: number): readonly Peer[] {
    return this.#pick(this.peers(), count);
  }

  /** Whether a peer is skipped now because its last exchange with this daemon failed. */
  isSuspected(peerId: string): boolean {
    return this.#suspicions.has(peerId);
  }

  /** Records a failed exchange; true if it is the first one since the peer's last message or response. */
  recordFailure(peerId: string): boolean {
    return this.#suspicions.recordFailure(peerId);
  }

  /** Records a response of a peer; true if exchanges with it had failed since its last message or response. */
  recordSuccess(peerId: string): boolean {
    return this.#suspicions.recordMessage(peerId);
  }

  /** Records a message that came directly from the process on a VM. */
  recordMessageFrom(vmId: string, processId: string): void {
    if (!this.#peerById.has(vmId)) return;
    this.#suspicions.recordMessage(vmId);
    this.#notices.recordMessage(vmId, processId);
  }

  /** Adds a leaving notice about another listed VM; true if it was added and no notice about that VM was held. */
  addNotice(notice: LeavingNotice): boolean {
    return this.#peerById.has(notice.vmId) && this.#notices.add(notice);
  }

  /** Includes a notice about this daemon in `notices` from now on. */
  startLeaving(): void {
    this.#leaving = true;
  }

  /** Stops repeating the notice about this daemon; other daemons keep it until it expires. */
  stopLeaving(): void {
    this.#leaving = false;
  }

  /** Notices to send to peers, including the one about this daemon while it is leaving. */
  notices(): readonly LeavingNotice[] {
    const { vmId, processId } = this;
    const others = this.#notices.list();
    return this.#leaving ? [{ vmId, processId, ageMs: 0 }, ...others] : others;
  }

  /** Whether a VM is leaving according to the VM list or a notice. */
  isLeaving(vmId: string): boolean {
    return this.#leavingIds.has(vmId) || this.#notices.has(vmId);
  }

  /** All VMs that are leaving according to the VM list or a notice. */
  leavingVms(): ReadonlySet<string> {
    const notices = this.#notices.list();
    if (notices.length === 0) return this.#leavingIds;
    return new Set([...this.#leavingIds, ...notices.map(({ vmId }) => vmId)]);
  }

  dump(): MembershipDump {
    return {
      processId: this.processId,
      vmCount: this.#vms.length,
      seeds: this.#options.seeds ?? [],
      ownRank: this.ownRank,
      readersInZone: this.readersInZone(),
      leaving: this.notices(),
      suspected: this.#suspicions.list(),
    };
  }

  /** Picks random candidates and skips suspected peers unless all are suspected. */
  #pick(candidates: readonly Peer[], count: number): readonly Peer[] {
    const trusted = candidates.filter(({ id }) => !this.#suspicions.has(id));
    const picked = this.#sample(trusted, count);
    if (picked.length > 0) return picked;
    return this.#sample(candidates, count);
  }

  #sample<T>(items: readonly T[], count: number): readonly T[] {
    const rest = [...items];
    const size = Math.min(count, rest.length);
    for (let i = 0; i < size; i += 1) {
      const j = i + Math.floor(this.#random.next() * (rest.length - i));
      [rest[i], rest[j]] = [rest[j]!, rest[i]!];
    }
    return rest.slice(0, size);
  }
}

function peerOf(vm: Vm): Peer {
  const { id, address, peerPort, zone } = vm;
  return { id, address, port: peerPort, zone };
}
