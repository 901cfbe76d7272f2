import {randomUUID} from 'node:crypto';
import {Args, Flags} from '@oclif/core';
import type {
  ConfigAcceptedResponse,
  ConfigInForceResponse,
} from '@toucanrouter/common';
import {AdminCommand, authorFlags} from '../AdminCommand.js';
import type {AdminClient} from '../AdminClient.js';
import type {ClassesInput} from '../ClassesInput.js';
import {readClassesInput} from '../ClassesInput.js';
import {renderDifferences, removeVersionLine} from '../ConfigText.js';
import {exitCodes} from '../ExitCodes.js';
import {ToolError} from '../ToolError.js';
import {waitUntilInForce} from '../WaitUntilInForce.js';

interface AppliedConfig extends ConfigAcceptedResponse {
  readonly inForce?: ConfigInForceResponse['inForce'];
}

/** Replaces the configuration by a classes file. */
export class ConfigApply extends AdminCommand {
  static override summary = 'Replace the configuration by a classes file.';
  static override description = `The file replaces exactly one version: the one on its first line, as "config show" writes it, or the one given by --expect. If another change was accepted in the meantime, nothing is changed, and its version and the differences are shown.

Exit codes: 0 accepted, 2 wrong usage, 3 token refused, 4 conflict, 5 outcome not yet known, 6 faults in the file, 7 no instance responds, 8 accepted but not in force everywhere within the timeout, 1 any other error.`;
  static override examples = [
    '<%= config.bin %> config apply classes.ini --wait',
    '<%= config.bin %> config apply first.ini --expect 0',
  ];
  static override args = {
    file: Args.string({required: true, description: 'classes file'}),
  };
  static override flags = {
    ...authorFlags,
    expect: Flags.integer({
      description: 'version to replace, if the file does not state it',
      min: 0,
    }),
    timeout: Flags.integer({
      default: 30,
      description: 'timeout of --wait in seconds',
      min: 1,
    }),
    wait: Flags.boolean({
      description: 'wait until the version is in force on every live instance',
    }),
  };

  async run(): Promise<AppliedConfig> {
    const {args, flags} = await this.parse(ConfigApply);
    const input = await readClassesInput(args.file);
    const client = await this.createClient(flags);
    const accepted = await client.applyConfig({
      classesText: removeVersionLine(input.classesText),
      fileName: args.file,
      expectedVersion: await resolveExpectedVersion(
        client,
        input,
        flags.expect,
      ),
      author: flags.author,
      writeId: randomUUID(),
    });
    this.logResult(accepted);
    if (!flags.wait) return accepted;
    return this.waitForVersion(client, accepted, flags.timeout);
  }

  private logResult({
    version,
    changed,
    differences,
  }: ConfigAcceptedResponse): void {
    if (!changed) {
      this.log(`unchanged: version ${version} already has this content`);
      return;
    }
    this.log(`accepted as version ${version}`);
    this.log(renderDifferences(differences));
  }

  private async waitForVersion(
    client: AdminClient,
    accepted: ConfigAcceptedResponse,
    timeoutSeconds: number,
  ): Promise<AppliedConfig> {
    this.logProgress(`waiting until version ${accepted.version} is in force`);
    const {inForce} = await waitUntilInForce(
      client,
      accepted.version,
      timeoutSeconds * 1000,
    );
    this.log(`in force at ${inForce.join(', ')}`);
    return {...accepted, inForce};
  }
}

async function resolveExpectedVersion(
  client: AdminClient,
  {version, fileName}: ClassesInput,
  flag: number | undefined,
): Promise<number> {
  const expected = flag ?? version;
  if (expected !== undefined) return expected;
  const current = await client.config();
  throw new ToolError(
    exitCodes.usage,
    `${fileName} does not state the version that it replaces`,
    {
      next: `review the differences with "toucanctl config diff ${fileName}", then add --expect ${current.version}`,
    },
  );
}
