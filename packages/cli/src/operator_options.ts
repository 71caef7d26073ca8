import { flag, option, optional, string } from "cmd-ts";

/** Options of the commands that query a running daemon. */
export const OPERATOR_OPTIONS = {
  operator: option({
    type: optional(string),
    long: "operator",
    description: "IP:PORT of the operators' port",
  }),
  settings: option({
    type: optional(string),
    long: "settings",
    description: "INI file that names the operators' port",
  }),
  json: flag({ long: "json", description: "Write JSON on one line" }),
};
