import type { Settings } from "./key_table.ts";
import type {
  KeyFileProblem,
  ParseSettingsOptions,
  SettingsProblem,
} from "./settings.ts";

const KEY_BY_FILE: Readonly<Record<KeyFileProblem["file"], string>> = {
  caFile: "tls_ca_file",
  certificateFile: "tls_certificate_file",
  keyFile: "tls_key_file",
};

/**
 * Finds TLS files that are not set or not usable. The settings may be incomplete: a key whose value is missing
 * or invalid is undefined.
 */
export function findKeyProblems(
  { daemon, peers }: Settings,
  checkKeyFiles: NonNullable<ParseSettingsOptions["checkKeyFiles"]>,
): readonly SettingsProblem[] {
  const { tls } = peers;
  if (tls === undefined || tls === "off") return [];
  const files = {
    caFile: peers.tlsCaFile,
    certificateFile: peers.tlsCertificateFile,
    keyFile: peers.tlsKeyFile,
  };
  const missing = Object.entries(files).flatMap(([file, path]) =>
    path === undefined
      ? [{
        file: file as KeyFileProblem["file"],
        message: `Expected an absolute path, because \`tls\` is \`${tls}\``,
      }]
      : []
  );
  const { caFile = "", certificateFile = "", keyFile = "" } = files;
  const unusable = checkKeyFiles({
    vmId: daemon.vmId ?? "",
    address: daemon.address ?? "",
    caFile,
    certificateFile,
    keyFile,
  });
  const isMissing = (file: string) =>
    missing.some((problem) => problem.file === file);
  return [...missing, ...unusable.filter(({ file }) => !isMissing(file))].map(
    ({ file, message }) => ({
      section: "peers",
      key: KEY_BY_FILE[file],
      value: files[file] ?? "",
      message,
    }),
  );
}
