import { createHmac, timingSafeEqual } from "node:crypto";
import { BlockList, isIPv6 } from "node:net";
import type { RequestHead } from "./request_head.ts";

/** How a customer's identity is proved. */
export type IdentityKind = "trusted" | "signed";

/** A block of IP addresses. */
export interface AddressRange {
  readonly address: string;
  readonly prefixBits: number;
}

/** Options of `createIdentityCheck`. */
export interface IdentityOptions {
  readonly kind: IdentityKind;
  /** Networks whose callers are accepted by `trusted`; 127.0.0.0/8 by default. */
  readonly trustedCallers?: readonly AddressRange[];
  /** HMAC key; needed for `signed`. */
  readonly customerKey?: string;
  /** Wall clock in Unix seconds. */
  readonly nowUnixSeconds?: () => number;
}

/** Checks the identity that a request claims. */
export interface IdentityCheck {
  /** Whether callers at the address are trusted; the result holds for a whole connection. */
  isTrustedAddress(address: string): boolean;
  accepts(head: RequestHead, fromTrustedAddress: boolean): boolean;
}

const DEFAULT_TRUSTED_CALLERS: readonly AddressRange[] = [
  { address: "127.0.0.0", prefixBits: 8 },
];
const SIGNATURE = /^[0-9a-f]{64}$/i;
const EXPIRES = /^\d{1,12}$/;

/** Creates the check for the configured kind of identity. */
export function createIdentityCheck(options: IdentityOptions): IdentityCheck {
  const trusted = new BlockList();
  const ranges = options.trustedCallers ?? DEFAULT_TRUSTED_CALLERS;
  for (const { address, prefixBits } of ranges) {
    trusted.addSubnet(address, prefixBits, familyOf(address));
  }
  const now = options.nowUnixSeconds ?? (() => Date.now() / 1000);
  const key = options.customerKey ?? "";
  if (options.kind === "signed" && key === "") {
    throw new Error("customerKey must be set for signed identities");
  }
  const accepts: Record<IdentityKind, IdentityCheck["accepts"]> = {
    trusted: (_head, fromTrustedAddress) => fromTrustedAddress,
    signed: ({ customer, expires, signature }) => {
      if (expires === undefined || !EXPIRES.test(expires)) return false;
      if (signature === undefined || !SIGNATURE.test(signature)) return false;
      if (Number(expires) <= now()) return false;
      const expected = createHmac("sha256", key)
        .update(`${customer}\n${expires}`)
        .digest();
      return timingSafeEqual(expected, Buffer.from(signature, "hex"));
    },
  };
  return {
    isTrustedAddress: (address) => trusted.check(address, familyOf(address)),
    accepts: accepts[options.kind],
  };
}

function familyOf(address: string): "ipv4" | "ipv6" {
  return isIPv6(address) ? "ipv6" : "ipv4";
}
