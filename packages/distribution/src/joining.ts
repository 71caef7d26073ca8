import { parseVms } from "@tanagercove/lists";
import type { Clock, Membership, Peer } from "@tanagercove/membership";
import type { PlatformPort } from "@tanagercove/platform";
import type { SnapshotId, SnapshotKind } from "@tanagercove/types";
import type { Digest } from "./messages.ts";
import type { Replication } from "./replication.ts";

/** Options of `join`. */
export interface JoinOptions {
  readonly membership: Membership;
  readonly replication: Replication;
  readonly platform: PlatformPort;
  readonly clock: Clock;
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
  /** One digest exchange; undefined where the peer did not answer. */
  readonly exchange: (peer: Peer) => Promise<Digest | undefined>;
}

/** How joining ended. */
export interface JoinOutcome {
  /** Responses of daemons that hold a version of the lists. */
  readonly holders: number;
  readonly responses: number;
  readonly tookMs: number;
}

/** A peer that answered. */
interface Response {
  readonly peer: Peer;
  readonly digest: Digest;
}

const HOLDERS_NEEDED = 3;
const CALLS_PER_ROUND = 4;
const ROUND_MS = 100;
/** Time after which the addresses of the VM list on the platform are used beside the seeds. */
const SEEDS_ALONE_MS = 1_000;
const ADDRESSES_RETRY_MS = 500;
/** Routes need VMs, so these come first. */
const KINDS: readonly SnapshotKind[] = ["vms", "lists"];

/**
 * Learns from peers the highest versions held anywhere, fetches them and lets the stores take nothing
 * older. Where the seeds are missing or silent, the platform's VM list serves for addresses only.
 */
export async function join(options: JoinOptions): Promise<JoinOutcome> {
  const { clock, signal } = options;
  const startedMs = clock.nowMs();
  const responses = new Map<string, Response>();
  const asking = new Map<string, Promise<void>>();
  let addressesAskedAtMs = -Infinity;

  while (!signal.aborted && !isComplete(options.membership, responses)) {
    const elapsedMs = clock.nowMs() - startedMs;
    if (elapsedMs >= options.timeoutMs) break;
    if (needsAddresses()) {
      addressesAskedAtMs = clock.nowMs();
      await learnAddresses(options);
    }
    for (const peer of nextToAsk()) {
      const call = ask(peer).finally(() => asking.delete(peer.id));
      asking.set(peer.id, call);
    }
    const left = options.timeoutMs - (clock.nowMs() - startedMs);
    await Promise.race([
      Promise.all(asking.values()),
      clock.sleep(Math.min(ROUND_MS, Math.max(0, left)), signal),
    ]);
    if (asking.size === 0 && !isComplete(options.membership, responses)) {
      await clock.sleep(ROUND_MS / 2, signal);
    }
  }
  await adopt(options, [...responses.values()]);
  return {
    holders: holdersIn(options.membership, responses),
    responses: responses.size,
    tookMs: clock.nowMs() - startedMs,
  };

  function needsAddresses(): boolean {
    const { membership } = options;
    const nowMs = clock.nowMs();
    const seedsFail = membership.seeds().length === 0 ||
      nowMs - startedMs >= SEEDS_ALONE_MS;
    return seedsFail && responses.size === 0 && membership.vms.length === 0 &&
      nowMs - addressesAskedAtMs >= ADDRESSES_RETRY_MS;
  }

  function nextToAsk(): readonly Peer[] {
    const { membership } = options;
    const candidates = membership.pickInAnyZone(membership.daemonCount);
    return candidates
      .filter(({ id }) => !responses.has(id) && !asking.has(id))
      .slice(0, Math.max(0, CALLS_PER_ROUND - asking.size));
  }

  async function ask(peer: Peer): Promise<void> {
    const digest = await options.exchange(peer);
    if (digest === undefined) return;
    responses.set(peer.id, { peer, digest });
    // The VM list names further peers to ask.
    if (options.replication.isBehind("vms", digest.vms)) {
      await options.replication.catchUp("vms", peer, digest.vms!);
    }
  }
}

/** Other daemons that hold a version; a seed can be this daemon, or one that the VM list names as well. */
function holdersIn(
  membership: Membership,
  responses: ReadonlyMap<string, Response>,
): number {
  const holders = [...responses.values()]
    .filter(({ digest }) => digest.lists !== undefined)
    .map(({ digest }) => digest.sender.vmId)
    .filter((vmId) => vmId !== membership.vmId);
  return new Set(holders).size;
}

function isComplete(
  membership: Membership,
  responses: ReadonlyMap<string, Response>,
): boolean {
  if (holdersIn(membership, responses) >= HOLDERS_NEEDED) return true;
  const known = membership.peers();
  // Without a VM list other daemons can exist that this one does not know.
  if (known.length === 0) return membership.vms.length > 0;
  return known.every(({ id }) => responses.has(id));
}

async function learnAddresses(
  { platform, membership, signal }: JoinOptions,
): Promise<void> {
  const text = await platform.readValue("vms");
  if (text.isErr || signal.aborted) return;
  const vms = parseVms(text.value.value);
  if (vms.isOk) membership.setVms(vms.value);
}

/** Fetches the highest version that a peer can deliver and raises the floors to the highest told. */
async function adopt(
  options: JoinOptions,
  responses: readonly Response[],
): Promise<void> {
  const { replication, signal } = options;
  for (const kind of KINDS) {
    const told = responses.flatMap(({ peer, digest }) => {
      const id: SnapshotId | undefined = digest[kind];
      return id === undefined ? [] : [{ peer, id }];
    });
    told.sort((a, b) => b.id.revision - a.id.revision);
    for (const { peer, id } of told) {
      if (signal.aborted) return;
      if (replication.isBehind(kind, id)) {
        await replication.catchUp(kind, peer, id);
      }
    }
    const store = replication.store(kind);
    // A version that this daemon refuses cannot have been in force anywhere.
    const floor = told.find(({ id }) => !store.isRefused(id))?.id.revision ?? 0;
    store.raiseFloor(floor);
    const held = store.held?.revision;
    if (held === undefined ? floor > 0 : held < floor) {
      replication.event({
        event: "floor_not_reached",
        kind,
        floor_revision: floor,
        held_revision: held,
      });
    }
  }
}
