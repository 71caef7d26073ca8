import { Result } from "true-myth";
import type { ListenError } from "@tanagercove/errors";
import {
  createPlainTransport,
  openTlsTransport,
  type PeerTransport,
} from "@tanagercove/keys";
import type { Logger } from "@tanagercove/logs";
import type { Settings } from "@tanagercove/settings";

/** Options of `openPeerTransport`. */
export interface OpenPeerTransportOptions {
  readonly settings: Settings;
  readonly log: Logger;
}

/**
 * Creates the transport between daemons from the settings. With TLS it fails without usable keys, so that the
 * daemon opens no port.
 */
export function openPeerTransport(
  { settings: { daemon, peers }, log }: OpenPeerTransportOptions,
): Result<PeerTransport, ListenError> {
  if (peers.tls === "off") return Result.ok(createPlainTransport());
  const transport = openTlsTransport({
    mode: peers.tls,
    files: {
      caFile: peers.tlsCaFile ?? "",
      certificateFile: peers.tlsCertificateFile ?? "",
      keyFile: peers.tlsKeyFile ?? "",
    },
    vmId: daemon.vmId,
    address: daemon.address,
    reloadIntervalMs: peers.tlsReloadIntervalMs,
    log,
  });
  return transport.mapErr((problems) => ({
    kind: "other",
    address: daemon.address,
    port: daemon.peerPort,
    message: problems.map(({ file, message }) => `${file}: ${message}`)
      .join("; "),
  }));
}
