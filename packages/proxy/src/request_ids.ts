import { randomBytes } from "node:crypto";

const PREFIX_BYTES = 8;

/** Creates a source of request ids that are unique across daemons and their restarts. */
export function createRequestIds(): () => string {
  const prefix = randomBytes(PREFIX_BYTES).toString("hex");
  let count = 0;
  return () => {
    count += 1;
    return `${prefix}-${count.toString(36)}`;
  };
}
