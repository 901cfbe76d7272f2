import type {FleetStatus} from '@toucanrouter/common';
import {renderTable} from '@toucanrouter/report';
import {AdminCommand} from '../AdminCommand.js';

/** Shows instances, shards and upstreams. */
export class Status extends AdminCommand {
  static override summary = 'Show instances, shards and upstreams.';
  static override examples = ['<%= config.bin %> status'];

  async run(): Promise<FleetStatus> {
    const {flags} = await this.parse(Status);
    const status = await (await this.createClient(flags)).status();
    this.log(renderInstances(status));
    this.log(`\n${renderShards(status)}`);
    this.log(`\n${renderUpstreams(status)}`);
    if (status.unanswered.length > 0) {
      this.log(`\nNo response from: ${status.unanswered.join(', ')}`);
    }
    return status;
  }
}

function renderInstances({instances}: FleetStatus): string {
  const columns = [
    {heading: 'INSTANCE'},
    {heading: 'REGION'},
    {heading: 'FAILURE DOMAIN'},
    {heading: 'STATE'},
    {heading: 'CONFIG', alignRight: true},
  ];
  const rows = instances.map(entry => [
    entry.instanceId,
    entry.region,
    entry.failureDomain,
    entry.state,
    String(entry.configVersion),
  ]);
  return renderTable(columns, rows);
}

function renderShards({shards}: FleetStatus): string {
  const right = (heading: string) => ({heading, alignRight: true});
  const columns = [
    {heading: 'SHARD'},
    {heading: 'SCHEDULER'},
    right('QUEUED'),
    right('RUNNING'),
    right('GRANTED'),
    right('REFUSED'),
    right('PREEMPTED'),
    right('HEDGED'),
    right('WASTED TOKENS'),
  ];
  const rows = shards.map(({shardId, scheduler, queues, counters}) => [
    shardId,
    scheduler,
    String(queues.reduce((sum, {queued}) => sum + queued, 0)),
    String(queues.reduce((sum, {running}) => sum + running, 0)),
    String(counters.granted),
    String(counters.refused),
    String(counters.preempted),
    String(counters.hedged),
    String(counters.wastedTokens),
  ]);
  return renderTable(columns, rows);
}

function renderUpstreams({upstreams}: FleetStatus): string {
  const columns = [
    {heading: 'UPSTREAM'},
    {heading: 'KIND'},
    {heading: 'SERVES'},
    {heading: 'FAILURE DOMAIN'},
    {heading: 'STATE'},
    {heading: 'RUNNING', alignRight: true},
    {heading: 'LIMIT', alignRight: true},
    {heading: 'REASON'},
  ];
  const rows = upstreams.map(entry => [
    entry.upstreamId,
    entry.kind,
    entry.serves,
    entry.failureDomain,
    entry.drained ? `${entry.state}, drained` : entry.state,
    String(entry.inFlight),
    String(entry.limit),
    entry.reason,
  ]);
  return renderTable(columns, rows);
}
