import type {
  SimulatedKind,
  SimulatedService,
  SimulateMeshOptions,
} from "./mesh_simulation.ts";

/** Load patterns of `simulateMesh`. */
export type MeshLoad = Omit<SimulateMeshOptions, "seed" | "durationMs">;

/** Slots of each upstream of the fleet. */
const FLEET_SLOTS = 5;

/**
 * A fleet of 195 upstreams in five zones whose speeds differ by a factor of 2.3. A daemon sends an upstream of its zone
 * about one request in 4 s. `load` multiplies the requests; 1 takes about 95 % of the slots of the busiest service.
 */
export function fleetLoad({ load = 1 } = {}): MeshLoad {
  const slots = FLEET_SLOTS;
  return {
    zones: 5,
    services: [
      { name: "swatches", upstreamsPerZone: 15, slots, speeds: [0.6, 1, 1.4] },
      {
        name: "reservations",
        upstreamsPerZone: 9,
        slots,
        speeds: [0.7, 0.7, 1.6],
      },
      { name: "fittings", upstreamsPerZone: 5, slots, speeds: [0.7, 0.7, 1.6] },
      { name: "venues", upstreamsPerZone: 11, slots, speeds: [0.7, 0.7, 1.6] },
    ],
    kinds: [
      {
        name: "swatch-browse",
        service: "swatches",
        requestClass: "idempotent",
        perSecond: 1_180 * load,
        meanWorkMs: 235,
        spread: 0.3,
        objectiveMs: 620,
        deadlineMs: 2_000,
        priority: 2,
        retries: 2,
        calls: { kind: "stock-check", times: 2, share: 0.7, isTogether: true },
      },
      {
        name: "cover-reserve",
        service: "reservations",
        requestClass: "non_idempotent",
        perSecond: 395 * load,
        meanWorkMs: 306,
        spread: 0.3,
        objectiveMs: 1_030,
        deadlineMs: 3_000,
        priority: 1,
        retries: 2,
        calls: { kind: "rota-lookup", times: 1, share: 0.7, isTogether: false },
      },
      {
        name: "fitting-confirm",
        service: "fittings",
        requestClass: "non_idempotent",
        perSecond: 355 * load,
        meanWorkMs: 163,
        spread: 0.5,
        objectiveMs: 615,
        deadlineMs: 1_500,
        priority: 0,
        retries: 2,
        calls: { kind: "hall-layout", times: 1, share: 0.7, isTogether: true },
      },
      {
        name: "venue-plan",
        service: "venues",
        requestClass: "idempotent",
        perSecond: 240 * load,
        meanWorkMs: 949,
        spread: 0.5,
        objectiveMs: 2_566,
        deadlineMs: 8_000,
        priority: 2,
        retries: 2,
      },
      ...["stock-check", "rota-lookup", "hall-layout"].map((name, i) => ({
        name,
        service: ["reservations", "fittings", "venues"][i]!,
        requestClass: "idempotent" as const,
        perSecond: 0,
        meanWorkMs: 59,
        spread: 0.5,
        objectiveMs: 258,
        deadlineMs: 812,
        priority: 0,
        retries: 0,
      })),
    ],
  };
}

/**
 * Three upstreams of each of four services, one in each of three zones, with objectives of 0.4 of the deadlines. `load`
 * multiplies the requests; 1 is a usual day.
 */
export function shopLoad({ load = 1 } = {}): MeshLoad {
  const service = (name: string, speeds: readonly number[]) => ({
    name,
    upstreamsPerZone: 1,
    slots: 6,
    speeds,
  });
  return {
    zones: 3,
    services: [
      service("catalogue", [0.7, 0.7, 1.6]),
      service("commandes", [0.6, 1, 1.4]),
      service("historique", [0.5, 1, 1.5]),
      service("livraisons", [0.5, 1, 1.5]),
    ],
    kinds: [
      {
        name: "catalogue-browse",
        service: "catalogue",
        requestClass: "idempotent",
        perSecond: 90 * load,
        meanWorkMs: 120,
        spread: 0.3,
        objectiveMs: 400,
        deadlineMs: 1_000,
        priority: 2,
        retries: 1,
        calls: { kind: "price-lookup", times: 1, share: 0.7, isTogether: true },
      },
      {
        name: "order-submit",
        service: "commandes",
        requestClass: "non_idempotent",
        perSecond: 34 * load,
        meanWorkMs: 160,
        spread: 0.5,
        objectiveMs: 500,
        deadlineMs: 1_200,
        priority: 1,
        retries: 1,
        calls: { kind: "stock-lookup", times: 1, share: 0.7, isTogether: true },
      },
      {
        name: "order-history",
        service: "historique",
        requestClass: "idempotent",
        perSecond: 34 * load,
        meanWorkMs: 300,
        spread: 0.3,
        objectiveMs: 800,
        deadlineMs: 2_000,
        priority: 2,
        retries: 1,
      },
      {
        name: "delivery-confirm",
        service: "livraisons",
        requestClass: "non_idempotent",
        perSecond: 11 * load,
        meanWorkMs: 96,
        spread: 0.3,
        objectiveMs: 300,
        deadlineMs: 800,
        priority: 2,
        retries: 1,
      },
      ...["price-lookup", "stock-lookup"].map((name, i) => ({
        name,
        service: ["commandes", "historique"][i]!,
        requestClass: "idempotent" as const,
        perSecond: 0,
        meanWorkMs: 30,
        spread: 0.5,
        objectiveMs: 120,
        deadlineMs: 400,
        priority: 0,
        retries: 0,
      })),
    ],
  };
}

/**
 * Four zones whose demand swings by 0.55, nearly at the same time, and upstreams whose speeds differ by a factor of 2.4.
 * The hosts of the two large services are slow from time to time. Each kind calls another service. `load` multiplies
 * the requests; 1 is a usual day of a third of the fleet.
 */
export function waveLoad({ load = 1 } = {}): MeshLoad {
  const host = { share: 0.15, factor: 2.5, lastsMs: 600 };
  const longer = { share: 0.03, factor: 7 };
  const service = (
    name: string,
    upstreamsPerZone: number,
    speeds: readonly number[],
  ) => ({ name, upstreamsPerZone, slots: 3, speeds });
  const call = (kind: string, times: number, isTogether: boolean) => ({
    kind,
    times,
    share: 0.7,
    isTogether,
  });
  return {
    zones: 4,
    wave: { swing: 0.55, periodMs: 17_000, phases: [0.1, 0.18, 0.26, 0.34] },
    services: [
      { ...service("finder", 4, [0.7, 0.7, 1.7]), host },
      { ...service("bookings", 2, [0.7, 0.7, 1.6]), host },
      service("returns", 1, [0.5, 1, 1, 1.5]),
      service("tariffs", 1, [0.7, 0.7, 1.6]),
    ],
    kinds: [
      {
        name: "availability",
        service: "finder",
        requestClass: "idempotent",
        perSecond: 290 * load,
        meanWorkMs: 73,
        spread: 0.8,
        longer,
        objectiveMs: 450,
        deadlineMs: 1_000,
        priority: 2,
        retries: 2,
        calls: call("booking-status", 1, false),
      },
      {
        name: "confirm",
        service: "bookings",
        requestClass: "non_idempotent",
        perSecond: 75 * load,
        meanWorkMs: 91,
        spread: 0.3,
        longer,
        objectiveMs: 459,
        deadlineMs: 1_500,
        priority: 1,
        retries: 2,
        calls: call("inspection-index", 2, true),
      },
      {
        name: "inspection",
        service: "returns",
        requestClass: "non_idempotent",
        perSecond: 41 * load,
        meanWorkMs: 88,
        spread: 0.3,
        longer,
        objectiveMs: 917,
        deadlineMs: 4_462,
        priority: 1,
        retries: 2,
        calls: call("rate-table", 2, false),
      },
      {
        name: "quote",
        service: "tariffs",
        requestClass: "idempotent",
        perSecond: 157 * load,
        meanWorkMs: 29,
        spread: 0.3,
        longer,
        objectiveMs: 290,
        deadlineMs: 800,
        priority: 1,
        retries: 2,
      },
      ...["booking-status", "inspection-index", "rate-table"].map((
        name,
        i,
      ) => ({
        name,
        service: ["bookings", "returns", "tariffs"][i]!,
        requestClass: "idempotent" as const,
        perSecond: 0,
        meanWorkMs: 21,
        spread: 0.5,
        objectiveMs: 117,
        deadlineMs: 345,
        priority: 0,
        retries: 0,
      })),
    ],
  };
}

/** Two zones of six upstreams each, whose hosts are slow for 600 ms at a time, at about 75 % of their capacity. */
export function sharedHostsLoad(): MeshLoad {
  return searchLoad({ perSecond: 500, objectiveMs: 300 }, {
    upstreamsPerZone: 6,
    slots: 4,
    host: { share: 0.15, factor: 2.5, lastsMs: 600 },
  });
}

/**
 * Two zones of three upstreams each, which slow down from half of their slots on after two seconds: with all eight slots
 * in use they do two thirds of what they do with four. The load is 90 % of what they can do.
 */
export function slowingLoad(): MeshLoad {
  return searchLoad({ perSecond: 308, objectiveMs: 450 }, {
    upstreamsPerZone: 3,
    slots: 8,
    host: { share: 0.05, factor: 2.5, lastsMs: 600 },
    slowdown: ({ running, nowMs }) =>
      nowMs < 2_000 || running <= 4 ? 1 : 1 + (running - 4) / 2,
  });
}

function searchLoad(
  kind: Pick<SimulatedKind, "perSecond" | "objectiveMs">,
  service: Omit<SimulatedService, "name" | "speeds">,
): MeshLoad {
  return {
    zones: 2,
    services: [{ name: "search", speeds: [0.7, 0.7, 1.6], ...service }],
    kinds: [{
      name: "search",
      service: "search",
      requestClass: "idempotent",
      meanWorkMs: 70,
      spread: 0.3,
      ...kind,
      deadlineMs: 1_500,
      priority: 1,
      retries: 2,
    }],
  };
}

/**
 * Uploads that fill the links of a service with few upstreams, which other services call in the course of their own
 * requests. Its 8 VMs have links of 7 Mbit/s, 56 together; `load` 1 is 100 uploads of 60 KB a second, 48 Mbit/s, which
 * take half of its slots together with the calls.
 */
export function uploadLoad({ load = 1 } = {}): MeshLoad {
  return {
    zones: 4,
    services: [
      {
        name: "desk",
        upstreamsPerZone: 2,
        slots: 3,
        speeds: [0.8, 1.2],
        linkMbps: 7,
      },
      {
        name: "reservations",
        upstreamsPerZone: 6,
        slots: 3,
        speeds: [0.7, 1, 1.3],
        linkMbps: 70,
      },
    ],
    kinds: [
      {
        name: "upload",
        service: "desk",
        requestClass: "non_idempotent",
        perSecond: 100 * load,
        meanWorkMs: 88,
        spread: 0.3,
        objectiveMs: 917,
        deadlineMs: 4_462,
        priority: 2,
        retries: 2,
        bodyBytes: 60_000,
      },
      {
        name: "confirm",
        service: "reservations",
        requestClass: "non_idempotent",
        perSecond: 120,
        meanWorkMs: 91,
        spread: 0.3,
        objectiveMs: 459,
        deadlineMs: 3_256,
        priority: 1,
        retries: 2,
        calls: { kind: "index", times: 1, share: 1, isTogether: false },
      },
      {
        name: "index",
        service: "desk",
        requestClass: "idempotent",
        perSecond: 0,
        meanWorkMs: 21,
        spread: 0.3,
        objectiveMs: 117,
        deadlineMs: 345,
        priority: 1,
        retries: 0,
      },
    ],
  };
}

/**
 * Uploads at a service of eight upstreams and lookups at one of four, in four zones; the uploads call the service of
 * the lookups, which are more urgent. `load` multiplies the requests; 1 takes about 85 % of the slots.
 */
export function deskLoad({ load = 1 } = {}): MeshLoad {
  return {
    zones: 4,
    services: [
      { name: "desk", upstreamsPerZone: 2, slots: 3, speeds: [0.8, 1, 1.2] },
      { name: "quotes", upstreamsPerZone: 1, slots: 3, speeds: [0.8, 1, 1.2] },
      { name: "bookings", upstreamsPerZone: 4, slots: 3, speeds: [1] },
    ],
    kinds: [
      {
        name: "photo-upload",
        service: "desk",
        requestClass: "non_idempotent",
        perSecond: 190 * load,
        meanWorkMs: 88,
        spread: 0.3,
        objectiveMs: 900,
        deadlineMs: 4_000,
        priority: 2,
        retries: 2,
        hasLargeBodies: true,
        calls: { kind: "rate-lookup", times: 1, share: 0.7, isTogether: false },
      },
      {
        name: "quote-read",
        service: "quotes",
        requestClass: "idempotent",
        perSecond: 270 * load,
        meanWorkMs: 29,
        spread: 0.3,
        objectiveMs: 290,
        deadlineMs: 1_700,
        priority: 1,
        retries: 2,
      },
      {
        name: "rate-lookup",
        service: "quotes",
        requestClass: "idempotent",
        perSecond: 0,
        meanWorkMs: 15,
        spread: 0.5,
        objectiveMs: 117,
        deadlineMs: 345,
        priority: 0,
        retries: 0,
      },
    ],
  };
}

/**
 * Bookings whose runs call a service of four upstreams, two calls at once, beside requests of its own. `load` multiplies
 * the bookings; with 1, their calls ask for about 1.6 times what that service can do.
 */
export function bookingLoad({ load = 1 } = {}): MeshLoad {
  const { zones, services, kinds } = deskLoad();
  const [quoteRead, rateLookup] = ["quote-read", "rate-lookup"].map((name) =>
    kinds.find((kind) => kind.name === name)!
  );
  return {
    zones,
    services,
    kinds: [
      { ...quoteRead!, perSecond: 100 },
      { ...rateLookup!, meanWorkMs: 60 },
      {
        name: "booking",
        service: "bookings",
        requestClass: "non_idempotent",
        perSecond: 180 * load,
        meanWorkMs: 91,
        spread: 0.3,
        objectiveMs: 459,
        deadlineMs: 3_200,
        priority: 1,
        retries: 2,
        hasLargeBodies: true,
        calls: { kind: "rate-lookup", times: 2, share: 0.7, isTogether: true },
      },
    ],
  };
}
