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
  /** Exchanges digests; returns undefined if no valid digest was received. */
  readonly exchange: (peer: Peer) => Promise<Digest | undefined>;
}

/** Result of joining. */
export interface JoinOutcome {
  /** Number of other daemons that answered and hold a version of the lists. */
  readonly holders: number;
  readonly responses: number;
  readonly tookMs: number;
}

/** A peer that answered. */
interface Response {
  readonly peer: Peer;
  readonly digest: Digest;
}

const MIN_HOLDERS = 3;
const MAX_CALLS_IN_FLIGHT = 4;
const ROUND_MS = 100;
/**
 * After this time without a response, addresses from the platform's VM list are tried instead of the seeds;
 * without seeds, they are tried at once.
 */
const SEEDS_ONLY_MS = 1_000;
const ADDRESS_READ_INTERVAL_MS = 500;
/** Routes need VMs, so the VM list comes first. */
const KINDS: readonly SnapshotKind[] = ["vms", "lists"];

/**
 * Asks peers for the versions that they hold, fetches the highest ones and raises the floors of the
 * stores, which then take nothing older. If there are no seeds or none of them answers, peers are looked
 * up in the platform's VM list; joining reads nothing else from the platform.
 */
export async function join(options: JoinOptions): Promise<JoinOutcome> {
  const { clock, signal } = options;
  const startedMs = clock.nowMs();
  const responses = new Map<string, Response>();
  const inFlight = new Map<string, Promise<void>>();
  let addressesReadAtMs = -Infinity;

  while (!signal.aborted && !isComplete(options.membership, responses)) {
    const elapsedMs = clock.nowMs() - startedMs;
    if (elapsedMs >= options.timeoutMs) break;
    if (needsAddresses()) {
      addressesReadAtMs = clock.nowMs();
      await readAddresses(options);
    }
    for (const peer of nextPeers()) {
      const call = queryPeer(peer).finally(() => inFlight.delete(peer.id));
      inFlight.set(peer.id, call);
    }
    const remainingMs = options.timeoutMs - (clock.nowMs() - startedMs);
    await Promise.race([
      Promise.all(inFlight.values()),
      clock.sleep(Math.min(ROUND_MS, Math.max(0, remainingMs)), signal),
    ]);
    if (inFlight.size === 0 && !isComplete(options.membership, responses)) {
      await clock.sleep(ROUND_MS / 2, signal);
    }
  }
  await adoptNewestVersions(options, [...responses.values()]);
  return {
    holders: countHolders(options.membership, responses),
    responses: responses.size,
    tookMs: clock.nowMs() - startedMs,
  };

  function needsAddresses(): boolean {
    const { membership } = options;
    const nowMs = clock.nowMs();
    const seedsFailed = membership.seeds().length === 0 ||
      nowMs - startedMs >= SEEDS_ONLY_MS;
    return seedsFailed && responses.size === 0 && membership.vms.length === 0 &&
      nowMs - addressesReadAtMs >= ADDRESS_READ_INTERVAL_MS;
  }

  function nextPeers(): readonly Peer[] {
    const { membership } = options;
    const candidates = membership.pickInAnyZone(membership.daemonCount);
    return candidates
      .filter(({ id }) => !responses.has(id) && !inFlight.has(id))
      .slice(0, Math.max(0, MAX_CALLS_IN_FLIGHT - inFlight.size));
  }

  async function queryPeer(peer: Peer): Promise<void> {
    const digest = await options.exchange(peer);
    if (digest === undefined) return;
    responses.set(peer.id, { peer, digest });
    // A newer VM list can contain further peers to query.
    if (options.replication.isBehind("vms", digest.vms)) {
      await options.replication.catchUp("vms", peer, digest.vms!);
    }
  }
}

/**
 * Counts the other daemons that hold a version of the lists. A daemon that answers both as a seed and at its
 * address in the VM list counts once. A seed can also be this daemon, which does not count.
 */
function countHolders(
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
  if (countHolders(membership, responses) >= MIN_HOLDERS) return true;
  const peers = membership.peers();
  // Without a VM list there may be other daemons that this one does not know.
  if (peers.length === 0) return membership.vms.length > 0;
  return peers.every(({ id }) => responses.has(id));
}

async function readAddresses(
  { platform, membership, signal }: JoinOptions,
): Promise<void> {
  const text = await platform.readValue("vms");
  if (text.isErr || signal.aborted) return;
  const vms = parseVms(text.value.value);
  if (vms.isOk) membership.setVms(vms.value);
}

/**
 * For each kind, fetches the highest version that a peer can deliver. Then raises the store's floor to the
 * highest revision reported, not counting versions that this daemon refuses.
 */
async function adoptNewestVersions(
  options: JoinOptions,
  responses: readonly Response[],
): Promise<void> {
  const { replication, signal } = options;
  for (const kind of KINDS) {
    const reported = responses.flatMap(({ peer, digest }) => {
      const id: SnapshotId | undefined = digest[kind];
      return id === undefined ? [] : [{ peer, id }];
    });
    reported.sort((a, b) => b.id.revision - a.id.revision);
    for (const { peer, id } of reported) {
      if (signal.aborted) return;
      if (replication.isBehind(kind, id)) {
        await replication.catchUp(kind, peer, id);
      }
    }
    const store = replication.store(kind);
    // A version that this daemon refuses cannot have been in force anywhere.
    const floor = reported.find(({ id }) =>
      !store.isRefused(id)
    )?.id.revision ?? 0;
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
