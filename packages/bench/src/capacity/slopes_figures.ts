import { type Figure, figuresAlong } from "./figure.ts";

/** Figures of the request path. Along `callsPerSecond` the slope is in milliseconds or bytes per call. */
export const SLOPES_FIGURES: readonly Figure[] = [
  ...figuresAlong("callsPerSecond", {
    "processor ms/s as the caller's daemon": "callerCpuMsPerSecond",
    "processor ms/s as the owner daemon": "ownerCpuMsPerSecond",
    "bytes/s between the daemons": "bytesPerSecondBetweenDaemons",
  }),
  ...figuresAlong("queuedRequests", {
    "resident bytes of the caller's daemon": "callerResidentBytes",
    "resident bytes of the owner daemon": "ownerResidentBytes",
  }),
  ...figuresAlong("connections", {
    "resident bytes by idle connections": "residentBytes",
  }),
];
