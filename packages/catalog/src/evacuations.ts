import { eraOf } from "./revisions.ts";

/** What is known of the evacuation of one zone. */
export interface ZoneEvacuation {
  readonly zone: string;
  /** Platform revision as of which this is known. */
  readonly revision: number;
  /** Whether the operator asks that the upstreams of the zone get no more requests. */
  readonly isEvacuated: boolean;
}

/** What one daemon knows of all evacuations, as the platform lists them or for another daemon. */
export interface EvacuationState {
  /** Revision of the newest list of the platform that is included; zones that it did not list were in use then. */
  readonly revision: number;
  /** Highest revision of a change that is included. */
  readonly changeRevision: number;
  /** Zones that are evacuated, and those that were. */
  readonly zones: readonly ZoneEvacuation[];
}

/**
 * The zones that the operator evacuates. What is known of a zone is replaced only by something newer, in whichever order
 * the platform and other daemons tell it.
 */
export class Evacuations {
  #listRevision = 0;
  #changeRevision = 0;
  readonly #zones = new Map<string, ZoneEvacuation>();
  /** Evacuated zones that the platform's older copy does not list, with the revision of its list. */
  readonly #deferredEnds = new Map<string, number>();

  /** Whether a list of the platform has been taken, so that a zone without evacuation is known to be in use. */
  get isKnown(): boolean {
    return this.#listRevision > 0;
  }

  /** Revision of the newest list of the platform that is included; 0 before the first. */
  get listRevision(): number {
    return this.#listRevision;
  }

  /** Highest revision of a change that is included. */
  get changeRevision(): number {
    return this.#changeRevision;
  }

  /** The evacuated zones. */
  get zones(): readonly string[] {
    return [...this.#zones.values()].flatMap(({ zone, isEvacuated }) =>
      isEvacuated ? [zone] : []
    );
  }

  /** Number of evacuations that are kept although the platform does not list them (`endDeferred`). */
  get deferred(): number {
    return this.#deferredEnds.size;
  }

  has(zone: string): boolean {
    return this.#zones.get(zone)?.isEvacuated ?? false;
  }

  /** Revision as of which it is known whether a zone is evacuated. */
  revisionOf(zone: string): number {
    return this.#zones.get(zone)?.revision ?? this.#listRevision;
  }

  /** Takes a change; returns whether it is newer than what is known. */
  take(change: ZoneEvacuation): boolean {
    const { zone, revision, isEvacuated } = change;
    this.#changeRevision = Math.max(this.#changeRevision, revision);
    if (revision <= this.revisionOf(zone)) return false;
    this.#zones.set(zone, { zone, revision, isEvacuated });
    this.#deferredEnds.delete(zone);
    return true;
  }

  /**
   * Takes a list of the platform, or what another daemon knows; returns what is newer in it. An evacuation of an earlier
   * era that a list does not name may be lost with what the platform's store has forgotten, and is kept until
   * `endDeferred`: the operator writes it again if it still holds.
   */
  merge(
    { revision, changeRevision, zones }: EvacuationState,
  ): readonly ZoneEvacuation[] {
    const listRevision = Math.max(this.#listRevision, revision);
    const listed = new Set(zones.map(({ zone }) => zone));
    const unlisted = [...this.#zones.values()]
      .filter(({ zone, isEvacuated }) => isEvacuated && !listed.has(zone))
      .filter((held) => held.revision <= revision);
    const isOfEarlierEra = (held: ZoneEvacuation) =>
      eraOf(held.revision) < eraOf(listRevision);
    const ended = unlisted.filter((held) => !isOfEarlierEra(held))
      .map(({ zone }) => ({ zone, revision, isEvacuated: false }));
    const heldChangeRevision = this.#changeRevision;
    const kept = zones.filter((zone) =>
      zone.isEvacuated && isOfEarlierEra(zone) && !this.#zones.has(zone.zone)
    );
    for (const zone of kept) this.#zones.set(zone.zone, zone);
    const taken = [...zones, ...ended].filter((change) => this.take(change));
    for (const { zone } of [...unlisted.filter(isOfEarlierEra), ...kept]) {
      this.#deferredEnds.set(zone, listRevision);
    }
    // The revision of a list is not that of a change.
    this.#changeRevision = Math.max(heldChangeRevision, changeRevision);
    this.#listRevision = listRevision;
    return [...kept, ...taken];
  }

  /** Ends the evacuations that the platform's store has not listed again; returns them. */
  endDeferred(): readonly ZoneEvacuation[] {
    const ended = [...this.#deferredEnds].map(([zone, revision]) => ({
      zone,
      revision,
      isEvacuated: false,
    }));
    this.#deferredEnds.clear();
    for (const evacuation of ended) {
      this.#zones.set(evacuation.zone, evacuation);
    }
    return ended;
  }

  /** All that is known, for another daemon; undefined before the first list. */
  state(): EvacuationState | undefined {
    if (!this.isKnown) return undefined;
    return {
      revision: this.#listRevision,
      changeRevision: this.#changeRevision,
      zones: [...this.#zones.values()],
    };
  }
}
