import { createServer } from "node:net";
import { listen } from "./listen.ts";

/** Loopback addresses reserved for one fleet among all test processes on the machine. */
export interface AddressBlock {
  /** Address published for a VM; zones are numbered from 0 to 14, VMs from 1 to 254. */
  publishedAddress(position: VmPosition): string;
  /** Address that the VM's daemon and upstream listen on. */
  listenAddress(position: VmPosition): string;
  /** Published address of the platform. */
  readonly platform: string;
  close(): Promise<void>;
}

/** Position of a VM in a block. */
export interface VmPosition {
  readonly zone: number;
  readonly vm: number;
}

const BLOCKS = 16;
const ZONES_PER_BLOCK = 16;
const LOCK_PORT = 7_999;

/** Claims a free block by listening on its lock address. */
export async function claimAddressBlock(): Promise<AddressBlock> {
  for (let block = 0; block < BLOCKS; block += 1) {
    const lock = createServer();
    try {
      await listen(lock, { host: `127.29.0.${block + 1}`, port: LOCK_PORT });
    } catch {
      continue;
    }
    const thirdOctet = (zone: number) => block * ZONES_PER_BLOCK + zone;
    return {
      publishedAddress: ({ zone, vm }) => `127.30.${thirdOctet(zone)}.${vm}`,
      listenAddress: ({ zone, vm }) => `127.31.${thirdOctet(zone)}.${vm}`,
      platform: `127.30.${thirdOctet(ZONES_PER_BLOCK - 1)}.1`,
      close: () => new Promise((resolve) => lock.close(() => resolve())),
    };
  }
  throw new Error(`None of ${BLOCKS} address blocks could be claimed`);
}
