import type { IncomingMessage, ServerResponse } from "node:http";
import {
  CallRoom,
  type MeasuredRun,
  RankedAdmission,
} from "@tanagercove/admission";
import { LearnedCapacity } from "@tanagercove/capacity";
import { Catalog } from "@tanagercove/catalog";
import { BodyGrants, type IncomingBody } from "@tanagercove/channel";
import { UpstreamReports } from "@tanagercove/placement";
import { ServiceBudgets } from "@tanagercove/retries";
import { SeededRandom, VirtualClock } from "@tanagercove/test_helpers";
import type { RequestClass, Route } from "@tanagercove/types";
import type { RoutedRequest } from "./caller_request.ts";
import { EvacuatedZones } from "./evacuated_zones.ts";
import { IncomingBodies } from "./incoming_bodies.ts";
import { LeavingUpstreams } from "./leaving_upstreams.ts";
import {
  createColdness,
  type SimulatedColdness,
  type SimulatedColdTime,
} from "./mesh_cold_times.ts";
import type { NotRunReason } from "./forwarding.ts";
import type { OwnedRequest, OwnedResult, OwnedRun } from "./owner.ts";
import type {
  ForwardOptions,
  ForwardResult,
  ForwardRun,
} from "./peer_client.ts";
import { OwnCalls } from "./own_calls.ts";
import {
  decideRefusal,
  isWithoutRoom,
  type RefusalReason,
} from "./refusals.ts";
import { callerHead } from "./request_fixture.ts";
import { decideRoomPolicy } from "./room_policy.ts";
import { RouteTimes } from "./route_times.ts";
import {
  createRequestServer,
  type ServedRequest,
  type ServeRequest,
} from "./serve_request.ts";

import { SimulatedLink } from "./simulated_link.ts";
import { UpstreamBodies } from "./upstream_bodies.ts";

/** A service whose upstreams are spread evenly over the zones. */
export interface SimulatedService {
  readonly name: string;
  readonly upstreamsPerZone: number;
  readonly slots: number;
  /** Speeds of the upstreams, in turn; an upstream of speed 2 takes half of the time. */
  readonly speeds: readonly number[];
  /** Bandwidth of the links of its VMs; what is sent takes no time on them by default. */
  readonly linkMbps?: number;
  /** Times in which all work on the host of an upstream takes longer; the upstreams of the service tell it. */
  readonly host?: SimulatedHost;
  /** Factor by which work takes longer with so many requests in flight; 1 by default. */
  readonly slowdown?: (state: SimulatedUpstreamState) => number;
  /** When an upstream joins; 0 by default. */
  readonly joinsAtMs?: (index: number) => number;
  /** Whether an upstream fails all its requests, at once; false by default. */
  readonly fails?: (state: SimulatedUpstreamState) => boolean;
}

/** Shared hosts, each slow from time to time on its own. */
export interface SimulatedHost {
  /** Share of the time in which work takes longer. */
  readonly share: number;
  readonly factor: number;
  readonly lastsMs: number;
}

/** State of an upstream. */
export interface SimulatedUpstreamState {
  /** Number of the upstream in its service. */
  readonly index: number;
  readonly running: number;
  readonly nowMs: number;
}

/** Calls that a request of a kind makes while it holds its slot. */
export interface SimulatedCalls {
  readonly kind: string;
  readonly times: number;
  /** Share of the requests that make the calls, 0 to 1. */
  readonly share: number;
  readonly isTogether: boolean;
}

/** A kind of request. */
export interface SimulatedKind {
  readonly name: string;
  readonly service: string;
  readonly requestClass: RequestClass;
  /** Requests per second of all zones together; 0 for a kind that only upstreams call. */
  readonly perSecond: number;
  readonly meanWorkMs: number;
  /** Half of the width of the work's distribution, as a share of its mean. */
  readonly spread: number;
  /** Some requests that take a multiple of the others' time; `meanWorkMs` includes them. */
  readonly longer?: { readonly share: number; readonly factor: number };
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  readonly priority: number;
  /** Retries of a caller after a refusal. */
  readonly retries: number;
  readonly hasLargeBodies?: boolean;
  /** Whether callers retry at once, whatever they are told. */
  readonly repeatsAtOnce?: boolean;
  readonly calls?: SimulatedCalls;
  /** Length of the body of a request; none by default. */
  readonly bodyBytes?: number;
}

/** A time in which more requests arrive, or fewer. */
export interface SimulatedBurst {
  readonly atMs: number;
  readonly forMs: number;
  readonly factor: number;
  /** Zone that it concerns; all zones by default. */
  readonly zone?: number;
}

/** A VM whose callers send requests of a kind beside those of all VMs. */
export interface HeavyCaller {
  /** Its number among the VMs, which begin with those of the first service. */
  readonly vm: number;
  readonly kind: string;
  readonly perSecond: number;
}

/** Demand that rises and falls as a sine, in each zone at another time. */
export interface SimulatedWave {
  /** Greatest deviation from the mean, as a share of it. */
  readonly swing: number;
  readonly periodMs: number;
  /** Share of the period by which each zone is behind. */
  readonly phases: readonly number[];
}

/** What a dispatcher that knows everything sees of an upstream. */
export interface KnownUpstream {
  readonly isOwnZone: boolean;
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Speed now, that of its host included. */
  readonly speed: number;
}

/** Chooses one of the upstreams of a service, by its index. */
export type Dispatcher = (upstreams: readonly KnownUpstream[]) => number;

/** Options of `simulateMesh`. */
export interface SimulateMeshOptions {
  readonly seed: number;
  readonly zones: number;
  readonly services: readonly SimulatedService[];
  readonly kinds: readonly SimulatedKind[];
  readonly durationMs: number;
  readonly bursts?: readonly SimulatedBurst[];
  readonly heavyCallers?: readonly HeavyCaller[];
  readonly wave?: SimulatedWave;
  /** Whether owner daemons learn what their upstreams take well; true by default. */
  readonly learnsCapacity?: boolean;
  /** Time from which runs are counted; 0 by default. */
  readonly countRunsFromMs?: number;
  /** Chooses the upstreams in place of the daemons' decisions. */
  readonly dispatcher?: Dispatcher;
  readonly coldTimes?: readonly SimulatedColdTime[];
  /** Time of a hop between daemons of a zone, and of different zones. */
  readonly hopMs?: number;
  readonly otherZoneHopMs?: number;
  /** Whether bodies are sent with their requests, as between daemons of earlier versions; false by default. */
  readonly sendsBodiesAtOnce?: boolean;
  /** Interval at which the daemons of a zone learn the load of its upstreams; never by default. */
  readonly digestIntervalMs?: number;
}

/** How the requests of a kind ended. */
export interface KindFigures {
  readonly asked: number;
  readonly onTime: number;
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  /** Time from the arrival of a request to its refusal, in the order of time. */
  readonly refusedAfterMs: readonly number[];
}

/** How the requests of a VM's callers ended. */
export interface CallerFigures {
  readonly zone: string;
  readonly asked: number;
  readonly onTime: number;
}

/** Figures of a simulation. */
export interface MeshFigures {
  readonly kinds: Readonly<Record<string, KindFigures>>;
  /** By VM, in their order; without nested requests. */
  readonly callers: readonly CallerFigures[];
  /** Attempts that had to wait, or were refused for good, while another upstream of the service in the zone had a free slot. */
  readonly waitedWhileFree: number;
  readonly attempts: number;
  /** Attempts that an owner daemon refused. */
  readonly refusedAttempts: number;
  /** Attempts that left the zone of their caller. */
  readonly otherZoneAttempts: number;
  /** Highest number of arrivals at one upstream, relative to the mean of its service. */
  readonly arrivalsOfBusiest: Readonly<Record<string, number>>;
  /** Highest number of arrivals at one upstream, relative to its share of its zone's speed. */
  readonly busiestBySpeed: Readonly<Record<string, number>>;
  /** Runs of each upstream that ended, by service in the order of the upstreams. */
  readonly runsOf: Readonly<Record<string, readonly number[]>>;
  /** Their speeds. */
  readonly speedsOf: Readonly<Record<string, readonly number[]>>;
  /** Times at which requests started, for each upstream. */
  readonly startsMs: readonly {
    readonly zone: string;
    readonly service: string;
    readonly timesMs: readonly number[];
  }[];
}

interface MutableKindFigures {
  asked: number;
  onTime: number;
  late: number;
  refused: number;
  failed: number;
  readonly refusedAfterMs: number[];
}

interface SimulatedVm {
  readonly id: string;
  readonly zone: string;
  readonly address: string;
  readonly service: SimulatedService;
  readonly speed: number;
  readonly index: number;
  readonly admission: RankedAdmission;
  readonly capacity: LearnedCapacity | undefined;
  readonly coldness: SimulatedColdness;
  readonly routeTimes: RouteTimes;
  readonly calls: CallRoom;
  readonly reports: UpstreamReports;
  readonly links: SimulatedLinks | undefined;
  serve: ServeRequest;
  arrivals: number;
  asked: number;
  onTime: number;
  runs: number;
  hostFactor: number;
  /** Times at which requests started. */
  readonly startsMs: number[];
}

/** Both directions of a VM's link, and the bodies that arrive over it. */
interface SimulatedLinks {
  readonly out: SimulatedLink;
  readonly in: SimulatedLink;
  readonly grants: BodyGrants;
  readonly incoming: IncomingBodies;
}

/** Bytes of a head with what the network adds. */
const HEAD_BYTES = 600;

/** Memory for bodies at an upstream. */
const UPSTREAM_BODY_BYTES = 50_000_000;

/** The way of a message between two VMs. */
interface SimulatedPath {
  readonly from: SimulatedVm;
  readonly to: SimulatedVm;
  readonly oneWayMs: number;
}

const PEER_PORT = 1;

/** Time after which callers retry that do so at once. */
const AT_ONCE_MS = 15;

/** Runs daemons and upstreams with the decisions of the product in virtual time. */
export async function simulateMesh(
  options: SimulateMeshOptions,
): Promise<MeshFigures> {
  const { hopMs = 1, otherZoneHopMs = 2.5, bursts = [] } = options;
  const clock = new VirtualClock();
  const nowMs = () => clock.nowMs();
  const random = new SeededRandom(options.seed);
  const catalog = new Catalog({ nowMs });
  const kinds = new Map(options.kinds.map((kind) => [kind.name, kind]));
  const figures = new Map(
    options.kinds.map(({ name }) => [name, createKindFigures()]),
  );
  const total = {
    attempts: 0,
    refusedAttempts: 0,
    waitedWhileFree: 0,
    otherZoneAttempts: 0,
  };
  const vms: SimulatedVm[] = [];
  for (const service of options.services) {
    const count = service.upstreamsPerZone * options.zones;
    for (let i = 0; i < count; i += 1) createVm(service, i);
  }
  const vmByAddress = new Map(vms.map((vm) => [vm.address, vm]));
  for (const [i, vm] of vms.entries()) {
    const joinsAtMs = vm.service.joinsAtMs?.(vm.index) ?? 0;
    if (joinsAtMs === 0) list(vm, i + 1);
    else clock.setTimer(() => list(vm, i + 1), joinsAtMs);
  }
  catalog.apply([{
    kind: "configuration",
    revision: vms.length + 1,
    configuration: {
      version: 1,
      routes: options.kinds.map(routeOf),
      services: [],
      limits: {
        maxHeaderBytes: 0,
        maxBodyBytes: 0,
        headerTimeoutMs: 0,
        idleTimeoutMs: 0,
      },
    },
  }]);
  const policy = decideRoomPolicy(catalog.index!.configuration);
  const order = policy === "by_knowledge" ? "by_share" : "by_rank";
  for (const vm of vms) {
    vm.admission.setOrder(order);
    vm.serve = options.dispatcher === undefined
      ? createServe(vm)
      : dispatch(vm, options.dispatcher);
    if (vm.service.host !== undefined) changeHost(vm, vm.service.host);
  }
  for (let zone = 0; zone < options.zones; zone += 1) shareLoads(zone);
  for (const kind of options.kinds) {
    if (kind.perSecond === 0) continue;
    for (let zone = 0; zone < options.zones; zone += 1) {
      scheduleArrival(kind, zone);
    }
  }
  for (const heavy of options.heavyCallers ?? []) scheduleHeavy(heavy);
  await clock.advance(options.durationMs);
  const longestMs = Math.max(...options.kinds.map((kind) => kind.deadlineMs));
  await clock.advance(longestMs + 1);
  for (const { admission } of vms) admission.close();
  return {
    kinds: Object.fromEntries(figures),
    callers: vms.map(({ zone, asked, onTime }) => ({ zone, asked, onTime })),
    ...total,
    arrivalsOfBusiest: Object.fromEntries(
      options.services.map(({ name }) => [name, busiest(name)]),
    ),
    busiestBySpeed: Object.fromEntries(
      options.services.map(({ name }) => [name, busiestBySpeed(name)]),
    ),
    runsOf: Object.fromEntries(
      options.services.map(({ name }) => [
        name,
        vmsOf(name).map(({ runs }) => runs),
      ]),
    ),
    speedsOf: Object.fromEntries(
      options.services.map(({ name }) => [
        name,
        vmsOf(name).map(({ speed }) => speed),
      ]),
    ),
    startsMs: vms.map(({ zone, service, startsMs }) => ({
      zone,
      service: service.name,
      timesMs: startsMs,
    })),
  };

  function createVm(service: SimulatedService, index: number): void {
    const zone = index % options.zones;
    const number = Math.floor(index / options.zones);
    const { slots } = service;
    const capacity = service.host === undefined ||
        options.learnsCapacity === false
      ? undefined
      : new LearnedCapacity({ slots, nowMs });
    const coldness = createColdness(options.coldTimes ?? [], { clock, zone });
    const admission = new RankedAdmission({
      slots,
      clock,
      ...(capacity && { capacity }),
      pace: coldness.pace,
    });
    coldness.onChange(() => admission.applyPace());
    const routeTimes = new RouteTimes();
    vms.push({
      index,
      id: `${service.name}-${index}`,
      zone: `zone-${zone}`,
      address: `10.${options.services.indexOf(service)}.${zone}.${number}`,
      service,
      speed: service.speeds[(number + zone) % service.speeds.length]!,
      capacity,
      admission,
      coldness,
      routeTimes,
      links: createLinks(service, { admission, routeTimes }),
      calls: new CallRoom({ nowMs, random: random.next }),
      reports: new UpstreamReports({ nowMs }),
      serve: () => Promise.resolve({ kind: "gone" }),
      arrivals: 0,
      asked: 0,
      onTime: 0,
      runs: 0,
      hostFactor: 1,
      startsMs: [],
    });
  }

  /** Makes the host of an upstream slow and usual in turn. */
  function changeHost(vm: SimulatedVm, host: SimulatedHost): void {
    const usualMs = host.lastsMs * (1 - host.share) / host.share;
    const isSlow = vm.hostFactor !== 1;
    const lastsMs = isSlow ? host.lastsMs : random.exponential(usualMs);
    clock.setTimer(() => {
      vm.hostFactor = isSlow ? 1 : host.factor;
      if (nowMs() < options.durationMs) changeHost(vm, host);
    }, lastsMs);
  }

  /** Sends the requests of a VM where a dispatcher says. */
  function dispatch(from: SimulatedVm, dispatcher: Dispatcher): ServeRequest {
    return async (routed) => {
      const upstreams = vms.filter(({ service }) =>
        service.name === routed.service
      );
      const to = upstreams[
        dispatcher(upstreams.map((vm) => ({
          isOwnZone: vm.zone === from.zone,
          running: vm.admission.running,
          waiting: vm.admission.waiting,
          slots: vm.service.slots,
          speed: vm.speed / vm.hostFactor,
        })))
      ]!;
      const ticket = {
        upstreamId: to.id,
        service: routed.service,
        route: routed.route.name,
        requestClass: routed.route.requestClass,
        rank: routed.rank,
        timeLeftMs: routed.deadlineAtMs - nowMs(),
        objectiveLeftMs: routed.objectiveAtMs - nowMs(),
        isNested: routed.isNested,
        callerService: from.service.name,
        version: 1,
        mayWait: true,
      };
      const run = startRun(to, {
        ticket,
        requestId: routed.requestId,
        method: "GET",
        path: "/",
        headers: [],
        body: undefined,
      }, {
        from,
        arrives: () => wait(to.zone === from.zone ? hopMs : otherZoneHopMs),
      });
      const { verdict, answer } = await run.ended;
      if (answer !== undefined) return { kind: "answered", answer };
      const retryAfterMs = verdict.kind === "not_run"
        ? verdict.retryAfterMs
        : 0;
      const reason: RefusalReason = verdict.kind === "not_run"
        ? "busy"
        : "no_upstream";
      return { kind: "refused", reason, retryAfterMs };
    };
  }

  function createLinks(
    { linkMbps }: SimulatedService,
    { admission, routeTimes }: Pick<SimulatedVm, "admission" | "routeTimes">,
  ): SimulatedLinks | undefined {
    if (linkMbps === undefined) return undefined;
    const grants = new BodyGrants({ linkMbps, clock });
    const bodies = new UpstreamBodies({ maxBytes: UPSTREAM_BODY_BYTES });
    const incoming = new IncomingBodies({
      grants,
      owner: {
        preview({ ticket }, later) {
          const request = {
            rank: ticket.rank,
            objectiveAtMs: nowMs() + ticket.objectiveLeftMs,
            neededMs: routeTimes.expectedMs(ticket.route),
            deadlineAtMs: nowMs() + ticket.timeLeftMs,
            isNested: ticket.isNested,
            mayWait: ticket.mayWait,
          };
          return {
            verdict: admission.preview(request, later),
            neededMs: request.neededMs,
            retryAfterMs: admission.retryAfterMs(request),
          };
        },
        reserveBody: (sizeBytes) => bodies.reserve(sizeBytes),
      },
      nowMs,
    });
    return {
      out: new SimulatedLink({ clock, linkMbps }),
      in: new SimulatedLink({ clock, linkMbps }),
      grants,
      incoming,
    };
  }

  function createServe(vm: SimulatedVm): ServeRequest {
    return createRequestServer({
      zone: vm.zone,
      address: vm.address,
      service: vm.service.name,
      peerPort: PEER_PORT,
      catalog,
      owner: {
        run: (request) => startRun(vm, request, { from: vm }),
      },
      ownerState: () => ownerState(vm),
      leaving: new LeavingUpstreams(catalog),
      evacuated: new EvacuatedZones({ catalog }),
      peers: { forward: (request) => forward(vm, request) },
      linkMbpsOf: (address) => vmByAddress.get(address)?.service.linkMbps,
      reports: vm.reports,
      budgets: new ServiceBudgets({
        ratio: 0.2,
        slack: 50,
        windowMs: 10_000,
        daemons: () => vms.length,
        nowMs,
      }),
      sendQueue: { wait: () => Promise.resolve() },
      isStopping: () => false,
      isConfigurationCurrent: () => true,
      onPeerState: () => {},
      nowMs,
      random: random.next,
    }).serve;
  }

  function ownerState({ admission, capacity, coldness }: SimulatedVm) {
    const load = admission.load();
    const told = capacity?.isInForce
      ? {
        concurrencyLimit: capacity.concurrencyLimit,
        workRate: capacity.workRate,
        coldForMs: 0,
        freeBodyBytes: -1,
      }
      : undefined;
    return {
      load: coldness.addTo(
        told === undefined ? load : { ...load, capacity: told },
      ),
      version: 1,
      revision: 1,
    };
  }

  function scheduleArrival(kind: SimulatedKind, zone: number): void {
    const rate = kind.perSecond * factorAt(zone) / options.zones;
    clock.setTimer(() => {
      if (nowMs() >= options.durationMs) return;
      const daemons = vms.filter((vm) => vm.zone === `zone-${zone}`);
      const vm = daemons[Math.floor(random.next() * daemons.length)]!;
      void sendAsCaller(vm, kind);
      scheduleArrival(kind, zone);
    }, random.exponential(1_000 / rate));
  }

  function scheduleHeavy({ vm, kind, perSecond }: HeavyCaller): void {
    clock.setTimer(() => {
      if (nowMs() >= options.durationMs) return;
      void sendAsCaller(vms[vm]!, kinds.get(kind)!);
      scheduleHeavy({ vm, kind, perSecond });
    }, random.exponential(1_000 / perSecond));
  }

  /** Tells the daemons of a zone the load of its upstreams, as it was in the middle of the interval. */
  function shareLoads(zone: number): void {
    const { digestIntervalMs } = options;
    if (digestIntervalMs === undefined) return;
    const zoneVms = vms.filter((vm) => vm.zone === `zone-${zone}`);
    const ageMs = digestIntervalMs / 2;
    clock.setTimer(() => {
      const loads = zoneVms.map(({ id, admission }) => ({
        id,
        load: admission.load(),
      }));
      clock.setTimer(() => {
        for (const { reports } of zoneVms) {
          for (const { id, load } of loads) reports.recordLoad(id, load);
        }
      }, ageMs);
      if (nowMs() < options.durationMs) shareLoads(zone);
    }, digestIntervalMs);
  }

  function factorAt(zone: number): number {
    return waveAt(zone) * bursts
      .filter((burst) => burst.zone === undefined || burst.zone === zone)
      .filter(({ atMs, forMs }) => nowMs() >= atMs && nowMs() < atMs + forMs)
      .reduce((product, { factor }) => product * factor, 1);
  }

  function waveAt(zone: number): number {
    const { wave } = options;
    if (wave === undefined) return 1;
    const turns = nowMs() / wave.periodMs - wave.phases[zone]!;
    return 1 + wave.swing * Math.sin(2 * Math.PI * turns);
  }

  /** Sends a request as a caller does, which retries after a refusal and after a failure of an idempotent request. */
  async function sendAsCaller(
    vm: SimulatedVm,
    kind: SimulatedKind,
  ): Promise<void> {
    const figure = figures.get(kind.name)!;
    const startedMs = nowMs();
    const deadlineAtMs = startedMs + kind.deadlineMs;
    figure.asked += 1;
    vm.asked += 1;
    for (let retry = 0;; retry += 1) {
      const sentAtMs = nowMs();
      const served = await vm.serve(routedRequest(kind, {
        deadlineAtMs,
        objectiveAtMs: startedMs + kind.objectiveMs,
        isNested: false,
      }));
      if (nowMs() > deadlineAtMs) {
        figure.failed += 1;
        return;
      }
      if (isSuccess(served)) {
        const isOnTime = nowMs() - startedMs <= kind.objectiveMs;
        figure[isOnTime ? "onTime" : "late"] += 1;
        if (isOnTime) vm.onTime += 1;
        return;
      }
      const isRefused = served.kind === "refused" &&
        decideRefusal(served.reason, []).status === 503;
      if (isRefused) figure.refusedAfterMs.push(nowMs() - sentAtMs);
      const mayRetry = isRefused || kind.requestClass === "idempotent";
      if (!mayRetry || retry >= kind.retries) {
        figure[isRefused ? "refused" : "failed"] += 1;
        return;
      }
      const timeLeftMs = deadlineAtMs - nowMs();
      const pauseMs = served.kind === "refused" ? served.retryAfterMs : 0;
      const spread = policy === "by_knowledge" ? 1 : 1 + random.next() / 2;
      await wait(
        kind.repeatsAtOnce
          ? AT_ONCE_MS
          : Math.min(pauseMs * spread, timeLeftMs / 3),
      );
    }
  }

  function forward(
    from: SimulatedVm,
    { destination, request }: ForwardOptions,
  ): ForwardRun {
    const to = vmByAddress.get(destination.address)!;
    const isOtherZone = to.zone !== from.zone;
    const oneWayMs = isOtherZone ? otherZoneHopMs : hopMs;
    if (isOtherZone) total.otherZoneAttempts += 1;
    const path = { from, to, oneWayMs };
    const bodyBytes = request.body?.length ?? 0;
    const isAnnounced = to.links !== undefined && bodyBytes > 0 &&
      !options.sendsBodiesAtOnce;
    const arrives = () =>
      send(path, HEAD_BYTES + (isAnnounced ? 0 : bodyBytes));
    const run = isAnnounced
      ? startAnnounced(path, { request, sizeBytes: bodyBytes, arrives })
      : startRun(to, request, { from, arrives });
    const ended = run.ended.then(async (result): Promise<ForwardResult> => {
      const state = ownerState(to);
      await send({ from: to, to: from, oneWayMs }, HEAD_BYTES);
      return { ...result, state };
    });
    return { ended, cancel: run.cancel };
  }

  /** Resolves when bytes have passed both links. */
  async function send(
    { from, to, oneWayMs }: SimulatedPath,
    sizeBytes: number,
  ): Promise<void> {
    if (from.links !== undefined) await from.links.out.pass(sizeBytes);
    await wait(oneWayMs);
    if (to.links !== undefined) await to.links.in.pass(sizeBytes);
  }

  /** Starts a request whose body is sent as the daemon that it is for grants it. */
  function startAnnounced(
    path: SimulatedPath,
    { request, sizeBytes, arrives }: {
      readonly request: OwnedRequest;
      readonly sizeBytes: number;
      readonly arrives: () => Promise<void>;
    },
  ): OwnedRun {
    const { from, to } = path;
    const incoming = incomingBody(path, sizeBytes);
    let cancel = () => {};
    const ended = arrives().then(() => {
      const run = to.links!.incoming.run(
        { ...request, body: undefined, incoming },
        (whole) => startRun(to, whole, { from }),
      );
      cancel = run.cancel;
      return run.ended;
    });
    return { ended, cancel: () => cancel() };
  }

  function incomingBody(
    path: SimulatedPath,
    sizeBytes: number,
  ): IncomingBody {
    const { grants } = path.to.links!;
    return {
      sizeBytes,
      receive: ({ rank, beginWithinMs }) =>
        new Promise((resolve) => {
          let sentBytes = 0;
          const body = grants.add({
            rank,
            sizeBytes,
            grant(totalBytes) {
              const pieceBytes = totalBytes - sentBytes;
              sentBytes = totalBytes;
              void wait(path.oneWayMs).then(() => send(path, pieceBytes))
                .then(() => {
                  body.received(pieceBytes);
                  if (totalBytes === sizeBytes) resolve(Buffer.alloc(0));
                });
            },
          });
          clock.setTimer(() => {
            if (body.hasBegun) return;
            body.close();
            resolve(undefined);
          }, beginWithinMs);
        }),
    };
  }

  function startRun(
    vm: SimulatedVm,
    request: OwnedRequest,
    { from, arrives }: {
      readonly from: SimulatedVm;
      readonly arrives?: () => Promise<void>;
    },
  ): OwnedRun {
    let cancelled = false;
    let cancelWait = () => {};
    async function run(): Promise<OwnedResult> {
      if (arrives !== undefined) await arrives();
      const { ticket } = request;
      const arrivedMs = nowMs();
      recordArrival(vm, ticket.mayWait);
      const ranked = {
        rank: ticket.rank,
        objectiveAtMs: arrivedMs + ticket.objectiveLeftMs,
        neededMs: vm.routeTimes.expectedMs(ticket.route) +
          (vm.capacity?.extraMs(ticket.route) ?? 0),
        deadlineAtMs: arrivedMs + ticket.timeLeftMs,
        shareKeys: {
          vm: from.id,
          zone: from.zone,
          isOtherZone: from.zone !== vm.zone,
          kind: ticket.route,
        },
      };
      if (!ticket.isNested && lacksRoomForCalls(vm, ticket.route)) {
        total.refusedAttempts += 1;
        return refusedResult(vm, { reason: "deadline", ranked });
      }
      const admitted = vm.admission.admit({
        ...ranked,
        isNested: ticket.isNested,
        mayWait: ticket.mayWait,
      });
      cancelWait = admitted.cancel;
      const granted = await admitted.granted;
      if (granted.isErr) {
        total.refusedAttempts += 1;
        return refusedResult(vm, { reason: granted.error, ranked });
      }
      const startedMs = nowMs();
      const ownCalls = new OwnCalls(nowMs);
      granted.value.markSent();
      vm.startsMs.push(startedMs);
      const status = await runOnUpstream(vm, kinds.get(ticket.route)!, {
        deadlineAtMs: ranked.deadlineAtMs,
        ownCalls,
      });
      const serviceMs = nowMs() - startedMs;
      if (startedMs >= (options.countRunsFromMs ?? 0)) vm.runs += 1;
      recordMeasured(vm, {
        route: ticket.route,
        serviceMs,
        ownCallsMs: ownCalls.waitedMs,
        concurrency: granted.value.concurrency,
      }, status);
      granted.value.release({ serviceTimeMs: serviceMs, wasSent: true });
      vm.calls.recordRun(ticket.route);
      if (cancelled || status === undefined) {
        const reason = cancelled ? "cancelled" : "deadline";
        return { verdict: { kind: "unknown", reason }, answer: undefined };
      }
      vm.routeTimes.record(
        ticket.route,
        Math.max(0, serviceMs - (vm.capacity?.extraMs(ticket.route) ?? 0)),
      );
      return {
        verdict: { kind: "answered", serviceMs },
        answer: { status, headers: [], body: Buffer.alloc(0) },
      };
    }
    total.attempts += 1;
    return {
      ended: run(),
      cancel() {
        cancelled = true;
        cancelWait();
      },
    };
  }

  function lacksRoomForCalls(vm: SimulatedVm, route: string): boolean {
    return policy === "by_knowledge" &&
      vm.calls.serviceWithoutRoom(route) !== undefined;
  }

  function refusedResult(
    { admission }: SimulatedVm,
    { reason, ranked }: {
      readonly reason: NotRunReason;
      readonly ranked: Parameters<RankedAdmission["retryAfterMs"]>[0];
    },
  ): OwnedResult {
    return {
      verdict: {
        kind: "not_run",
        reason,
        reachedUpstream: false,
        retryAfterMs: admission.retryAfterMs(ranked),
      },
      answer: undefined,
    };
  }

  /** Records a run and the load field of its answer, as the owner does. */
  function recordMeasured(
    { capacity, admission, service, hostFactor }: SimulatedVm,
    run: MeasuredRun,
    status: number | undefined,
  ): void {
    if (capacity === undefined || status === undefined) return;
    const { running, waiting } = admission;
    const percent = Math.round(100 * hostFactor);
    capacity.recordField(`${running},${waiting},${service.slots},${percent}`);
    if (status < 400) capacity.recordRun(run);
  }

  function recordArrival(vm: SimulatedVm, mayWait: boolean): void {
    vm.arrivals += 1;
    const isFull = (other: SimulatedVm) =>
      other.admission.running >= other.service.slots;
    if (!isFull(vm) || !mayWait) return;
    const hasFree = vms.some((other) =>
      other.service === vm.service && other.zone === vm.zone && !isFull(other)
    );
    if (hasFree) total.waitedWhileFree += 1;
  }

  /** Returns the status of the answer; undefined if the deadline passes first. */
  async function runOnUpstream(
    vm: SimulatedVm,
    kind: SimulatedKind,
    { deadlineAtMs, ownCalls }: {
      readonly deadlineAtMs: number;
      readonly ownCalls: OwnCalls;
    },
  ): Promise<number | undefined> {
    const state = {
      index: vm.index,
      running: vm.admission.running,
      nowMs: nowMs(),
    };
    if (vm.service.fails?.(state)) return 500;
    const factor = random.between(1 - kind.spread, 1 + kind.spread) *
      longerFactor(kind) * vm.hostFactor * vm.coldness.workFactor() *
      (vm.service.slowdown?.(state) ?? 1);
    const workMs = kind.meanWorkMs * factor / vm.speed;
    const { calls } = kind;
    let status = 200;
    if (calls !== undefined && random.next() < calls.share) {
      const called = kinds.get(calls.kind)!;
      const call = async () => {
        ownCalls.begin();
        const succeeded = await sendNested(vm, called, {
          deadlineAtMs,
          parent: kind.name,
        });
        ownCalls.end();
        return succeeded;
      };
      const results: boolean[] = [];
      if (calls.isTogether) {
        results.push(
          ...await Promise.all(Array.from({ length: calls.times }, call)),
        );
      } else {
        for (let i = 0; i < calls.times; i += 1) results.push(await call());
      }
      if (!results.every(Boolean)) status = 500;
    }
    const leftMs = Math.max(0, deadlineAtMs - nowMs());
    await wait(Math.min(workMs, leftMs));
    return workMs > leftMs ? undefined : status;
  }

  /** Factor of a request's work, whose mean is 1. */
  function longerFactor({ longer }: SimulatedKind): number {
    if (longer === undefined) return 1;
    const mean = 1 + longer.share * (longer.factor - 1);
    return (random.next() < longer.share ? longer.factor : 1) / mean;
  }

  async function sendNested(
    vm: SimulatedVm,
    kind: SimulatedKind,
    { deadlineAtMs, parent }: {
      readonly deadlineAtMs: number;
      readonly parent: string;
    },
  ): Promise<boolean> {
    const figure = figures.get(kind.name)!;
    const startedMs = nowMs();
    figure.asked += 1;
    const served = await vm.serve(routedRequest(kind, {
      deadlineAtMs: Math.min(deadlineAtMs, startedMs + kind.deadlineMs),
      objectiveAtMs: startedMs + kind.objectiveMs,
      isNested: true,
    }));
    const succeeded = isSuccess(served);
    const hadRoom = succeeded ||
      served.kind === "refused" && !isWithoutRoom(served.reason);
    vm.calls.recordCall({ route: parent, service: kind.service, hadRoom });
    const isOnTime = nowMs() - startedMs <= kind.objectiveMs;
    const outcome = !succeeded ? "failed" : isOnTime ? "onTime" : "late";
    figure[outcome] += 1;
    return succeeded;
  }

  function routedRequest(
    kind: SimulatedKind,
    times: Pick<RoutedRequest, "deadlineAtMs" | "objectiveAtMs" | "isNested">,
  ): RoutedRequest {
    return {
      request: { method: "GET", url: "/" } as IncomingMessage,
      response: undefined as unknown as ServerResponse,
      head: callerHead({ path: "/" }),
      requestId: "simulated",
      startedMs: nowMs(),
      attempts: [],
      isDisconnected: false,
      cancel: undefined,
      route: routeOf(kind),
      version: 1,
      service: kind.service,
      rank: times.isNested ? 0 : 1 + kind.priority,
      body: kind.bodyBytes === undefined
        ? undefined
        : Buffer.alloc(kind.bodyBytes),
      waitedBeforeMs: 0,
      ...times,
    };
  }

  function busiest(service: string): number {
    const arrivals = vms
      .filter((vm) => vm.service.name === service)
      .map((vm) => vm.arrivals);
    const mean = arrivals.reduce((sum, n) => sum + n, 0) / arrivals.length;
    return mean === 0 ? 0 : Math.max(...arrivals) / mean;
  }

  function busiestBySpeed(service: string): number {
    let most = 0;
    for (let zone = 0; zone < options.zones; zone += 1) {
      const inZone = vms.filter((vm) =>
        vm.service.name === service && vm.zone === `zone-${zone}`
      );
      const arrivals = inZone.reduce((sum, vm) => sum + vm.arrivals, 0);
      const speed = inZone.reduce((sum, vm) => sum + vm.speed, 0);
      for (const vm of inZone) {
        const fair = arrivals * vm.speed / speed;
        if (fair > 0) most = Math.max(most, vm.arrivals / fair);
      }
    }
    return most;
  }

  function vmsOf(service: string): readonly SimulatedVm[] {
    return vms.filter((vm) => vm.service.name === service);
  }

  function list(
    { id, zone, address, service }: SimulatedVm,
    revision: number,
  ): void {
    const entry = {
      id,
      service: service.name,
      address,
      port: 80,
      zone,
      slots: service.slots,
      state: "ready" as const,
      coldMs: 0,
      bornMs: 1,
    };
    catalog.apply([{ kind: "upstream", revision, entry }]);
  }

  function wait(ms: number): Promise<void> {
    return new Promise((resolve) => clock.setTimer(resolve, ms));
  }
}

function routeOf(kind: SimulatedKind): Route {
  return {
    name: kind.name,
    host: "mesh.example",
    prefix: `/${kind.name}/`,
    requestClass: kind.requestClass,
    latencyObjectiveMs: kind.objectiveMs,
    priority: kind.priority,
    targets: [{ service: kind.service, weight: 1 }],
    timeoutMs: kind.deadlineMs,
    maxAttempts: 2,
    ...(kind.hasLargeBodies === undefined
      ? {}
      : { hasLargeBodies: kind.hasLargeBodies }),
  };
}

function isSuccess(served: ServedRequest): boolean {
  return served.kind === "answered" && served.answer.status < 300;
}

function createKindFigures(): MutableKindFigures {
  return {
    asked: 0,
    onTime: 0,
    late: 0,
    refused: 0,
    failed: 0,
    refusedAfterMs: [],
  };
}
