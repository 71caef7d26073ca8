import { isIPv4, isIPv6 } from "node:net";
import { Result } from "true-myth";
import type { ListProblem, Vm, VmState } from "@tanagercove/types";
import { type Entry, isIdentifier, parseEntries } from "./entries.ts";

const VM_STATES: readonly VmState[] = ["live", "leaving"];
const MAX_PORT = 65_535;

/** Parses the VM list. A single invalid line makes the whole list invalid. */
export function parseVms(
  text: string,
): Result<readonly Vm[], readonly ListProblem[]> {
  const { entries, problems } = parseEntries("vms", text);
  const allProblems: ListProblem[] = [...problems];
  const vms: Vm[] = [];
  for (const entry of entries) {
    const vm = parseVm(entry);
    if (vm.isOk) vms.push(vm.value);
    else {allProblems.push({
        location: { list: "vms", line: entry.line },
        message: vm.error,
      });}
  }
  return allProblems.length > 0 ? Result.err(allProblems) : Result.ok(vms);
}

/** Formats a VM list as the platform publishes it. */
export function formatVms(vms: readonly Vm[]): string {
  return vms.map((vm) =>
    `${vm.id} = service=${vm.service} zone=${vm.zone} region=${vm.region} address=${vm.address} ` +
    `caller_port=${vm.callerPort} peer_port=${vm.peerPort} upstream_port=${vm.upstreamPort} ` +
    `state=${vm.state}\n`
  ).join("");
}

function parseVm(entry: Entry): Result<Vm, string> {
  const fields = new Map<string, string>();
  for (const word of entry.value.split(/\s+/)) {
    const equals = word.indexOf("=");
    if (equals < 0) {
      return Result.err(`Field "${word.slice(0, 80)}" has no "="`);
    }
    fields.set(word.slice(0, equals), word.slice(equals + 1));
  }
  const field = (name: string) => fields.get(name) ?? "";

  for (const name of ["service", "zone", "region"]) {
    if (!isIdentifier(field(name))) {
      return Result.err(`Field "${name}" is no identifier`);
    }
  }
  const address = field("address");
  if (!isIPv4(address) && !isIPv6(address)) {
    return Result.err(
      `Field "address" is no IP number: "${address.slice(0, 80)}"`,
    );
  }
  const state = VM_STATES.find((known) => known === field("state"));
  if (state === undefined) {
    return Result.err(
      `Field "state" is "${field("state")}": expected live or leaving`,
    );
  }
  for (const name of ["caller_port", "peer_port", "upstream_port"]) {
    const port = Number(field(name));
    if (!Number.isInteger(port) || port < 1 || port > MAX_PORT) {
      return Result.err(
        `Field "${name}" is "${field(name)}": expected 1 to ${MAX_PORT}`,
      );
    }
  }
  return Result.ok({
    id: entry.key,
    service: field("service"),
    zone: field("zone"),
    region: field("region"),
    address,
    callerPort: Number(field("caller_port")),
    peerPort: Number(field("peer_port")),
    upstreamPort: Number(field("upstream_port")),
    state,
  });
}
