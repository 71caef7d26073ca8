import {
  addressRanges,
  choice,
  defaultTo,
  filePath,
  httpUrl,
  identifier,
  ipAddress,
  type KeyDefinition,
  optionalKey,
  peerAddresses,
  port,
  REQUIRED,
  secretText,
  wholeNumber,
} from "./key_kinds.ts";

const MAX_MS = 3_600_000;
const MAX_BODY_BYTES = 64 * 1024 * 1024;
/** A connection to a daemon or an upstream that has been idle for longer may be dead although no close was reported. */
const MAX_IDLE_CONNECTION_MS = 1_000;
/** Length in characters; a shorter HMAC key can be guessed. */
const SECRET_LENGTH = { min: 16, max: 256 };
const BY_WEIGHT = "set by `weight`";
const QUEUE_LENGTH_PER_SLOT = 4;
/** Keeps `slots` times `QUEUE_LENGTH_PER_SLOT` within the range of `queue_length`. */
const MAX_SLOTS = 10_000;

/** All sections and keys of a settings file, in the order of the reference. */
export const KEY_TABLE = {
  daemon: {
    vm_id: identifier({
      presence: REQUIRED,
      example: "swatches-1",
      doc: "Name of this VM in the platform's VM list.",
    }),
    zone: identifier({
      presence: REQUIRED,
      example: "zone-a",
      doc: "Availability zone of this VM.",
    }),
    region: identifier({
      presence: REQUIRED,
      example: "region-1",
      doc: "Region of this VM.",
    }),
    service: identifier({
      presence: REQUIRED,
      example: "swatches",
      doc: "Service of the upstream on this VM.",
    }),
    address: ipAddress({
      presence: REQUIRED,
      example: "127.0.0.1",
      doc: "Address on which other daemons reach this one.",
    }),
    caller_port: port({
      presence: REQUIRED,
      example: "8080",
      doc: "TCP port for callers.",
    }),
    peer_port: port({
      presence: REQUIRED,
      example: "8081",
      doc: "TCP port for other daemons.",
    }),
    caller_address: ipAddress({
      presence: {
        kind: "derived",
        from: "address",
        meaning: "the value of `address`",
        derive: (address) => address,
      },
      doc: "Address on which callers reach this daemon.",
    }),
    drain_timeout_ms: wholeNumber({ min: 0, max: MAX_MS }, {
      presence: defaultTo("30000"),
      doc:
        "Time that requests in flight have to finish after SIGTERM or SIGINT.",
    }),
  },
  platform: {
    url: httpUrl({
      presence: REQUIRED,
      example: "http://127.0.0.1:9000",
      doc: "Base URL of the platform.",
    }),
    reads_per_second: wholeNumber({ min: 1, max: 1_000_000 }, {
      presence: defaultTo("2000"),
      doc:
        "Rate of reads that the platform allows for all daemons together. Daemons that no reader reaches read the platform themselves and together use at most half of this rate on average.",
    }),
    timeout_ms: wholeNumber({ min: 10, max: 60_000 }, {
      presence: defaultTo("500"),
      doc:
        "Timeout of a request to the platform; a long poll has `watch_wait_ms` in addition.",
    }),
    watch_wait_ms: wholeNumber({ min: 0, max: 60_000 }, {
      presence: defaultTo("1500"),
      doc:
        "Time for which the platform holds a long poll open when nothing changes.",
    }),
  },
  peers: {
    seeds: peerAddresses({
      presence: defaultTo(""),
      doc:
        "Daemons that a starting daemon queries while it has no VM list. If there are none, or none answers within 1 s, it uses the addresses in the platform's VM list.",
    }),
    join_timeout_ms: wholeNumber({ min: 0, max: 60_000 }, {
      presence: defaultTo("3000"),
      doc:
        "Time after which a joining daemon uses the responses received so far instead of waiting for three daemons that hold a version.",
    }),
    rpc_timeout_ms: wholeNumber({ min: 10, max: 60_000 }, {
      presence: defaultTo("1000"),
      doc: "Timeout of a request to another daemon.",
    }),
    fetch_timeout_ms: wholeNumber({ min: 10, max: 60_000 }, {
      presence: defaultTo("3000"),
      doc: "Timeout of fetching a version from another daemon.",
    }),
    tls: choice(["off", "optional", "required"], {
      presence: defaultTo("off"),
      doc:
        "Mutual TLS on the peer port. `optional` uses it only with daemons that use it too, for a migration from `off` to `required`.",
    }),
    tls_ca_file: optionalKey(
      filePath({
        presence: REQUIRED,
        example: "/etc/tanagercove/peers_ca.pem",
        doc:
          "PEM file with the CA certificates that sign the certificates of peers.",
      }),
      "unset, which is accepted only with `tls = off`",
    ),
    tls_certificate_file: optionalKey(
      filePath({
        presence: REQUIRED,
        example: "/etc/tanagercove/peer.pem",
        doc:
          "PEM file with this VM's certificate, which names `address` and the URI `urn:tanagercove:vm:VM_ID`.",
      }),
      "unset, which is accepted only with `tls = off`",
    ),
    tls_key_file: optionalKey(
      filePath({
        presence: REQUIRED,
        example: "/etc/tanagercove/peer_key.pem",
        doc: "PEM file with the private key of the certificate.",
      }),
      "unset, which is accepted only with `tls = off`",
    ),
    tls_reload_interval_ms: wholeNumber({ min: 100, max: MAX_MS }, {
      presence: defaultTo("10000"),
      doc: "Time between two reads of the three files.",
    }),
  },
  distribution: {
    weight: choice(["convergence", "balanced", "bytes"], {
      presence: defaultTo("balanced"),
      doc:
        "Whether a short convergence time or few control bytes matter more; sets `fan_out`, `zone_links` and `digest_interval_ms`.",
    }),
    readers_per_zone: wholeNumber({ min: 1, max: 100 }, {
      presence: defaultTo("2"),
      doc: "Daemons in each zone that watch the platform.",
    }),
    fan_out: optionalKey(
      wholeNumber({ min: 0, max: 100 }, {
        presence: REQUIRED,
        example: "3",
        doc:
          "Number of daemons in the same zone to which a daemon pushes a new version or its leaving notice. 0 turns both off within the zone.",
      }),
      BY_WEIGHT,
    ),
    zone_links: optionalKey(
      wholeNumber({ min: 0, max: 100 }, {
        presence: REQUIRED,
        example: "2",
        doc:
          "Number of other zones to which a daemon that watches the platform pushes a new version, to one daemon in each. Any daemon sends its leaving notice in the same way. 0 turns both off between zones.",
      }),
      BY_WEIGHT,
    ),
    digest_interval_ms: optionalKey(
      wholeNumber({ min: 0, max: MAX_MS }, {
        presence: REQUIRED,
        example: "1000",
        doc:
          "Mean time between two regular digest exchanges. 0 turns them off, and with them the extra exchange after each new version. Exchanges at joining, after a pause and when the readers seem lost still take place.",
      }),
      BY_WEIGHT,
    ),
    remote_digest_every: wholeNumber({ min: 1, max: 1_000 }, {
      presence: defaultTo("4"),
      doc:
        "Every n-th regular digest exchange is with a daemon in another zone; this key sets n. While the latest known confirmation by the platform is older than `stale_after_ms`, n is at most 2.",
    }),
    stale_after_ms: wholeNumber({ min: 100, max: MAX_MS }, {
      presence: defaultTo("2000"),
      doc:
        "Age of the latest confirmation by the platform after which the daemon next in rank starts to watch the platform.",
    }),
    read_stagger_ms: wholeNumber({ min: 0, max: 10_000 }, {
      presence: defaultTo("100"),
      doc:
        "Before a daemon reads a new version from the platform, it waits for a peer's push. The wait is this time multiplied by the sum of the daemon's rank in its zone and its zone's position, both counted from 0. It is at most 500 ms. The order of the zones differs between versions.",
    }),
    pause_threshold_ms: wholeNumber({ min: 10, max: MAX_MS }, {
      presence: defaultTo("1000"),
      doc:
        "Delay of a timer above which the process counts as having been paused.",
    }),
    pause_gate_ms: wholeNumber({ min: 0, max: 60_000 }, {
      presence: defaultTo("500"),
      doc:
        "Longest time that new requests wait for a digest exchange after a pause.",
    }),
  },
  requests: {
    identity: choice(["trusted", "signed"], {
      presence: defaultTo("trusted"),
      doc:
        "How a caller proves for which customer it acts: by its address or by a signature.",
    }),
    trusted_callers: addressRanges({
      presence: defaultTo("127.0.0.0/8"),
      doc:
        "Addresses whose `tanagercove-customer` header is accepted with `identity = trusted`.",
    }),
    customer_key: optionalKey(
      secretText(SECRET_LENGTH, {
        presence: REQUIRED,
        example: "replace-this-by-a-secret-of-your-own",
        doc:
          "Secret key of the HMAC-SHA-256 signatures with `identity = signed`.",
      }),
      "no signatures are accepted",
    ),
    division: choice(["owner", "direct"], {
      presence: defaultTo("owner"),
      doc:
        "Whether requests go through the daemon on the upstream's VM or to the upstream itself.",
    }),
    default_deadline_ms: wholeNumber({ min: 1, max: MAX_MS }, {
      presence: defaultTo("5000"),
      doc: "Time allowed for a request without `tanagercove-deadline-ms`.",
    }),
    max_body_bytes: wholeNumber({ min: 0, max: MAX_BODY_BYTES }, {
      presence: defaultTo("1048576"),
      doc: "Longest accepted request body.",
    }),
    buffer_bytes: wholeNumber({ min: 0, max: MAX_BODY_BYTES }, {
      presence: defaultTo("262144"),
      doc:
        "Responses up to this length are buffered completely before their first byte goes to the caller.",
    }),
    request_timeout_ms: wholeNumber({ min: 10, max: MAX_MS }, {
      presence: defaultTo("10000"),
      doc: "Time within which a caller's request must have arrived completely.",
    }),
    max_depth: wholeNumber({ min: 1, max: 1_000 }, {
      presence: defaultTo("15"),
      doc: "Greatest accepted depth of nested calls.",
    }),
  },
  upstream: {
    address: ipAddress({
      presence: REQUIRED,
      example: "127.0.0.1",
      doc: "Address of the upstream on this VM.",
    }),
    port: port({
      presence: REQUIRED,
      example: "8000",
      doc: "TCP port of the upstream on this VM.",
    }),
    slots: wholeNumber({ min: 1, max: MAX_SLOTS }, {
      presence: defaultTo("10"),
      doc: "Requests that the upstream runs at once.",
    }),
    connections: wholeNumber({ min: 1, max: 100_000 }, {
      presence: defaultTo("110"),
      doc: "Connections that the daemon opens to the upstream at most.",
    }),
    queue_length: wholeNumber({ min: 0, max: 100_000 }, {
      presence: {
        kind: "derived",
        from: "slots",
        meaning: `${QUEUE_LENGTH_PER_SLOT} times \`slots\``,
        derive: (slots) => String(Number(slots) * QUEUE_LENGTH_PER_SLOT),
      },
      doc: "Requests that may wait for a slot.",
    }),
    queue_timeout_ms: wholeNumber({ min: 0, max: MAX_MS }, {
      presence: defaultTo("1000"),
      doc: "Longest wait for a slot.",
    }),
    queue_order: choice(["newest_first", "oldest_first"], {
      presence: defaultTo("oldest_first"),
      doc: "Which waiting request of a priority class gets the next slot.",
    }),
    health_interval_ms: wholeNumber({ min: 10, max: MAX_MS }, {
      presence: defaultTo("1000"),
      doc:
        "Time between two health checks of the upstream; at most 250 ms while it is silent.",
    }),
    health_timeout_ms: wholeNumber({ min: 1, max: MAX_MS }, {
      presence: defaultTo("500"),
      doc: "Timeout of a health check.",
    }),
    idle_connection_ms: wholeNumber({ min: 0, max: MAX_IDLE_CONNECTION_MS }, {
      presence: defaultTo("1000"),
      doc:
        "Time after which an idle connection for requests is closed, to another daemon or to an upstream.",
    }),
    slow_start_ms: wholeNumber({ min: 0, max: MAX_MS }, {
      presence: defaultTo("10000"),
      doc:
        "Time over which an upstream ramps up to its full share of requests after it becomes live in the VM list, or after an ejection because of repeated failures. 0 turns the slow start off.",
    }),
  },
  operators: {
    address: ipAddress({
      presence: defaultTo("127.0.0.1"),
      doc: "Address of the operators' port.",
    }),
    port: port({
      presence: defaultTo("8082"),
      doc: "TCP port for `status`, `dump`, metrics and `/healthz`.",
    }),
  },
  logs: {
    level: choice(["debug", "info", "warn", "error"], {
      presence: defaultTo("info"),
      doc: "Lowest level of the events that are logged.",
    }),
  },
};

/** Name of a section of the settings file. */
export type SectionName = keyof typeof KEY_TABLE;

/** Sections with their definitions, without the type of each value. */
export const SECTIONS: Readonly<
  Record<SectionName, Readonly<Record<string, KeyDefinition<unknown>>>>
> = KEY_TABLE;

type CamelCase<S extends string> = S extends `${infer Head}_${infer Tail}`
  ? `${Head}${Capitalize<CamelCase<Tail>>}`
  : S;

type ValueOf<D> = D extends KeyDefinition<infer T> ? T : never;

/** Validated settings of one daemon: the sections of the key table, with their keys in camel case. */
export type Settings = {
  readonly [S in SectionName]: {
    readonly [
      K in keyof typeof KEY_TABLE[S] & string as CamelCase<K>
    ]: ValueOf<typeof KEY_TABLE[S][K]>;
  };
};
