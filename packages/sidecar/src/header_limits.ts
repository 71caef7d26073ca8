/** Limit on the head of an upstream's answer, with all interim answers before it. */
export const UPSTREAM_MAX_HEAD_BYTES = 64 * 1024;

/** Limit on heads between daemons: room for a caller's or an upstream's fields and those that daemons add. */
export const PEER_MAX_HEAD_BYTES = 80 * 1024;
