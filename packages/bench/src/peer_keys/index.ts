import { command, number, option } from "cmd-ts";
import { runPeerKeys } from "./run_peer_keys.ts";

/** `bench peer-keys`: what mutual TLS between daemons costs in time, processor time and bytes. */
export const peerKeysCommand = command({
  name: "peer-keys",
  description:
    "Compare a fleet without TLS between daemons and a fleet with it",
  args: {
    seed: option({ type: number, long: "seed", defaultValue: () => 1 }),
    restMs: option({
      type: number,
      long: "rest-ms",
      defaultValue: () => 10_000,
    }),
    loadMs: option({
      type: number,
      long: "load-ms",
      defaultValue: () => 6_000,
    }),
  },
  handler: runPeerKeys,
});
