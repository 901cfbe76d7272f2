import type {ConfigShowResponse} from '@toucanrouter/common';
import {AdminCommand} from '../AdminCommand.js';
import {addVersionLine} from '../ConfigText.js';

/** Shows the configuration in force. */
export class ConfigShow extends AdminCommand {
  static override summary = 'Show the classes file in force.';
  static override description =
    'The first line states the version. Keep it when you edit the file: "config apply" replaces only the version that you have seen.';
  static override examples = ['<%= config.bin %> config show > classes.ini'];

  async run(): Promise<ConfigShowResponse> {
    const {flags} = await this.parse(ConfigShow);
    const config = await (await this.createClient(flags)).config();
    if (!this.jsonEnabled()) process.stdout.write(addVersionLine(config));
    return config;
  }
}
