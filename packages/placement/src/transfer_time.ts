/** Options of `bodyTransferMs`. */
export interface BodyTransferOptions {
  /** Length of the request's body; 0 without one. */
  readonly bodyBytes: number;
  /** Whether the upstream is on the VM of the caller, so that the body crosses no link. */
  readonly isOwnVm: boolean;
  /** Bandwidth of the link of the upstream's VM; undefined if it is not known. */
  readonly linkMbps: number | undefined;
  /** Bandwidth of the link of the caller's VM. */
  readonly ownLinkMbps: number;
}

/** Bodies up to this size take no time worth a comparison; they are sent with the heads of their requests. */
const NEGLIGIBLE_BODY_BYTES = 32 * 1024;

/**
 * Time that a body takes to an upstream.
 *
 * Answers uploads to a service whose VMs have links of different bandwidth: on a narrow one, a body takes longer than the
 * work for it. An upload whose caller sits beside an upstream runs there if that is not much busier than the others.
 */
export function bodyTransferMs(
  { bodyBytes, isOwnVm, linkMbps, ownLinkMbps }: BodyTransferOptions,
): number {
  if (isOwnVm || bodyBytes <= NEGLIGIBLE_BODY_BYTES) return 0;
  const narrowestMbps = Math.min(ownLinkMbps, linkMbps ?? ownLinkMbps);
  return bodyBytes * 8 / (narrowestMbps * 1_000);
}
