import { command, option, optional, string } from "cmd-ts";
import { Result } from "true-myth";
import { type CommandResult, EXIT_CODES, usageError } from "../exit_codes.ts";
import { readSettingsFile } from "../settings_file.ts";
import { readTextFile } from "../text_file.ts";
import { type CheckedList, checkLists } from "./check_files.ts";

/** Arguments of `tanagercove check`; at least one has to be set. */
export interface CheckArgs {
  readonly settings?: string;
  readonly plans?: string;
  readonly allowances?: string;
}

/** `tanagercove check`: checks files without starting anything. */
export const checkCommand = command({
  name: "check",
  description: "Check a settings file and the two lists before they are used",
  examples: [
    {
      description: "Check both lists before publishing them",
      command:
        "tanagercove check --plans plans.txt --allowances allowances.txt",
    },
    {
      description: "Check a settings file",
      command: "tanagercove check --settings /etc/tanagercove.ini",
    },
  ],
  args: {
    settings: option({
      type: optional(string),
      long: "settings",
      description: "INI file of a daemon",
    }),
    plans: option({
      type: optional(string),
      long: "plans",
      description: "List of CUSTOMER = PLAN lines",
    }),
    allowances: option({
      type: optional(string),
      long: "allowances",
      description: "List of PLAN = SERVICE, SERVICE, ... lines",
    }),
  },
  handler: check,
});

/** Checks the files named by the arguments and reports all problems together. */
export async function check(args: CheckArgs): Promise<CommandResult> {
  const paths = [args.settings, args.plans, args.allowances].filter((path) =>
    path !== undefined
  );
  if (paths.length === 0) {
    return usageError(
      "Expected at least one of --settings, --plans and --allowances",
    );
  }
  const settings = args.settings === undefined
    ? Result.ok<undefined, readonly string[]>(undefined)
    : await readSettingsFile(args.settings);
  const plans = await readList(args.plans);
  const allowances = await readList(args.allowances);
  const unusable = [
    ...(settings.isErr ? settings.error : []),
    ...(plans.isErr ? [plans.error] : []),
    ...(allowances.isErr ? [allowances.error] : []),
  ];
  const { problems, warnings } = checkLists({
    plans: plans.unwrapOr(undefined),
    allowances: allowances.unwrapOr(undefined),
  });
  const errors = [...unusable, ...problems, ...warnings];
  if (unusable.length > 0) return { exitCode: EXIT_CODES.usage, errors };
  if (problems.length > 0) return { exitCode: EXIT_CODES.problemFound, errors };
  return {
    exitCode: EXIT_CODES.good,
    errors,
    output: paths.map((path) => `${path}: good`),
  };
}

async function readList(
  path: string | undefined,
): Promise<Result<CheckedList | undefined, string>> {
  if (path === undefined) return Result.ok(undefined);
  const text = await readTextFile(path);
  return text.map((text) => ({ path, text }));
}
