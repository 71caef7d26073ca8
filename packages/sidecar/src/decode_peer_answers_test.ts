import fc from "fast-check";
import t from "tap";
import { Catalog } from "@tanagercove/catalog";
import {
  decodeConfigurationUpdate,
  decodeFeedResponse,
  decodeLinkTable,
  decodeUpstreamsSnapshot,
} from "./decode_peer_answers.ts";
import { ROUTE, upstreamTaken } from "./request_fixture.ts";

const SEED = 20261207;

const LIMITS = {
  maxHeaderBytes: 1_000,
  maxBodyBytes: 1_000,
  headerTimeoutMs: 1_000,
  idleTimeoutMs: 1_000,
};

const CONFIGURATION = {
  version: 3,
  routes: [ROUTE],
  services: [{ name: "shop", healthPath: "/health", maxConnections: 3 }],
  limits: LIMITS,
};

const UPDATE = {
  revision: 9,
  version: 3,
  changes: [
    upstreamTaken({ index: 1, revision: 7 }),
    { kind: "upstream_removed", revision: 8, id: "u2" },
    { kind: "configuration", revision: 9, configuration: CONFIGURATION },
  ],
  evacuations: {
    revision: 9,
    changeRevision: 8,
    zones: [{ zone: "a", revision: 8, isEvacuated: true }],
  },
};

const SOUND_ANSWERS = [
  UPDATE,
  {
    ...UPDATE,
    feedId: "f",
    position: 1,
    isInContact: true,
    readers: ["10.0.0.1:1"],
    whole: UPDATE,
  },
  { kind: "whole", revision: 9, configuration: CONFIGURATION },
  {
    kind: "delta",
    revision: 9,
    delta: {
      version: 3,
      fromVersion: 2,
      changed: [ROUTE],
      removed: ["other"],
      services: [],
      limits: LIMITS,
    },
  },
  { "10.0.0.1": { linkMbps: 5, toldMsAgo: 3 }, "10.0.0.2": 7 },
];

/** Stands for lists nested more deeply than a recursive function can follow. */
const NESTED = "nested lists";

function jsonOf(value: unknown): string {
  return JSON.stringify(value)
    .replaceAll(`"${NESTED}"`, "[".repeat(20_000) + "]".repeat(20_000));
}

/** All paths of a value, each as the keys that lead to a part of it. */
function pathsOf(value: unknown): readonly (readonly string[])[] {
  if (typeof value !== "object" || value === null) return [[]];
  return [
    [],
    ...Object.entries(value).flatMap(([key, part]) =>
      pathsOf(part).map((path) => [key, ...path])
    ),
  ];
}

function withPart(
  value: unknown,
  [key, ...rest]: readonly string[],
  part: unknown,
): unknown {
  if (key === undefined) return part;
  const copy: Record<string, unknown> | unknown[] = Array.isArray(value)
    ? [...value]
    : { ...value as object };
  const fields = copy as Record<string, unknown>;
  fields[key] = withPart(fields[key], rest, part);
  return copy;
}

const anyPart = fc.oneof(
  fc.constant(NESTED),
  fc.constantFrom<unknown>(undefined, null, -1, 1e300, "", [], {}, [{}]),
  fc.constant({ toString: 1, length: -1 }),
  fc.jsonValue(),
);

const anyAnswer = fc.constantFrom(...SOUND_ANSWERS).chain((answer) =>
  fc.tuple(fc.constantFrom(...pathsOf(answer)), anyPart)
    .map(([path, part]) => jsonOf(withPart(answer, path, part) ?? null))
    .filter((json) => json.length < 1_000 || json.includes("[[[["))
);

// Guards against the end of a daemon by an answer of another one, which may run another version of this program.
t.test("should decode any answer of another daemon, or say what is wrong with it", (t) => {
  fc.assert(
    fc.property(anyAnswer, (json) => {
      const body = Buffer.from(json);
      decodeLinkTable(body);
      decodeConfigurationUpdate(body);
      const feed = decodeFeedResponse(body);
      const catalog = new Catalog();
      if (feed.isOk) {
        if (feed.value.whole !== undefined) catalog.replace(feed.value.whole);
        catalog.apply(feed.value.changes);
        catalog.mergeEvacuations(feed.value.evacuations);
      }
      const limits = catalog.index?.configuration.limits ?? LIMITS;
      const areLimitsSound = Object.keys(LIMITS).every((name) =>
        Number.isFinite(limits[name as keyof typeof LIMITS])
      );
      if (!areLimitsSound) throw new Error("limits that no timer can have");
      const snapshot = decodeUpstreamsSnapshot(body);
      if (snapshot.isOk) catalog.replace(snapshot.value);
    }),
    { seed: SEED, numRuns: 1_000 },
  );
  t.end();
});

// Guards against another writer's entry, without a start, that a daemon of an earlier version passes on.
t.test("should take an entry without its start for one that names no upstream", (t) => {
  const [taken] = UPDATE.changes;
  const unborn = structuredClone(upstreamTaken({ index: 3, revision: 9 }));
  if (unborn.kind !== "upstream") return t.fail("no entry");
  Reflect.deleteProperty(unborn.entry, "bornMs");
  const changes = [taken, unborn];
  const body = { ...UPDATE, changes };
  const kinds = (list: readonly { readonly kind: string }[]) =>
    list.map(({ kind }) => kind);
  const snapshot = decodeUpstreamsSnapshot(Buffer.from(JSON.stringify(body)));
  const feed = decodeFeedResponse(
    Buffer.from(JSON.stringify({ ...SOUND_ANSWERS[1], changes, whole: body })),
  );
  if (snapshot.isErr || feed.isErr) return t.fail("not decoded");
  const expected = ["upstream", "unreadable"];
  t.same(kinds(snapshot.value.changes), expected);
  t.same(kinds(feed.value.changes), expected);
  t.same(kinds(feed.value.whole!.changes), expected);
  t.end();
});
