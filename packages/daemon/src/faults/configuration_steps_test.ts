import { once } from "node:events";
import { type IncomingMessage, request } from "node:http";
import type { DaemonProcess } from "@tanagercove/emulator";
import {
  FAULT_ZONES,
  type FaultCase,
  faultTest,
  waitFor,
} from "@tanagercove/test_helpers";
import { HEADERS } from "@tanagercove/types";

/** A daemon checks every 250 ms whether it was paused, and detects a pause if the check is over 1,000 ms late. */
const PAUSE_MS = 1_500;
/** Longer than the default, so that requests wait for the digest exchange even on a busy machine. */
const PAUSE_GATE_MS = 10_000;

const READERS_PER_ZONE = 2;
const READERS = READERS_PER_ZONE * FAULT_ZONES.length;

interface Dump {
  readonly distribution: {
    readonly pauses: number;
    readonly replication: {
      readonly pushes_failed: number;
      readonly conflicts: number;
    };
  };
}

faultTest(
  "should distribute configuration changes under faults at single steps",
  async (t, faultCase) => {
    const { fleet, platform } = faultCase.mesh;
    const relay = faultCase.mesh.relay!;
    const zone = fleet.zone("zone-c");
    const otherDaemons = fleet.daemons.filter((daemon) =>
      !zone.includes(daemon)
    );

    // Waits until all readers that reach the platform, `count` of them, are in a long poll again. Otherwise a
    // reader that still reads an earlier edit would trigger the fault that is meant for the next edit.
    const waitForLongPolls = (count: number) =>
      waitFor(() => platform.waitingWatches === count);

    // Guards against replacing the content of a revision that is already held, and against a fleet that
    // stays divided after the next edit.
    await t.test(
      "should keep the content held first when a zone reads other content of the same revision",
      async (t) => {
        faultCase.cutFromZones("zone-c");
        const cut = faultCase.cutFromPlatform("zone-c");
        const revision = await faultCase.applyEdit(otherDaemons);
        const first = await statusOf("hash", otherDaemons);
        platform.replaceWithoutRevision(
          "plans",
          `${faultCase.newestPlans}replaced = full\n`,
        );
        cut.remove();
        await faultCase.expectInForce(revision, zone);
        const second = await statusOf("hash", zone);
        t.not(first[0], second[0]);
        relay.clearRules();
        await waitFor(async () =>
          await sumCounts(otherDaemons, "conflicts") > 0 &&
          await sumCounts(zone, "conflicts") > 0
        );
        t.same(await statusOf("hash", otherDaemons), first);
        t.same(await statusOf("hash", zone), second);
        await faultCase.applyEdit();
        t.equal(new Set(await statusOf("hash", fleet.daemons)).size, 1);
      },
    );

    // Guards against a resumed daemon that routes a request by the plan it held before the pause.
    await t.test(
      "should hold a request sent to a paused daemon until that daemon is up to date",
      async (t) => {
        const daemon = fleet.daemon("reservations-1-1");
        const { pauses } = (await dumpOf(daemon)).distribution;
        const pausedAtMs = performance.now();
        daemon.pause();
        // Pushes queued in the paused daemon's sockets would bring it up to date before it reads the request.
        const cut = relay.addRule({
          from: { kind: "vm" },
          to: { id: daemon.id },
          bothWays: true,
          action: "cut",
        });
        await faultCase.applyEdit();
        await waitFor(() => performance.now() > pausedAtMs + PAUSE_MS);
        const receiveOutcome = await sendRequestTo(daemon, faultCase);
        cut.remove();
        daemon.resume();
        t.equal(await receiveOutcome(), "answered");
        t.ok((await dumpOf(daemon)).distribution.pauses > pauses);
      },
    );

    // Guards against taking a version of which only the index, not the value, has been read.
    await t.test(
      "should take no part of a version when the platform fails before the value is read, and the whole version when it recovers",
      async (t) => {
        const before = await statusOf("revision", fleet.daemons);
        await waitForLongPolls(READERS);
        const { unavailable } = platform.calls;
        platform.beforeNextRead(() => platform.setMode("outage"));
        const revision = faultCase.edit();
        await waitFor(() => platform.calls.unavailable > unavailable);
        t.same(await statusOf("revision", fleet.daemons), before);
        platform.setMode("normal");
        await faultCase.expectInForce(revision);
      },
    );

    // Guards against a change that does not spread because the platform fails after one reader read it.
    await t.test(
      "should distribute a version that was read before the platform fails, by digests also to a zone that was cut off",
      async (t) => {
        faultCase.cutFromZones("zone-c");
        faultCase.cutFromPlatform("zone-c");
        await waitForLongPolls(READERS - READERS_PER_ZONE);
        const before = await statusOf("revision", zone);
        platform.beforeNextRead(() =>
          queueMicrotask(() => platform.setMode("outage"))
        );
        const revision = faultCase.edit();
        await faultCase.expectInForce(revision, otherDaemons);
        t.same(await statusOf("revision", zone), before);
        relay.clearRules();
        await faultCase.expectInForce(revision);
        platform.setMode("normal");
        await faultCase.applyEdit();
      },
    );

    // Guards against a change that is lost with the connection of its push.
    await t.test(
      "should distribute a change whose pushes fail on silent connections",
      async () => {
        const silent = { from: { kind: "vm" }, to: { kind: "vm" } } as const;
        await waitForLongPolls(READERS);
        const failed = await sumCounts(fleet.daemons, "pushes_failed");
        let rule = { remove() {} };
        platform.beforeNextRead(() => {
          rule = relay.addRule({ ...silent, action: "silent" });
        });
        const revision = faultCase.edit();
        await waitFor(async () =>
          await sumCounts(fleet.daemons, "pushes_failed") > failed
        );
        relay.addRule({ ...silent, action: "silent", newConnections: "pass" });
        rule.remove();
        await faultCase.expectInForce(revision);
      },
    );
  },
  { settings: { distribution: { pause_gate_ms: PAUSE_GATE_MS } } },
);

function statusOf(
  field: "hash" | "revision",
  daemons: readonly DaemonProcess[],
): Promise<readonly unknown[]> {
  return Promise.all(
    daemons.map(async (daemon) => (await daemon.status())[field]),
  );
}

async function dumpOf(daemon: DaemonProcess): Promise<Dump> {
  return await daemon.dump() as Dump;
}

async function sumCounts(
  daemons: readonly DaemonProcess[],
  count: keyof Dump["distribution"]["replication"],
): Promise<number> {
  const dumps = await Promise.all(daemons.map(dumpOf));
  return dumps.reduce(
    (total, { distribution }) => total + distribution.replication[count],
    0,
  );
}

/** Returns once a request for the newest customer is sent; the returned function awaits its outcome. */
async function sendRequestTo(
  daemon: DaemonProcess,
  { mesh, newestCustomer }: FaultCase,
): Promise<() => Promise<unknown>> {
  const sent = request(`${mesh.callerUrl(daemon.id)}/fault-case`, {
    headers: {
      [HEADERS.customer]: newestCustomer,
      [HEADERS.service]: "swatches",
      [HEADERS.deadlineMs]: String(PAUSE_GATE_MS),
    },
  });
  const answered = once(sent, "response");
  sent.end();
  await once(sent, "finish");
  return async () => {
    const [{ headers }] = await answered as [IncomingMessage];
    sent.destroy();
    return headers[HEADERS.reason] ?? headers[HEADERS.outcome];
  };
}
