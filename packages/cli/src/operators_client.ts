import { Result } from "true-myth";
import { Client } from "undici";
import { parsePeerAddress, type PeerAddress } from "@tanagercove/settings";
import { readSettingsFile } from "./settings_file.ts";

/** Command-line options that give the operators' port. */
export interface OperatorArgs {
  readonly operator?: string;
  readonly settings?: string;
}

/** Far above the length of the status of 3,000 daemons, which is about 1 MB. */
const MAX_RESPONSE_BYTES = 64 * 1024 * 1024;
/** Longer than a daemon with the default `rpc_timeout_ms` takes to query all others. */
const TIMEOUT_MS = 10_000;
const CONNECT_TIMEOUT_MS = 2_000;

/** Determines the address of the operators' port from `--operator` or `--settings`; the errors are lines for the user. */
export async function resolveOperatorAddress(
  args: OperatorArgs,
): Promise<Result<PeerAddress, readonly string[]>> {
  const { operator, settings } = args;
  if ((operator === undefined) === (settings === undefined)) {
    return Result.err(["Expected either --operator or --settings"]);
  }
  if (operator !== undefined) {
    const address = parsePeerAddress(operator);
    return address === undefined
      ? Result.err([`--operator is "${operator}", expected IP:PORT`])
      : Result.ok(address);
  }
  const loaded = await readSettingsFile(settings!);
  return loaded.map(({ operators }) => operators);
}

/** Fetches one path of the operators' port as JSON; the error is one line for the user. */
export async function fetchJson(
  { address, port }: PeerAddress,
  path: string,
): Promise<Result<unknown, string>> {
  const host = address.includes(":") ? `[${address}]` : address;
  const endpoint = `${host}:${port}`;
  const fail = (reason: string) =>
    Result.err<unknown, string>(
      `No usable response from ${endpoint}: ${reason}`,
    );
  const client = new Client(`http://${endpoint}`, {
    maxResponseSize: MAX_RESPONSE_BYTES,
    connect: { timeout: CONNECT_TIMEOUT_MS },
  });
  const deadline = AbortSignal.timeout(TIMEOUT_MS);
  try {
    const response = await client.request({
      method: "GET",
      path,
      signal: deadline,
    });
    const body = await response.body.text();
    return response.statusCode === 200
      ? Result.ok(JSON.parse(body))
      : fail(`status ${response.statusCode}, expected 200`);
  } catch (error) {
    if (deadline.aborted) return fail(`no response within ${TIMEOUT_MS} ms`);
    if (error instanceof SyntaxError) return fail("the response is not JSON");
    return fail((error as Error).message);
  } finally {
    await client.destroy();
  }
}
