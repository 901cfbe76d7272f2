import type {QueuedClass, QueuedRequests} from '@toucanrouter/common';
import {formatDuration, renderTable} from '@toucanrouter/report';
import {AdminCommand} from '../AdminCommand.js';

const columns = [
  {heading: 'CLASS'},
  {heading: 'PRIORITY', alignRight: true},
  {heading: 'SHARD'},
  {heading: 'QUEUED', alignRight: true},
  {heading: 'RUNNING', alignRight: true},
  {heading: 'OLDEST WAIT', alignRight: true},
  {heading: 'MAX WAIT', alignRight: true},
];

/** Shows queued and running requests by class. */
export class Requests extends AdminCommand {
  static override summary = 'Show queued requests by class and wait.';
  static override examples = ['<%= config.bin %> requests'];

  async run(): Promise<QueuedRequests> {
    const {flags} = await this.parse(Requests);
    const requests = await (await this.createClient(flags)).queuedRequests();
    this.log(
      requests.classes.length === 0
        ? 'no requests are queued or running'
        : renderTable(columns, requests.classes.map(toRow)),
    );
    if (requests.unanswered.length > 0) {
      this.log(`\nNo response from: ${requests.unanswered.join(', ')}`);
    }
    return requests;
  }
}

function toRow(entry: QueuedClass): readonly string[] {
  const {maxWaitMs} = entry;
  return [
    entry.classId,
    String(entry.tier),
    entry.shardId,
    String(entry.queued),
    String(entry.running),
    entry.queued === 0 ? '-' : formatDuration(entry.oldestWaitMs),
    maxWaitMs === undefined ? '-' : formatDuration(maxWaitMs),
  ];
}
