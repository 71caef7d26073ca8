/** Prefix of the error codes of Node's HTTP parser. */
const PREFIX = "HPE_";

/** Whether an error comes from bytes that are not HTTP, and not from the connection. */
export function isParserError({ code = "" }: NodeJS.ErrnoException): boolean {
  return code.startsWith(PREFIX);
}
