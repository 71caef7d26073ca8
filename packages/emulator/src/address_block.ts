import { createServer } from "node:net";
import { listen } from "./listen.ts";

/** Loopback addresses that one fleet has to itself among all test processes of the machine. */
export interface AddressBlock {
  /** Address that a VM publishes; zones count from 0 to 14, VMs from 1 to 254. */
  publishedAddress(place: VmPlace): string;
  /** Address that the VM's daemon and upstream listen on. */
  listenAddress(place: VmPlace): string;
  /** Address under which the platform is published. */
  readonly platform: string;
  close(): Promise<void>;
}

/** Place of a VM in a block. */
export interface VmPlace {
  readonly zone: number;
  readonly vm: number;
}

const BLOCKS = 16;
const ZONES_PER_BLOCK = 16;
const LOCK_PORT = 7_999;

/** Claims a free block by listening on the address that stands for it. */
export async function claimAddressBlock(): Promise<AddressBlock> {
  for (let block = 0; block < BLOCKS; block += 1) {
    const lock = createServer();
    try {
      await listen(lock, { host: `127.29.0.${block + 1}`, port: LOCK_PORT });
    } catch {
      continue;
    }
    const third = (zone: number) => block * ZONES_PER_BLOCK + zone;
    return {
      publishedAddress: ({ zone, vm }) => `127.30.${third(zone)}.${vm}`,
      listenAddress: ({ zone, vm }) => `127.31.${third(zone)}.${vm}`,
      platform: `127.30.${third(ZONES_PER_BLOCK - 1)}.1`,
      close: () => new Promise((resolve) => lock.close(() => resolve())),
    };
  }
  throw new Error(`All ${BLOCKS} address blocks are in use`);
}
