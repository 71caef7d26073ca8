export { type LeavingNotice, NOTICE_EXPIRY_MS } from "./leaving_notices.ts";
export * from "./membership.ts";
export * from "./ports.ts";
export { rankByRendezvous } from "./rendezvous.ts";
export type { Suspicion } from "./suspicions.ts";
