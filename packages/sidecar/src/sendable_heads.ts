import { validateHeaderName, validateHeaderValue } from "node:http";
import { isFinalStatus } from "@tanagercove/headers";

/**
 * Characters that Node refuses in the path of a request. Its parser also accepts tabs and form feeds in a path, and
 * field names that are empty or contain a space, so what it has read is not always sendable.
 */
const UNSENDABLE_IN_PATH = /[^\x21-\xff]/;

/** Whether a request with this path and these fields, as alternating names and values, can be passed on. */
export function isSendableRequest(
  { path, headers }: {
    readonly path: string;
    readonly headers: readonly string[];
  },
): boolean {
  return !UNSENDABLE_IN_PATH.test(path) && areSendableFields(headers);
}

/** Whether an answer with this status and these fields, as alternating names and values, can be passed on. */
export function isSendableAnswer(
  { status, headers }: {
    readonly status: number;
    readonly headers: readonly string[];
  },
): boolean {
  return isFinalStatus(status) && areSendableFields(headers);
}

function areSendableFields(headers: readonly string[]): boolean {
  try {
    for (let i = 0; i + 1 < headers.length; i += 2) {
      validateHeaderName(headers[i]!);
      validateHeaderValue(headers[i]!, headers[i + 1]!);
    }
    return true;
  } catch {
    return false;
  }
}
