import { AnswerMemory } from "./answer_memory.ts";
import { HeadMemory } from "./head_memory.ts";
import type { MemoryLimits } from "./memory_limits.ts";

/** Whose request bodies take memory: those of this VM's callers, or those that other daemons forward. */
export type BodyUse = "caller_bodies" | "forwarded_bodies";

/** What takes memory of the process. */
export type MemoryUse = BodyUse | "answers";

/** The memory that one request body takes, from before its first byte is read until nothing needs it any more. */
export interface BodyLease {
  readonly sizeBytes: number;
  /** Changes the size; false if there is no room for it, and the size is as before. */
  resize(sizeBytes: number): boolean;
  /** Gives the memory back; further calls have no effect. */
  close(): void;
}

/** Bodies up to this size are small: they may also take the last part of the memory for bodies. */
export const SMALL_BODY_BYTES = 64 * 1024;

/** Share of the memory for bodies that large ones leave to small ones. */
const SMALL_BODY_SHARE = 1 / 8;

/** The memory that one body takes while it arrives from another daemon, which tells its length first. */
export interface ArrivingBody {
  /** Sets the size; ends the body if there is no room for it. */
  resize(sizeBytes: number): void;
  close(): void;
}

interface HeldBody {
  readonly use: BodyUse;
  sizeBytes: number;
}

/**
 * The one owner of the memory that a daemon gives to heads, bodies and answers. A body that does not fit is refused before
 * it is read; an answer that does not fit is ended, since its length may not be known before.
 */
export class MemoryBudget {
  readonly limits: MemoryLimits;
  readonly answers: AnswerMemory;
  readonly heads: HeadMemory;
  readonly #usedBytes: Record<BodyUse, number> = {
    caller_bodies: 0,
    forwarded_bodies: 0,
  };
  readonly #refusals: Record<BodyUse, number> = {
    caller_bodies: 0,
    forwarded_bodies: 0,
  };
  #largeBodies = 0;

  constructor(limits: MemoryLimits) {
    this.limits = limits;
    this.answers = new AnswerMemory(limits.answers);
    this.heads = new HeadMemory(limits.heads);
  }

  /** Memory that a use takes. */
  usedBytes(use: MemoryUse): number {
    return use === "answers" ? this.answers.usedBytes : this.#usedBytes[use];
  }

  /** Bodies of a use that were refused so far. */
  refusals(use: BodyUse): number {
    return this.#refusals[use];
  }

  /** Bytes of bodies of a use for which there is room. */
  freeBytes(use: BodyUse): number {
    const { bodyBytes, bodyBytesOfUse } = this.limits;
    const { caller_bodies, forwarded_bodies } = this.#usedBytes;
    return Math.max(
      0,
      Math.min(
        bodyBytes - caller_bodies - forwarded_bodies,
        bodyBytesOfUse - this.#usedBytes[use],
      ),
    );
  }

  /** Takes memory for a body; undefined if there is no room for it. */
  reserveBody(use: BodyUse, sizeBytes: number): BodyLease | undefined {
    const held: HeldBody = { use, sizeBytes: 0 };
    if (!this.#resize(held, sizeBytes)) return undefined;
    let isClosed = false;
    return {
      get sizeBytes() {
        return held.sizeBytes;
      },
      resize: (nextBytes) => !isClosed && this.#resize(held, nextBytes),
      close: () => {
        if (isClosed) return;
        isClosed = true;
        this.#count(held, 0);
      },
    };
  }

  /** Takes memory for a body whose length is told later; `onEnded` is called once if there is no room for it. */
  receiveBody(use: BodyUse, onEnded: () => void): ArrivingBody {
    let lease: BodyLease | undefined;
    return {
      resize: (sizeBytes) => {
        lease?.close();
        lease = this.reserveBody(use, sizeBytes);
        if (lease === undefined) onEnded();
      },
      close: () => lease?.close(),
    };
  }

  #resize(held: HeldBody, sizeBytes: number): boolean {
    const addedBytes = sizeBytes - held.sizeBytes;
    if (addedBytes > 0 && !this.#hasRoom(held, sizeBytes)) {
      this.#refusals[held.use] += 1;
      return false;
    }
    this.#count(held, sizeBytes);
    return true;
  }

  /** Large bodies leave a part to small ones, unless a single one needs it. */
  #hasRoom({ use, sizeBytes: heldBytes }: HeldBody, sizeBytes: number) {
    const freeBytes = this.freeBytes(use) + heldBytes;
    const others = this.#largeBodies - (heldBytes > SMALL_BODY_BYTES ? 1 : 0);
    const leftBytes = sizeBytes > SMALL_BODY_BYTES && others > 0
      ? this.limits.bodyBytes * SMALL_BODY_SHARE
      : 0;
    return sizeBytes <= freeBytes - leftBytes;
  }

  #count(held: HeldBody, sizeBytes: number): void {
    if (held.sizeBytes > SMALL_BODY_BYTES) this.#largeBodies -= 1;
    if (sizeBytes > SMALL_BODY_BYTES) this.#largeBodies += 1;
    this.#usedBytes[held.use] += sizeBytes - held.sizeBytes;
    held.sizeBytes = sizeBytes;
  }
}
