import { gzipSync } from "node:zlib";
import { type Catalog, configurationUpdateFrom } from "@tanagercove/catalog";

/** Compression level for JSON between daemons; higher levels take several times as long and save little. */
const GZIP_LEVEL = 1;

/** Shorter JSON is sent as it is, since compressing it costs more than it saves. */
const MIN_GZIP_BYTES = 1_024;

/** The body of a JSON response to another daemon. */
export interface JsonBody {
  readonly bytes: Buffer;
  readonly isGzip: boolean;
}

/** Encodes the body of a response to another daemon. */
export function encodeJson(value: unknown): JsonBody {
  const json = Buffer.from(JSON.stringify(value));
  return json.length < MIN_GZIP_BYTES
    ? { bytes: json, isGzip: false }
    : { bytes: gzipSync(json, { level: GZIP_LEVEL }), isGzip: true };
}

/**
 * Encoded configuration updates for other daemons. Most of them ask from the
 * same held version after a change, so each update to the version in force is
 * computed once.
 */
export class ConfigurationResponses {
  readonly #catalog: Catalog;
  readonly #bodyByHeldVersion = new Map<number, JsonBody>();
  #version = 0;

  constructor(catalog: Catalog) {
    this.#catalog = catalog;
  }

  /** Update for a daemon that holds a version, which is 0 for none; undefined if nothing newer is in force. */
  bodyFor(heldVersion: number): JsonBody | undefined {
    const { version } = this.#catalog;
    if (heldVersion >= version) return undefined;
    if (version !== this.#version) {
      this.#bodyByHeldVersion.clear();
      this.#version = version;
    }
    // All versions that are not kept get the same update, the whole configuration.
    const key = this.#catalog.keptVersion(heldVersion)?.version ?? 0;
    const known = this.#bodyByHeldVersion.get(key);
    if (known !== undefined) return known;
    const body = encodeJson(configurationUpdateFrom(this.#catalog, key));
    this.#bodyByHeldVersion.set(key, body);
    return body;
  }
}
