/**
 * Whether a status is one of a final answer, from 200 to 599 (RFC 9110, section 15). HTTP parsers also accept three
 * digits that are no status, such as 000 or 999.
 */
export function isFinalStatus(status: number): boolean {
  return Number.isInteger(status) && status >= 200 && status <= 599;
}
