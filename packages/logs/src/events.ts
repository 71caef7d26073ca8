/** Levels of log events, from the least to the most severe. */
export type LogLevel = "debug" | "info" | "warn" | "error";

/** Kinds of value that a field of an event can have. */
interface FieldTypes {
  readonly text: string;
  readonly number: number;
  readonly optional_text: string | undefined;
  readonly optional_number: number | undefined;
  readonly counts: Readonly<Record<string, number>>;
  readonly records: readonly Readonly<Record<string, string | number>>[];
}

/** Definition of one log event. */
interface EventDefinition {
  readonly level: LogLevel;
  readonly fields: Readonly<Record<string, keyof FieldTypes>>;
  /** What happened. */
  readonly meaning: string;
  /** What an operator does about it. */
  readonly action: string;
}

const NOTHING = "nothing";

/**
 * All log events. Names and fields are stable: tools outside this project select by them.
 * If a field has a unit, its name ends in the unit.
 */
export const LOG_EVENTS = {
  daemon_started: {
    level: "info",
    fields: {
      version: "text",
      address: "text",
      caller_port: "number",
      peer_port: "number",
      operators_port: "number",
    },
    meaning: "All ports are open",
    action: NOTHING,
  },
  daemon_start_failed: {
    level: "error",
    fields: { reason: "text" },
    meaning: "A port could not be opened; the process ends with exit code 2",
    action: "free the port, or correct the address or port in the settings",
  },
  drain_started: {
    level: "info",
    fields: { signal: "text", drain_timeout_ms: "number" },
    meaning:
      "A signal to stop arrived. Requests in flight may finish, and new ones are refused. A sidecar still accepts new ones during the first part of the drain timeout",
    action: NOTHING,
  },
  drain_timed_out: {
    level: "warn",
    fields: { drain_timeout_ms: "number" },
    meaning:
      "The drain had not ended when `drain_timeout_ms` had passed (in a sidecar, 150 ms earlier); requests still in flight are cut",
    action: "find the slow requests, or raise `drain_timeout_ms`",
  },
  daemon_stopped: {
    level: "info",
    fields: { outcome: "text", uptime_ms: "number" },
    meaning:
      "The process ends. `outcome` is `stopped` (exit code 0), `drain_timed_out` (exit code 1) or `interrupted` by a second signal (exit code 1). A sidecar ends with exit code 0 after `drain_timed_out` too, and is never `interrupted`",
    action: NOTHING,
  },
  invariant_broken: {
    level: "error",
    fields: { message: "text", stack: "optional_text" },
    meaning:
      "An uncaught error, which is a fault in this program; the process ends with exit code 70",
    action: "restart the daemon and report the stack",
  },
  joined: {
    level: "info",
    fields: { revision: "number", responses: "number", elapsed_ms: "number" },
    meaning:
      "Joining has ended. `revision` is the newest revision of the lists that this daemon knows of. The daemon holds that version, unless `floor_not_reached` was logged before with `lists` as `kind`",
    action: NOTHING,
  },
  floor_unconfirmed: {
    level: "warn",
    fields: { elapsed_ms: "number" },
    meaning:
      "No other daemon that holds a version responded; the platform's version is used as it is",
    action:
      "check that the seeds are reachable, and that the platform serves its newest version",
  },
  version_taken: {
    level: "info",
    fields: {
      kind: "text",
      revision: "number",
      hash: "text",
      source: "optional_text",
    },
    meaning:
      "This daemon holds a newer version, which is in force once it has joined. `source` is `platform` or the VM that delivered it",
    action: NOTHING,
  },
  version_refused: {
    level: "warn",
    fields: {
      kind: "text",
      revision: "number",
      hash: "text",
      reason: "text",
    },
    meaning: "A version is invalid; the one held before stays in force",
    action: "correct the line that `reason` names",
  },
  version_conflict: {
    level: "error",
    fields: {
      kind: "text",
      revision: "number",
      held_hash: "text",
      offered_hash: "text",
    },
    meaning:
      "A peer or the platform has different content under the revision held here; the content held first stays in force",
    action: "publish any edit, which gives all daemons one newer revision",
  },
  delta_mismatch: {
    level: "warn",
    fields: { kind: "text", revision: "number", reason: "text" },
    meaning:
      "A peer's delta could not be applied or did not produce the version that it names; the version is fetched, as a whole if need be",
    action: "if it repeats, report it with the versions of the program",
  },
  snapshot_mismatch: {
    level: "warn",
    fields: { kind: "text", revision: "number", peer_vm_id: "text" },
    meaning:
      "A peer sent a version with a wrong hash or of the wrong kind; it is dropped",
    action: "check what runs on the peer port of that VM",
  },
  fetch_failed: {
    level: "info",
    fields: { kind: "text", peer_vm_id: "text", reason: "text" },
    meaning: "A newer version could not be fetched from a peer",
    action: NOTHING,
  },
  floor_not_reached: {
    level: "warn",
    fields: {
      kind: "text",
      floor_revision: "number",
      held_revision: "optional_number",
    },
    meaning:
      "Peers hold a newer version that none of them has delivered yet; no older version is accepted",
    action: "if it lasts, check the daemons that hold the newest version",
  },
  plans_without_allowance: {
    level: "warn",
    fields: { revision: "number", plans: "text" },
    meaning: "Customers on these plans are refused",
    action: "add the plans to `allowances`",
  },
  reading_started: {
    level: "info",
    fields: { rank: "number" },
    meaning:
      "This daemon starts to call the platform. As a reader, or in place of a lost one, it watches the platform. Otherwise it reads the platform at intervals, because the latest known confirmation by the platform is older than three times `stale_after_ms`",
    action: NOTHING,
  },
  reading_stopped: {
    level: "info",
    fields: { rank: "number" },
    meaning: "This daemon no longer calls the platform, since others do",
    action: NOTHING,
  },
  platform_lost: {
    level: "warn",
    fields: { reason: "text" },
    meaning: "Calls to the platform fail; the version held stays in force",
    action: "if many daemons report it, check the platform",
  },
  platform_back: {
    level: "info",
    fields: { outage_ms: "number" },
    meaning:
      "Calls to the platform succeed again. A sidecar also logs this when it follows a reader whose calls succeed",
    action: NOTHING,
  },
  platform_stale: {
    level: "warn",
    fields: {
      lists_revision: "number",
      vms_revision: "number",
      held_lists_revision: "number",
      held_vms_revision: "number",
    },
    meaning:
      "The platform serves an older state than this daemon knows of. `lists_revision` and `vms_revision` are the revisions that it serves. `held_lists_revision` and `held_vms_revision` are the newest ones known to this daemon, even if it does not hold them yet",
    action: "if it lasts, check the replicas of the platform",
  },
  platform_current: {
    level: "info",
    fields: { lists_revision: "number", vms_revision: "number" },
    meaning: "The platform no longer serves an old state",
    action: NOTHING,
  },
  edits_crossed: {
    level: "info",
    fields: { in_a_row: "number" },
    meaning: "A list was edited while it was read; it is read again",
    action: NOTHING,
  },
  rpc_fault: {
    level: "error",
    fields: { message: "text" },
    meaning:
      "A fault in this program occurred while it handled a call of another daemon",
    action: "report the message",
  },
  peer_refused: {
    level: "warn",
    fields: {
      direction: "text",
      peer_address: "text",
      reason: "text",
      refusals: "number",
    },
    meaning:
      "A TLS handshake with another daemon failed, or its connection or message was refused because of its certificate; at most one event in 10 s, `refusals` counts all since the last one",
    action:
      "check the certificates of both VMs; if the address is not that of a VM, check who reaches the peer port",
  },
  peer_keys_taken: {
    level: "info",
    fields: { valid_until: "text" },
    meaning: "Changed key files are in use for new connections",
    action: NOTHING,
  },
  peer_keys_refused: {
    level: "error",
    fields: { reason: "text" },
    meaning: "The key files are invalid; the keys read before stay in use",
    action:
      "correct the files that `reason` names; if they were just being replaced, `peer_keys_taken` follows",
  },
  pause_detected: {
    level: "warn",
    fields: { pause_ms: "number" },
    meaning:
      "The process was paused; new requests wait until one digest exchange has succeeded or all have failed, at most `pause_gate_ms`",
    action: "if it repeats, look for a lack of CPU or memory on the VM",
  },
  peer_suspected: {
    level: "info",
    fields: { peer_vm_id: "text", reason: "text" },
    meaning: "A daemon does not answer",
    action: "if it lasts, check that VM",
  },
  peer_back: {
    level: "info",
    fields: { peer_vm_id: "text" },
    meaning: "A suspected daemon answers again",
    action: NOTHING,
  },
  vm_leaving: {
    level: "info",
    fields: { leaving_vm_id: "text", source: "text" },
    meaning: "A VM has announced that it leaves; it gets no new work",
    action: NOTHING,
  },
  upstream_state_changed: {
    level: "info",
    fields: { state: "text" },
    meaning:
      "This VM's upstream started (`draining`) or stopped (`ready`) reporting that it drains",
    action: NOTHING,
  },
  upstream_silent: {
    level: "warn",
    fields: {
      awaited_ms: "number",
      unanswered_requests: "number",
      probe: "text",
      unlogged_changes: "number",
    },
    meaning:
      "This VM's upstream has requests in flight and answers none; new ones are refused with `upstream_silent`, except for single trials. `probe` is the result of the `/health` probes meanwhile: `answered`, `unanswered` or `none`",
    action: "check the upstream process on this VM",
  },
  upstream_answers: {
    level: "info",
    fields: { silent_ms: "number", unlogged_changes: "number" },
    meaning: "This VM's upstream answers again after `upstream_silent`",
    action: NOTHING,
  },
  upstream_ejected: {
    level: "warn",
    fields: {
      upstream_vm_id: "text",
      cause: "text",
      unlogged_changes: "number",
    },
    meaning:
      "This daemon sends an upstream no requests for a while. `cause` is `failures` (several in a row), `connect_failed` (a connection could not be opened) or `upstream_silent` (reported by its daemon). `unlogged_changes` counts the changes that a limit of 20 lines per 10 s suppressed before this line",
    action: "if it lasts, check the upstream and the daemon of that VM",
  },
  upstream_returned: {
    level: "info",
    fields: {
      upstream_vm_id: "text",
      ejected_ms: "number",
      unlogged_changes: "number",
    },
    meaning: "An upstream answered again after the end of its ejection",
    action: NOTHING,
  },
  sidecar_started: {
    level: "info",
    fields: {
      version: "text",
      service: "text",
      caller_address: "text",
      peer_address: "text",
      metrics_port: "number",
      start_ms: "number",
    },
    meaning: "All ports of a sidecar are open",
    action: NOTHING,
  },
  settings_reloaded: {
    level: "info",
    fields: { changed: "text" },
    meaning:
      "The settings file was read again; `changed` names the settings that differ from those at the start, of which only `seeds` takes effect without a restart",
    action: "restart the sidecar if other settings changed",
  },
  settings_refused: {
    level: "error",
    fields: { problems: "text" },
    meaning:
      "The settings file is invalid; at a start the process ends with exit code 2, at a reload the previous settings stay in force",
    action: "correct the settings that `problems` names",
  },
  history_dropped: {
    level: "warn",
    fields: { catalog_revision: "number" },
    meaning:
      "The platform no longer keeps the changes after this revision; everything is read again",
    action: NOTHING,
  },
  store_era_began: {
    level: "warn",
    fields: { era: "number" },
    meaning:
      "The platform's store has come back from an older copy of itself. The version in force stays; upstreams and evacuations that the copy lacks are kept for about two seconds, in which they may be written again",
    action:
      "check that the newest version and the evacuations are written again",
  },
  bodies_exceed_memory: {
    level: "warn",
    fields: { max_body_bytes: "number", room_bytes: "number" },
    meaning:
      "The configuration allows bodies of `max_body_bytes`, and this VM has memory for one of `room_bytes`; larger ones are refused as not run (`no_memory`)",
    action: "give the VM more memory, or lower `max_body_bytes`",
  },
  changes_too_large: {
    level: "warn",
    fields: { catalog_revision: "number", max_bytes: "number" },
    meaning:
      "The changes since this revision take more memory than one reply may (`max_bytes`); everything is read again, with the newest version only",
    action: NOTHING,
  },
  reader_changed: {
    level: "info",
    fields: { reader: "text" },
    meaning:
      "This daemon now takes routes and upstreams from another source: `reader` is a daemon of its zone, or `platform`",
    action: NOTHING,
  },
  reader_circle_avoided: {
    level: "warn",
    fields: { reader: "text", readers: "text" },
    meaning:
      "This daemon does not follow `reader` for a few seconds, since that daemon gets its changes from this one; `readers` names the daemons over which it gets them",
    action:
      "if it is repeated for the same daemons, compare their settings of the link: they rank each other differently",
  },
  caught_up_from_peer: {
    level: "info",
    fields: {
      peer: "text",
      configuration_version: "number",
      catalog_revision: "number",
    },
    meaning: "This daemon took a newer state from another daemon",
    action: NOTHING,
  },
  catalog_transfer_ended: {
    level: "info",
    fields: {
      source: "text",
      content: "text",
      outcome: "text",
      size_bytes: "number",
      head_ms: "optional_number",
      duration_ms: "number",
    },
    meaning:
      "A response with routes or upstreams was incomplete or missing, or had 16 KB or more. `outcome` is `complete`, `no_response` or `incomplete`; `size_bytes` counts what arrived; the time after `head_ms` is the transfer itself",
    action:
      "if transfers stay incomplete, compare `size_bytes` per time with the bandwidth of the VM's link",
  },
  daemon_behind: {
    level: "warn",
    fields: { delay_ms: "number", turn_ms: "number" },
    meaning:
      "Timers fired late by `delay_ms`, or the event loop was at work for `turn_ms` in each turn on average; other events waited at least as long, and one connection is accepted in a turn: the process was busy, short of processor time or suspended",
    action:
      "if it lasts, give the VM more processor time; compare with `configuration_taken` and the load at that time",
  },
  configuration_taken: {
    level: "info",
    fields: { configuration_version: "number", routes: "number" },
    meaning: "A version of the routes is in force on this daemon",
    action: NOTHING,
  },
  configuration_ignored: {
    level: "info",
    fields: { configuration_version: "number", held_version: "number" },
    meaning: "An older version of the routes arrived late",
    action: NOTHING,
  },
  upstream_taken: {
    level: "info",
    fields: {
      upstream_id: "text",
      service: "text",
      address: "text",
      zone: "text",
      state: "text",
      unlogged_changes: "number",
    },
    meaning:
      "An upstream has a new entry, which may differ from the former one",
    action: NOTHING,
  },
  upstream_removed: {
    level: "info",
    fields: {
      upstream_id: "text",
      service: "text",
      unlogged_changes: "number",
    },
    meaning:
      "The entry of an upstream was removed, has expired or cannot be parsed any more",
    action: NOTHING,
  },
  removal_deferred: {
    level: "info",
    fields: { upstream_id: "text" },
    meaning:
      "An entry is missing right after an outage of the platform; the upstream is used for about two more seconds, in which live ones register again",
    action: NOTHING,
  },
  value_unreadable: {
    level: "warn",
    fields: { key: "text", problem: "text", unlogged_changes: "number" },
    meaning: "A value of the platform cannot be parsed and is not used",
    action: "correct the value where it is written",
  },
  operation_failed: {
    level: "error",
    fields: {
      operation: "text",
      message: "text",
      stack: "optional_text",
      unlogged_failures: "number",
    },
    meaning:
      "An error in one operation, which is a fault in this program; a request is answered with 500, and the process continues. After one in `catalog_sync` the daemon counts as without contact to the platform until it has read everything again",
    action: "report the stack",
  },
  daemon_answer_unreadable: {
    level: "warn",
    fields: { peer: "text", problem: "text", unlogged_answers: "number" },
    meaning:
      "Another daemon's answer with its catalog cannot be decoded and is treated as no answer",
    action: "check what runs on the peer port of that VM, and which version",
  },
  channel_closed: {
    level: "warn",
    fields: { peer: "text", problem: "text", unlogged_closes: "number" },
    meaning:
      "A connection to another daemon was closed because that one did not keep to the protocol",
    action: "check what runs on the channel port of that VM, and which version",
  },
  upstream_id_learnt: {
    level: "info",
    fields: { former_upstream_id: "text", upstream_id: "text" },
    meaning:
      "The upstream of this VM has started again under another id, and its entry is not known yet",
    action: NOTHING,
  },
  upstream_address_shared: {
    level: "info",
    fields: {
      upstream_id: "text",
      service: "text",
      state: "text",
      own_upstream_id: "optional_text",
      unlogged_changes: "number",
    },
    meaning:
      "An entry has the address of this VM's upstream and is not taken for its own",
    action:
      "nothing after a restart of the upstream; otherwise find out who writes the entry",
  },
  upstream_leaving: {
    level: "info",
    fields: { upstream_id: "text" },
    meaning:
      "The upstream of this VM says in its answers that it is leaving; it gets no new requests, whatever its entry says",
    action: NOTHING,
  },
  upstream_doubted: {
    level: "info",
    fields: { reason: "text", unlogged_changes: "number" },
    meaning:
      "The upstream of this VM may have restarted, or may have become cold; requests start at the pace of a cold one until a health check, or an answer on an older connection, shows what it is",
    action:
      "nothing, unless it repeats: then look for connections that the upstream drops",
  },
  upstream_cold: {
    level: "info",
    fields: { cold_ms: "number", source: "text", unlogged_changes: "number" },
    meaning:
      "The upstream of this VM is cold for this time; requests start at the pace that a cold one bears. `source` is `health_check` or `entry`",
    action: NOTHING,
  },
  upstream_warm: {
    level: "info",
    fields: { unlogged_changes: "number" },
    meaning: "The upstream of this VM has been found to be warm",
    action: NOTHING,
  },
  upstream_limit_changed: {
    level: "warn",
    fields: { limit_per_second: "optional_number", unlogged_changes: "number" },
    meaning:
      "The upstream of this VM names another limit on its requests in its answers, or none any more (without `limit_per_second`)",
    action: "if it lasts, add upstreams to the service",
  },
  upstream_capacity_changed: {
    level: "info",
    fields: {
      reason: "text",
      limit_before: "number",
      limit: "number",
      slots: "number",
      work_rate: "number",
      unlogged_changes: "number",
    },
    meaning:
      "The daemon has learnt that the upstream of this VM runs another number of requests well at once: fewer do as much work (`lower_does_as_much`), more do more (`higher_does_more`), work is slower at any number (`slower_at_any`, the limit stays), the limit was not reached for 2 s (`not_reached`), or its slots have changed (`slots_changed`). A `work_rate` of 0.5 says that work takes twice as long as usual",
    action:
      "if the limit stays below the slots, look for what the upstream shares, or give it fewer slots",
  },
  evacuation_changed: {
    level: "info",
    fields: { zone: "text", state: "text" },
    meaning:
      "The operator evacuates a zone (`evacuated`): its upstreams get no more requests from this daemon. Or the operator takes the zone back (`in_use`)",
    action: NOTHING,
  },
  upstream_avoided: {
    level: "warn",
    fields: {
      upstream_id: "text",
      failures: "number",
      avoided_ms: "number",
      unlogged_changes: "number",
    },
    meaning:
      "An upstream or its daemon could not be reached or stayed silent, so requests go elsewhere for a while",
    action: "if it lasts, check the VM and its links",
  },
  request_ended: {
    level: "warn",
    fields: {
      request_id: "text",
      outcome: "text",
      status: "number",
      route: "optional_text",
      service: "optional_text",
      configuration_version: "number",
      rank: "optional_number",
      waited_before_ms: "optional_number",
      time_left_ms: "optional_number",
      duration_ms: "number",
      known_wait_ms: "optional_number",
      known_age_ms: "optional_number",
      known_upstreams: "optional_number",
      returned_early_ms: "optional_number",
      attempts: "records",
      unlogged_requests: "number",
    },
    meaning:
      "A caller's request was refused, failed, was cancelled, was answered with a status of 500 or above, or needed more than one attempt. `attempts` lists each attempt: the upstream, the predictions by which it was chosen, the result, and what it rests on (`evidence`, as in `forwarded_request_ended`, or `owner_daemon` if that event of the upstream's VM tells it). Successes at the first attempt are not logged, only counted. With the outcome `no_room`, the request was not sent: `known_wait_ms` is the shortest wait that was predicted, `known_upstreams` the number of upstreams compared, `known_age_ms` the age of the oldest report behind it, and `returned_early_ms` the time by which the caller came back before it was told to. `unlogged_requests` counts the lines that a limit of 100 per second suppressed before this one",
    action: "see docs/OPERATIONS.md",
  },
  forwarded_request_ended: {
    level: "warn",
    fields: {
      request_id: "text",
      upstream_id: "text",
      route: "text",
      outcome: "text",
      reason: "text",
      evidence: "optional_text",
      answer_status: "optional_number",
      connection_port: "optional_number",
      exchange_on_connection: "optional_number",
      rank: "number",
      configuration_version: "number",
      time_left_ms: "number",
      objective_left_ms: "number",
      duration_ms: "number",
      running: "number",
      waiting: "number",
      slots: "number",
      unlogged_requests: "number",
    },
    meaning:
      "The daemon on an upstream's VM refused a request or got no complete response for it; `running` and `waiting` are the numbers of requests at the end. `evidence` tells what the outcome rests on: `not_sent` (no byte was given to an open connection), `no_answer`, `answer`, or `answer_says_not_run`. `connection_port` is the local port of the connection to the upstream, and `exchange_on_connection` counts the requests on it",
    action: "see docs/OPERATIONS.md",
  },
  log_lines_dropped: {
    level: "warn",
    fields: { lines: "number" },
    meaning:
      "Standard output was not read fast enough; lines were dropped so that requests were not delayed",
    action: "read the output of the process faster",
  },
  requests_not_answered: {
    level: "warn",
    fields: {
      requests: "number",
      by_reason: "counts",
      interval_ms: "number",
    },
    meaning:
      "Callers' requests that were refused or whose outcome is unknown, counted over the interval",
    action: "see the reasons below",
  },
} as const satisfies Record<string, EventDefinition>;

/** Stable name of a log event. */
export type LogEvent = keyof typeof LOG_EVENTS;

type FieldType<E extends LogEvent, F> =
  & typeof LOG_EVENTS[E]["fields"][F & keyof typeof LOG_EVENTS[E]["fields"]]
  & keyof FieldTypes;

type FieldsOf<E extends LogEvent> =
  & {
    readonly [
      F in keyof typeof LOG_EVENTS[E]["fields"] as FieldType<E, F> extends
        `optional_${string}` ? never : F
    ]: FieldTypes[FieldType<E, F>];
  }
  & {
    readonly [
      F in keyof typeof LOG_EVENTS[E]["fields"] as FieldType<E, F> extends
        `optional_${string}` ? F : never
    ]?: FieldTypes[FieldType<E, F>];
  };

/** An event with its fields as they appear in the log. */
export type LogRecord = {
  readonly [E in LogEvent]: { readonly event: E } & FieldsOf<E>;
}[LogEvent];

/** Returns a description of all events as Markdown for operators, with one heading for each event. */
export function eventsReference(): string {
  return Object.entries(LOG_EVENTS).map(([event, definition]) => {
    const fields = Object.keys(definition.fields).map((name) => `\`${name}\``);
    return [
      `### ${event}`,
      "",
      `- Level: ${definition.level}; fields: ${fields.join(", ")}`,
      `- Meaning: ${definition.meaning}.`,
      `- What to do: ${definition.action}.`,
      "",
    ].join("\n");
  }).join("\n");
}
