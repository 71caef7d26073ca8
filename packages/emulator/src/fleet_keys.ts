import { rename, writeFile } from "node:fs/promises";
import { join } from "node:path";
import {
  type CertificateAuthority,
  createCertificateAuthority,
} from "./certificate_authority.ts";
import type { FleetVm } from "./daemon_process.ts";
import type { IniSections } from "./settings_file.ts";

/** TLS modes between the daemons of a fleet. */
export type FleetTls = "optional" | "required";

/** Writes the key files of a fleet's daemons. The daemons reload changed files periodically. */
export class FleetKeys {
  readonly #folder: string;
  readonly #vms: readonly FleetVm[];
  #authority: CertificateAuthority | undefined;

  constructor(folder: string, vms: readonly FleetVm[]) {
    this.#folder = folder;
    this.#vms = vms;
  }

  /** TLS settings of a VM's daemon. */
  settingsFor({ vm: { id } }: FleetVm, tls: FleetTls): IniSections {
    return {
      peers: {
        tls,
        tls_ca_file: this.#path("ca"),
        tls_certificate_file: this.#path(id),
        tls_key_file: this.#path(`${id}.key`),
        tls_reload_interval_ms: 200,
      },
    };
  }

  /** The CA that issued the newest certificates. */
  get authority(): CertificateAuthority {
    if (this.#authority === undefined) throw new Error("No keys issued yet");
    return this.#authority;
  }

  /**
   * Issues a certificate to each VM. Without `authority`, a new CA issues them and replaces the trusted
   * CAs; a given CA is not added to the trusted ones.
   */
  async issue(authority?: CertificateAuthority): Promise<void> {
    const issuer = authority ?? await createCertificateAuthority();
    this.#authority = issuer;
    if (authority === undefined) await this.trust([issuer]);
    await Promise.all(this.#vms.map(async ({ vm, address }) => {
      const { certificate, key } = await issuer.issue({
        vmId: vm.id,
        addresses: [...new Set([vm.address, address ?? vm.address])],
      });
      await this.#replace(`${vm.id}.key`, key);
      await this.#replace(vm.id, certificate);
    }));
  }

  /** Replaces the CAs that all daemons trust. */
  async trust(authorities: readonly CertificateAuthority[]): Promise<void> {
    const text = authorities.map(({ certificate }) => certificate).join("\n");
    await this.#replace("ca", text);
  }

  async #replace(name: string, text: string): Promise<void> {
    await writeFile(`${this.#path(name)}.new`, text, { mode: 0o600 });
    await rename(`${this.#path(name)}.new`, this.#path(name));
  }

  #path(name: string): string {
    return join(this.#folder, `${name}.pem`);
  }
}
