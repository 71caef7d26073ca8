import t from "tap";
import {
  decideRefusal,
  type EndedAttempt,
  isDeliverable,
  type RefusalReason,
} from "./refusals.ts";

/** Each reason with the status of a request that no upstream may have run. */
const STATUSES: Readonly<Record<RefusalReason, number>> = {
  bad_request: 400,
  no_route: 404,
  body_too_large: 413,
  body_coded: 501,
  no_memory: 503,
  starting: 503,
  stopping: 503,
  no_upstream: 503,
  evacuated: 503,
  busy: 503,
  no_room: 503,
  unreachable: 503,
  upstream_refused: 503,
  route_changed: 503,
  deadline_before_start: 503,
  ambiguous_status: 502,
  cut: 502,
  deadline: 504,
};

const NOT_RUN_STATUSES = [408, 421, 429, 503];

// Guards against a promise without evidence, whatever the reason of the last attempt is.
t.test("should promise that a request has not run only if each attempt shows it", (t) => {
  const notRun: EndedAttempt = { verdict: "not_run" };
  const others: readonly EndedAttempt[] = [
    { verdict: "unknown" },
    { verdict: "answered" },
  ];
  for (const [name, status] of Object.entries(STATUSES)) {
    const reason = name as RefusalReason;
    t.equal(decideRefusal(reason, []).status, status, reason);
    t.equal(decideRefusal(reason, [notRun, notRun]).status, status, reason);
    for (const other of others) {
      for (const attempts of [[other], [other, notRun], [notRun, other]]) {
        const refusal = decideRefusal(reason, attempts);
        t.notOk(NOT_RUN_STATUSES.includes(refusal.status), reason);
        if (!NOT_RUN_STATUSES.includes(status)) t.equal(refusal.reason, reason);
      }
    }
  }
  t.end();
});

// Guards against a promise that is an upstream's status and nothing that it says.
t.test("should pass on the statuses that promise to callers of idempotent requests only", (t) => {
  for (const status of [200, 204, 302, 400, 404, 409, 500, 502, 504]) {
    t.ok(isDeliverable(status, "non_idempotent"), String(status));
  }
  for (const status of NOT_RUN_STATUSES) {
    t.notOk(isDeliverable(status, "non_idempotent"), String(status));
    t.ok(isDeliverable(status, "idempotent"), String(status));
  }
  t.end();
});
