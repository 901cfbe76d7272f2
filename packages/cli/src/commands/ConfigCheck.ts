import {Args, Flags} from '@oclif/core';
import type {ConfigDifference} from '@toucanrouter/common';
import type {ConfigChange} from '@toucanrouter/gateway';
import type {LocatedFinding} from '@toucanrouter/platform';
import {checkConfig, decodeConfig} from '@toucanrouter/platform';
import {diffConfigs, parseClasses} from '@toucanrouter/settings';
import {AdminCommand, readOperatorFile} from '../AdminCommand.js';
import {readClassesInput} from '../ClassesInput.js';
import {
  renderChanges,
  renderDifferences,
  renderFindings,
} from '../ConfigText.js';
import {exitCodes} from '../ExitCodes.js';
import {ToolError} from '../ToolError.js';

/** The result of a check. */
interface CheckResult {
  readonly findings: readonly LocatedFinding[];
  readonly changes: readonly ConfigChange[];
  readonly differences: readonly ConfigDifference[];
}

const noResult: CheckResult = {findings: [], changes: [], differences: []};

/** Checks a file without an instance, unless it is compared with one. */
export class ConfigCheck extends AdminCommand {
  static override summary =
    'Check a configuration before it is applied or written to the platform.';
  static override description =
    'Reads a classes file or, if the file holds a JSON object, the configuration that operators write to the store of a platform. Exits with 0 without errors, 6 with errors, 2 if the file cannot be read.';
  static override examples = [
    '<%= config.bin %> config check classes.ini',
    '<%= config.bin %> config check new.json --against in-force.json',
  ];
  static override args = {
    file: Args.string({
      required: true,
      description: 'classes file, or JSON configuration of a platform',
    }),
  };
  static override flags = {
    against: Flags.string({
      description:
        'file to compare with, or "in-force" for the version at --address',
    }),
  };

  async run(): Promise<CheckResult> {
    const {args, flags} = await this.parse(ConfigCheck);
    const text = await readOperatorFile(args.file);
    const result = text.trimStart().startsWith('{')
      ? await this.checkPlatformConfig(args.file, text, flags.against)
      : await this.checkClasses(args.file, flags);
    this.log(renderFindings(args.file, result.findings));
    if (flags.against !== undefined) {
      this.log(`Differences from ${flags.against} to ${args.file}:`);
      this.log(renderChanges(result.changes));
      if (result.differences.length > 0) {
        this.log(renderDifferences(result.differences));
      }
    }
    if (result.findings.some(({severity}) => severity === 'error')) {
      process.exitCode = exitCodes.invalid;
    }
    return result;
  }

  private async checkPlatformConfig(
    file: string,
    text: string,
    against: string | undefined,
  ): Promise<CheckResult> {
    const inForce =
      against === undefined
        ? undefined
        : this.decode(against, await readOperatorFile(against));
    const checked = checkConfig(text, inForce);
    if (checked.isErr()) throw this.invalid(file, checked.error);
    return {...noResult, ...checked.value};
  }

  private decode(file: string, text: string) {
    const decoded = decodeConfig(text);
    if (decoded.isErr()) throw this.invalid(file, decoded.error);
    return decoded.value;
  }

  private invalid(file: string, message: string): ToolError {
    return new ToolError(exitCodes.invalid, `${file}: ${message}`, {
      next: 'correct the file; nothing was sent',
    });
  }

  /** The parser reports all faults of a classes file as errors. */
  private async checkClasses(
    file: string,
    flags: Parameters<AdminCommand['createClient']>[0] & {
      readonly against?: string | undefined;
    },
  ): Promise<CheckResult> {
    const {against} = flags;
    const {classesText, fileName} = await readClassesInput(file);
    if (against === undefined) return noResult;
    if (against === 'in-force') {
      const client = await this.createClient(flags);
      const {differences} = await client.diffConfig({classesText, fileName});
      return {...noResult, differences};
    }
    const before = await readClassesInput(against);
    const toCompared = (text: string, name: string) => ({
      ...parseClasses(text, name)._unsafeUnwrap(),
      drainedUpstreams: [],
    });
    const differences = diffConfigs(
      toCompared(before.classesText, against),
      toCompared(classesText, file),
    );
    return {...noResult, differences};
  }
}
