import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { Test } from "tap";
import type { CertificateAuthority, IssueOptions } from "@tanagercove/emulator";
import { type KeyFiles, openTlsTransport } from "@tanagercove/keys";
import { createLogger } from "@tanagercove/logs";

/** Options of `openKeyFiles`. */
export interface OpenKeyFilesOptions extends IssueOptions {
  readonly authority: CertificateAuthority;
}

/** Paths of a CA file, a certificate and its private key in a temporary folder; the files do not exist at first. */
export interface TestKeyFiles {
  readonly files: KeyFiles;
  /** Writes the CA file; replaces the trusted CAs. */
  trust(...authorities: readonly CertificateAuthority[]): void;
  /** Writes a new certificate and its key; replaces earlier ones. */
  issue(
    options?: IssueOptions,
    authority?: CertificateAuthority,
  ): Promise<void>;
}

/** Creates a temporary folder for the TLS files; it is removed at the end of the test. */
export function openKeyFiles(
  t: Test,
  defaults: OpenKeyFilesOptions,
): TestKeyFiles {
  const folder = mkdtempSync(join(tmpdir(), "tanagercove-keys-"));
  t.teardown(() => rmSync(folder, { recursive: true }));
  const files = {
    caFile: join(folder, "ca.pem"),
    certificateFile: join(folder, "own.pem"),
    keyFile: join(folder, "key.pem"),
  };
  return {
    files,
    trust(...authorities) {
      const texts = authorities.map(({ certificate }) => certificate);
      writeFileSync(files.caFile, texts.join("\n"));
    },
    async issue(options = defaults, authority = defaults.authority) {
      const { certificate, key } = await authority.issue(options);
      writeFileSync(files.certificateFile, certificate);
      writeFileSync(files.keyFile, key);
    },
  };
}

/** Options of `openTestTransport`. */
export interface OpenTestTransportOptions extends OpenKeyFilesOptions {
  readonly mode?: "optional" | "required";
}

/** Opens a mutual TLS transport with its own TLS files; `events` collects the events that it logs. */
export async function openTestTransport(
  t: Test,
  options: OpenTestTransportOptions,
) {
  const keyFiles = openKeyFiles(t, options);
  keyFiles.trust(options.authority);
  await keyFiles.issue();
  const events: Record<string, unknown>[] = [];
  const vmId = options.vmId ?? "";
  const transport = openTlsTransport({
    mode: options.mode ?? "required",
    files: keyFiles.files,
    vmId,
    address: options.addresses[0] ?? "",
    reloadIntervalMs: 100,
    log: createLogger({
      vmId,
      zone: "zone-a",
      write: (line) => void events.push(JSON.parse(line)),
    }),
  }).unwrapOrElse((problems) => {
    throw new Error(JSON.stringify(problems));
  });
  t.teardown(() => transport.close());
  return { transport, events, ...keyFiles };
}
