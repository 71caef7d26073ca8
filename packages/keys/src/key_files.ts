import {
  createPrivateKey,
  createPublicKey,
  type KeyObject,
  X509Certificate,
} from "node:crypto";
import { readFileSync, statSync } from "node:fs";
import { Result } from "true-myth";

/** Paths of the PEM files that a daemon reads. */
export interface KeyFiles {
  /** Certificates of the CAs that sign peers' certificates; several during a change of CA. */
  readonly caFile: string;
  /** Certificate of this VM, followed by intermediate certificates. */
  readonly certificateFile: string;
  readonly keyFile: string;
}

/** Options of `readPeerKeys`. */
export interface ReadPeerKeysOptions {
  readonly files: KeyFiles;
  readonly vmId: string;
  /** IP address at which other daemons reach this one. */
  readonly address: string;
  /** Milliseconds since 1970; now by default. */
  readonly nowMs?: number;
}

/** Checked contents of the key files. */
export interface PeerKeys {
  readonly ca: string;
  readonly certificate: string;
  readonly key: string;
  /** End of the validity of this VM's certificate, in milliseconds since 1970. */
  readonly validUntilMs: number;
}

/** What is wrong with one of the files. */
export interface KeyProblem {
  readonly file: keyof KeyFiles;
  readonly message: string;
}

/** Prefix of the URI that identifies a VM in the subject alternative names of a certificate. */
export const VM_URI_PREFIX = "urn:tanagercove:vm:";

/** Extended key usages for TLS servers and TLS clients; a daemon is both. */
const PEER_USAGES = ["1.3.6.1.5.5.7.3.1", "1.3.6.1.5.5.7.3.2"];
const MAX_FILE_BYTES = 1_000_000;
const PEM_CERTIFICATE =
  /-----BEGIN CERTIFICATE-----[^-]+-----END CERTIFICATE-----/g;

/** Reads and checks the key files; the error lists all problems. */
export function readPeerKeys(
  options: ReadPeerKeysOptions,
): Result<PeerKeys, readonly KeyProblem[]> {
  const problems: KeyProblem[] = [];
  const read = <T>(
    file: keyof KeyFiles,
    { expected, parse }: {
      readonly expected: string;
      readonly parse: (text: string) => T;
    },
  ): { readonly text: string; readonly value: T } | undefined => {
    const text = readSmallFile(options.files[file]);
    if (text.isErr) {
      problems.push({ file, message: text.error });
      return undefined;
    }
    try {
      return { text: text.value, value: parse(text.value) };
    } catch {
      problems.push({ file, message: `Expected ${expected}` });
      return undefined;
    }
  };

  const authorities = read("caFile", {
    expected: "at least one CA certificate in PEM",
    parse: parseCertificates,
  });
  const certificates = read("certificateFile", {
    expected: "a certificate in PEM",
    parse: parseCertificates,
  });
  const key = read("keyFile", {
    expected: "a private key in PEM without passphrase",
    parse: (text) => createPrivateKey(text),
  });
  const own = certificates?.value[0];
  if (authorities !== undefined) {
    problems.push(...checkAuthorities(authorities.value, options));
  }
  if (own !== undefined) problems.push(...checkCertificate(own, options));
  if (
    own !== undefined && key !== undefined &&
    !isKeyOfCertificate(own, key.value)
  ) {
    problems.push({
      file: "keyFile",
      message:
        "Expected the private key of the certificate in `tls_certificate_file`",
    });
  }
  if (own !== undefined && authorities !== undefined) {
    const issuers = [...certificates!.value.slice(1), ...authorities.value];
    if (!issuers.some((issuer) => own.verify(issuer.publicKey))) {
      problems.push({
        file: "certificateFile",
        message: "Expected a certificate signed by a CA in `tls_ca_file`",
      });
    }
  }
  if (problems.length > 0) return Result.err(problems);
  return Result.ok({
    ca: authorities!.text,
    certificate: certificates!.text,
    key: key!.text,
    validUntilMs: Date.parse(own!.validTo),
  });
}

/** Returns the ids of the VMs in subject alternative names, given in the format of Node. */
export function vmIdsIn(subjectAltName: string | undefined): readonly string[] {
  const prefix = `URI:${VM_URI_PREFIX}`;
  return (subjectAltName ?? "").split(", ")
    .filter((name) => name.startsWith(prefix))
    .map((name) => name.slice(prefix.length));
}

function checkAuthorities(
  authorities: readonly X509Certificate[],
  { nowMs = Date.now() }: ReadPeerKeysOptions,
): readonly KeyProblem[] {
  const message = authorities.some(({ ca }) => !ca)
    ? "Expected CA certificates only"
    : authorities.every((authority) => periodProblem(authority, nowMs))
    ? "Expected at least one CA certificate that is valid now"
    : undefined;
  return message === undefined ? [] : [{ file: "caFile", message }];
}

function checkCertificate(
  certificate: X509Certificate,
  { vmId, address, nowMs = Date.now() }: ReadPeerKeysOptions,
): readonly KeyProblem[] {
  const messages: string[] = [];
  const period = periodProblem(certificate, nowMs);
  if (period !== undefined) messages.push(period);
  if (certificate.checkIP(address) === undefined) {
    messages.push(
      `Expected the IP address ${address} of [daemon] address in the subject alternative names`,
    );
  }
  const { keyUsage: usages } = certificate;
  if (usages !== undefined && !PEER_USAGES.every((id) => usages.includes(id))) {
    messages.push(
      "Expected the extended key usages server and client, or none",
    );
  }
  const ids = vmIdsIn(certificate.subjectAltName);
  if (ids.length !== 1 || ids[0] !== vmId) {
    messages.push(
      `Expected the URI ${VM_URI_PREFIX}${vmId} of [daemon] vm_id in the subject alternative names, and no other VM`,
    );
  }
  return messages.map((message) => ({ file: "certificateFile", message }));
}

function periodProblem(
  { validFrom, validTo }: X509Certificate,
  nowMs: number,
): string | undefined {
  if (Date.parse(validTo) <= nowMs) {
    return `Expected a certificate that is valid now; it expired on ${validTo}`;
  }
  return Date.parse(validFrom) > nowMs
    ? `Expected a certificate that is valid now; it starts on ${validFrom}`
    : undefined;
}

function isKeyOfCertificate(
  certificate: X509Certificate,
  key: KeyObject,
): boolean {
  const own = createPublicKey(key).export({ type: "spki", format: "der" });
  return own.equals(
    certificate.publicKey.export({ type: "spki", format: "der" }),
  );
}

function parseCertificates(text: string): readonly X509Certificate[] {
  const found = text.match(PEM_CERTIFICATE) ?? [];
  if (found.length === 0) throw new Error("No certificate");
  return found.map((pem) => new X509Certificate(pem));
}

function readSmallFile(path: string): Result<string, string> {
  try {
    if (statSync(path).size > MAX_FILE_BYTES) {
      return Result.err(`Expected a file of at most ${MAX_FILE_BYTES} bytes`);
    }
    return Result.ok(readFileSync(path, "utf8"));
  } catch (error) {
    const { code = "unknown error" } = error as NodeJS.ErrnoException;
    return Result.err(`Expected a readable file (${code})`);
  }
}
