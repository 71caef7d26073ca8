/** An IP address and a port. */
export interface Endpoint {
  readonly address: string;
  readonly port: number;
}
