export * from "./key_files.ts";
export * from "./peer_transport.ts";
export { openTlsTransport, type TlsTransportOptions } from "./tls_transport.ts";
