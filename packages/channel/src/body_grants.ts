import { type Clock, systemClock } from "./clock.ts";

/** A body that another daemon has announced and sends as far as it is granted. */
export interface AnnouncedBody {
  /** 0 is the most urgent. */
  readonly rank: number;
  readonly sizeBytes: number;
  /** Called with the number of bytes, from the first one on, that may have been sent from now on. */
  readonly grant: (totalBytes: number) => void;
}

/** A body that is waiting for grants or is being received. */
export interface GrantedBody {
  /** Whether bytes of it have been granted. */
  readonly hasBegun: boolean;
  /** Records bytes that have arrived. */
  received(sizeBytes: number): void;
  /** Ends the body: nothing more is granted, and what is under way no longer counts. */
  close(): void;
}

/** Options of `BodyGrants`. */
export interface BodyGrantsOptions {
  /** Bandwidth of this VM's link. */
  readonly linkMbps: number;
  readonly clock?: Clock;
}

/** Most bytes that one grant adds, so that bodies of several senders can share a narrow link. */
const GRANT_BYTES = 8 * 1024;

/**
 * Time that the bytes under way may take on the link. A small message waits at most so long behind them; less would leave
 * the link idle between the arrival of a piece and that of the next one, as daemons answer within some milliseconds.
 */
const WINDOW_MS = 20;

/** Grants that may be under way on any link: two senders at least, as one of them may be slow. */
const MIN_WINDOW_GRANTS = 2;

/** Share of the window for one body while others wait: a sender whose own link is narrow does not hold up the rest. */
const SINGLE_BODY_SHARE = 1 / 2;

/** Time without a byte of a granted body after which the bytes under way count as lost; its sender may be cut off. */
const STALL_MS = 250;

interface Entry {
  readonly body: AnnouncedBody;
  readonly sequence: number;
  grantedBytes: number;
  receivedBytes: number;
  /** Last arrival or first grant after everything had arrived. */
  movedAtMs: number;
}

/** Converts the time of bytes on a link. */
export function transferMs(sizeBytes: number, linkMbps: number): number {
  return sizeBytes * 8 / (linkMbps * 1_000);
}

/**
 * Grants the bytes of bodies at the rate of the receiver's link, in order of rank and size.
 *
 * Answers uploads that fill the link of a service with few upstreams: if senders send as they like, their bodies queue in
 * front of the link, and small requests and answers wait behind them. Bytes are therefore granted by the receiver, only
 * as many as the link takes in `WINDOW_MS`; a body that has begun goes on before others of its rank, since one that is
 * given up halfway has taken its share of the link for nothing.
 */
export class BodyGrants {
  readonly #linkMbps: number;
  readonly #clock: Clock;
  readonly #windowBytes: number;
  readonly #entries = new Set<Entry>();
  #sequence = 0;
  #stallTimer: { cancel(): void } | undefined;

  constructor({ linkMbps, clock = systemClock }: BodyGrantsOptions) {
    this.#linkMbps = linkMbps;
    this.#clock = clock;
    this.#windowBytes = Math.max(
      MIN_WINDOW_GRANTS * GRANT_BYTES,
      Math.floor(linkMbps * 1_000 / 8 * WINDOW_MS),
    );
  }

  /** Bodies of which nothing has been granted yet. */
  get waitingBodies(): number {
    return [...this.#entries].filter((entry) => entry.grantedBytes === 0)
      .length;
  }

  /** Bodies of which a part has been granted. */
  get granted(): number {
    return this.#entries.size - this.waitingBodies;
  }

  /** Bytes that have been granted, have not arrived and do not count as lost. */
  get underWayBytes(): number {
    const nowMs = this.#clock.nowMs();
    let sumBytes = 0;
    for (const entry of this.#entries) {
      if (!isStalled(entry, nowMs)) sumBytes += underWayOf(entry);
    }
    return sumBytes;
  }

  /** Time that a body takes on this VM's link alone. */
  transferMs(sizeBytes: number): number {
    return transferMs(sizeBytes, this.#linkMbps);
  }

  /** Time until a new body of a rank would be granted its first bytes. */
  backlogMs(rank: number): number {
    const nowMs = this.#clock.nowMs();
    let aheadBytes = 0;
    for (const entry of this.#entries) {
      if (entry.body.rank > rank || isStalled(entry, nowMs)) continue;
      aheadBytes += entry.body.sizeBytes - entry.receivedBytes;
    }
    return transferMs(aheadBytes, this.#linkMbps);
  }

  /** Adds a body; its first bytes are granted at once if the link is free. */
  add(body: AnnouncedBody): GrantedBody {
    const entry: Entry = {
      body,
      sequence: this.#sequence,
      grantedBytes: 0,
      receivedBytes: 0,
      movedAtMs: this.#clock.nowMs(),
    };
    this.#sequence += 1;
    this.#entries.add(entry);
    this.#grantNext();
    return {
      get hasBegun() {
        return entry.grantedBytes > 0;
      },
      received: (sizeBytes) => {
        entry.receivedBytes += sizeBytes;
        entry.movedAtMs = this.#clock.nowMs();
        if (entry.receivedBytes >= body.sizeBytes) this.#entries.delete(entry);
        this.#grantNext();
      },
      close: () => {
        if (this.#entries.delete(entry)) this.#grantNext();
      },
    };
  }

  #grantNext(): void {
    this.#stallTimer?.cancel();
    this.#stallTimer = undefined;
    if (this.#entries.size === 0) return;
    let freeBytes = this.#windowBytes - this.underWayBytes;
    for (const share of [SINGLE_BODY_SHARE, 1]) {
      const maxBytes = share * this.#windowBytes;
      while (freeBytes >= Math.min(GRANT_BYTES, this.#windowBytes)) {
        const entry = this.#next(maxBytes);
        if (entry === undefined) break;
        freeBytes -= this.#grant(entry);
      }
    }
    // Bytes that have been lost do not come back by an arrival.
    this.#stallTimer = this.#clock.setTimer(() => this.#grantNext(), STALL_MS);
  }

  /** The body that comes first, of those that have less than `maxBytes` under way. */
  #next(maxBytes: number): Entry | undefined {
    const nowMs = this.#clock.nowMs();
    let first: Entry | undefined;
    for (const entry of this.#entries) {
      const isAllGranted = entry.grantedBytes >= entry.body.sizeBytes;
      if (isAllGranted || underWayOf(entry) >= maxBytes) continue;
      if (isStalled(entry, nowMs)) continue;
      if (first === undefined || isGrantedBefore(entry, first)) first = entry;
    }
    return first;
  }

  #grant(entry: Entry): number {
    const { body, grantedBytes } = entry;
    if (underWayOf(entry) === 0) entry.movedAtMs = this.#clock.nowMs();
    const addedBytes = Math.min(GRANT_BYTES, body.sizeBytes - grantedBytes);
    entry.grantedBytes += addedBytes;
    body.grant(entry.grantedBytes);
    return addedBytes;
  }
}

function underWayOf({ grantedBytes, receivedBytes }: Entry): number {
  return grantedBytes - receivedBytes;
}

function isStalled(entry: Entry, nowMs: number): boolean {
  return underWayOf(entry) > 0 && nowMs - entry.movedAtMs >= STALL_MS;
}

/** Whether `a` is granted before `b`: by rank, then those that have begun, then the smaller rest, then the earlier one. */
function isGrantedBefore(a: Entry, b: Entry): boolean {
  if (a.body.rank !== b.body.rank) return a.body.rank < b.body.rank;
  const aHasBegun = a.grantedBytes > 0;
  if (aHasBegun !== b.grantedBytes > 0) return aHasBegun;
  const aRestBytes = a.body.sizeBytes - a.grantedBytes;
  const bRestBytes = b.body.sizeBytes - b.grantedBytes;
  if (aRestBytes !== bRestBytes) return aRestBytes < bRestBytes;
  return a.sequence < b.sequence;
}
