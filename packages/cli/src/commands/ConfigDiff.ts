import {Args} from '@oclif/core';
import type {ConfigDiffResponse} from '@toucanrouter/common';
import {AdminCommand} from '../AdminCommand.js';
import {readClassesInput} from '../ClassesInput.js';
import {renderDifferences} from '../ConfigText.js';

/** Compares a classes file with the configuration in force. */
export class ConfigDiff extends AdminCommand {
  static override summary =
    'Show what a classes file would change, without applying it.';
  static override examples = ['<%= config.bin %> config diff classes.ini'];
  static override args = {
    file: Args.string({required: true, description: 'classes file'}),
  };

  async run(): Promise<ConfigDiffResponse> {
    const {args, flags} = await this.parse(ConfigDiff);
    const {classesText, fileName} = await readClassesInput(args.file);
    const client = await this.createClient(flags);
    const diff = await client.diffConfig({classesText, fileName});
    this.log(
      `Differences from version ${diff.version} in force to ${args.file}:`,
    );
    this.log(renderDifferences(diff.differences));
    return diff;
  }
}
