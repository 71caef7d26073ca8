import { isIP, isIPv4 } from "node:net";
import { isAbsolute } from "node:path";

/** Definition of one key of the settings file. The parser, the reference page and the example file use it. */
export interface KeyDefinition<T> {
  /** Returns the value, or undefined if the text is not accepted. */
  readonly parse: (text: string) => T | undefined;
  /** Accepted values in words or as a pattern, shown in errors, the reference and the example file. */
  readonly accepted: string;
  /** Meaning, one or two sentences. */
  readonly doc: string;
  readonly presence: KeyPresence;
  /** Value in the example file for a key without a default. */
  readonly example?: string;
  /** Whether errors hide the value; dumps contain no settings. */
  readonly secret?: boolean;
}

/** What happens when a key is absent; default values are INI text. */
export type KeyPresence =
  | { readonly kind: "required" }
  | { readonly kind: "optional"; readonly meaning: string }
  | { readonly kind: "default"; readonly text: string }
  | {
    readonly kind: "derived";
    readonly meaning: string;
    readonly from: string;
    readonly derive: (text: string) => string;
  };

/** Options that keys of every kind have. */
export type KeyOptions = Omit<KeyDefinition<unknown>, "parse" | "accepted">;

/** Smallest and largest accepted number or length. */
export interface Bounds {
  readonly min: number;
  readonly max: number;
}

/** Presence of a key whose absence is an error. */
export const REQUIRED: KeyPresence = { kind: "required" };

/** Makes a key optional; `meaning` says what happens when it is absent. */
export function optionalKey<T>(
  definition: KeyDefinition<T>,
  meaning: string,
): KeyDefinition<T | undefined> {
  return { ...definition, presence: { kind: "optional", meaning } };
}

/** Returns the presence of a key with a default; `text` is the default as INI text. */
export function defaultTo(text: string): KeyPresence {
  return { kind: "default", text };
}

const IDENTIFIER = /^[a-z0-9][a-z0-9_.-]{0,62}$/;
const WHOLE_NUMBER = /^\d{1,15}$/;
const MAX_PORT = 65_535;
const IPV4_BITS = 32;
const IPV6_BITS = 128;

/** Name of a VM, zone, region or service. */
export function identifier(options: KeyOptions): KeyDefinition<string> {
  return {
    ...options,
    accepted: "[a-z0-9][a-z0-9_.-]{0,62}",
    parse: (text) => IDENTIFIER.test(text) ? text : undefined,
  };
}

/** IP address without a port. */
export function ipAddress(options: KeyOptions): KeyDefinition<string> {
  return {
    ...options,
    accepted: "an IP address",
    parse: (text) => isIP(text) === 0 ? undefined : text,
  };
}

/** Whole number within a range; the unit is part of the key's name. */
export function wholeNumber(
  bounds: Bounds,
  options: KeyOptions,
): KeyDefinition<number> {
  return {
    ...options,
    accepted: `a whole number from ${bounds.min} to ${bounds.max}`,
    parse: (text) => parseNumberWithin(text, bounds),
  };
}

/** TCP port. */
export function port(options: KeyOptions): KeyDefinition<number> {
  return wholeNumber({ min: 1, max: MAX_PORT }, options);
}

/** One of a fixed set of words. */
export function choice<const W extends string>(
  words: readonly W[],
  options: KeyOptions,
): KeyDefinition<W> {
  return {
    ...options,
    accepted: words.join(" | "),
    parse: (text) => words.find((word) => word === text),
  };
}

/** Absolute `http:` URL without path, query, fragment or credentials; a trailing `/` is accepted and removed. */
export function httpUrl(options: KeyOptions): KeyDefinition<string> {
  return {
    ...options,
    accepted: "http://HOST:PORT without path",
    parse: (text) => {
      const url = URL.canParse(text) ? new URL(text) : undefined;
      const plain = url?.protocol === "http:" && url.pathname === "/" &&
        url.search === "" && url.hash === "" && url.username === "" &&
        url.password === "";
      return plain ? url.origin : undefined;
    },
  };
}

/** Shared secret; errors do not show its value. */
export function secretText(
  length: Bounds,
  options: KeyOptions,
): KeyDefinition<string> {
  return {
    ...options,
    secret: true,
    accepted: `${length.min} to ${length.max} characters`,
    parse: (text) => isWithin(text.length, length) ? text : undefined,
  };
}

/** Absolute path of a file. */
export function filePath(options: KeyOptions): KeyDefinition<string> {
  return {
    ...options,
    accepted: "an absolute path",
    parse: (text) => isAbsolute(text) ? text : undefined,
  };
}

/** Address of a daemon's peer port. */
export interface PeerAddress {
  readonly address: string;
  readonly port: number;
}

/** Addresses of daemons; may be empty. */
export function peerAddresses(
  options: KeyOptions,
): KeyDefinition<readonly PeerAddress[]> {
  return {
    ...options,
    accepted: "IP:PORT, IP:PORT, ... or nothing; [IP]:PORT for IPv6",
    parse: (text) => parseList(text, parsePeerAddress),
  };
}

/** A CIDR block: the IP addresses whose first `prefixBits` bits equal those of `address`. */
export interface AddressRange {
  readonly address: string;
  readonly prefixBits: number;
}

/** CIDR blocks; may be empty. */
export function addressRanges(
  options: KeyOptions,
): KeyDefinition<readonly AddressRange[]> {
  return {
    ...options,
    accepted: "IP/BITS, IP/BITS, ... or nothing",
    parse: (text) => parseList(text, parseAddressRange),
  };
}

/** Parses `IPV4:PORT` or `[IP]:PORT`; an IPv6 address needs the brackets. */
export function parsePeerAddress(text: string): PeerAddress | undefined {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d+)$/.exec(text);
  const address = match?.[1] ?? match?.[2] ?? "";
  const port = parseNumberWithin(match?.[3] ?? "", { min: 1, max: MAX_PORT });
  const valid = match?.[1] === undefined ? isIPv4(address) : isIP(address) > 0;
  return valid && port !== undefined ? { address, port } : undefined;
}

function parseAddressRange(text: string): AddressRange | undefined {
  const [address = "", bits = "", ...rest] = text.split("/");
  const max = isIPv4(address) ? IPV4_BITS : IPV6_BITS;
  const prefixBits = parseNumberWithin(bits, { min: 0, max });
  const valid = isIP(address) > 0 && rest.length === 0;
  return valid && prefixBits !== undefined
    ? { address, prefixBits }
    : undefined;
}

function parseList<T>(
  text: string,
  parse: (item: string) => T | undefined,
): readonly T[] | undefined {
  if (text === "") return [];
  const items = text.split(",").map((item) => parse(item.trim()));
  return items.every((item) => item !== undefined) ? items : undefined;
}

function parseNumberWithin(text: string, bounds: Bounds): number | undefined {
  if (!WHOLE_NUMBER.test(text)) return undefined;
  const value = Number(text);
  return isWithin(value, bounds) ? value : undefined;
}

function isWithin(value: number, { min, max }: Bounds): boolean {
  return value >= min && value <= max;
}
