import {Flags} from '@oclif/core';
import type {
  ConfigHistoryEntry,
  ConfigHistoryResponse,
} from '@toucanrouter/common';
import {formatTime, renderTable} from '@toucanrouter/report';
import {AdminCommand} from '../AdminCommand.js';
import {renderDifferences} from '../ConfigText.js';

const columns = [
  {heading: 'VERSION', alignRight: true},
  {heading: 'CHANGED AT'},
  {heading: 'AUTHOR'},
  {heading: 'CHANGES', alignRight: true},
  {heading: 'WRITE ID'},
];

/** Lists accepted changes. */
export class ConfigHistory extends AdminCommand {
  static override summary = 'List accepted changes, newest first.';
  static override examples = [
    '<%= config.bin %> config history',
    '<%= config.bin %> config history --limit 1 --changes',
  ];
  static override flags = {
    changes: Flags.boolean({
      description: 'also show the differences of each change',
    }),
    limit: Flags.integer({
      default: 20,
      description: 'maximum number of changes to list',
      max: 1000,
      min: 1,
    }),
  };

  async run(): Promise<ConfigHistoryResponse> {
    const {flags} = await this.parse(ConfigHistory);
    const client = await this.createClient(flags);
    const history = await client.configHistory(flags.limit);
    this.log(renderTable(columns, history.versions.map(toRow)));
    if (flags.changes)
      history.versions.forEach(entry => this.logChanges(entry));
    return history;
  }

  private logChanges({version, differences}: ConfigHistoryEntry): void {
    this.log(`\nVersion ${version}:`);
    this.log(
      differences === undefined
        ? 'the previous version is no longer stored'
        : renderDifferences(differences),
    );
  }
}

function toRow(entry: ConfigHistoryEntry): readonly string[] {
  return [
    String(entry.version),
    formatTime(entry.changedAtWallMs),
    entry.author,
    entry.differences === undefined ? '?' : String(entry.differences.length),
    entry.writeId,
  ];
}
