import {randomUUID} from 'node:crypto';
import {Args} from '@oclif/core';
import type {ConfigAcceptedResponse} from '@toucanrouter/common';
import type {AdminClient} from '../AdminClient.js';
import {AdminCommand, authorFlags} from '../AdminCommand.js';

const upstreamArgs = {
  upstream: Args.string({
    required: true,
    description: 'id of the upstream, as "status" shows it',
  }),
};

/** Stops sending new work to an upstream. */
export class UpstreamDrain extends AdminCommand {
  static override summary = 'Send no new work to an upstream.';
  static override description =
    'Work in progress completes there. A drain is a change of the configuration and lasts until "upstream undrain".';
  static override examples = ['<%= config.bin %> upstream drain engine-3'];
  static override args = upstreamArgs;
  static override flags = authorFlags;

  async run(): Promise<ConfigAcceptedResponse> {
    const {args, flags} = await this.parse(UpstreamDrain);
    const client = await this.createClient(flags);
    const accepted = await requestChange(
      client,
      args.upstream,
      'drain',
      flags.author,
    );
    this.log(describeResult(args.upstream, 'drained', accepted));
    return accepted;
  }
}

/** Resumes sending new work to a drained upstream. */
export class UpstreamUndrain extends AdminCommand {
  static override summary = 'Send new work to a drained upstream again.';
  static override examples = ['<%= config.bin %> upstream undrain engine-3'];
  static override args = upstreamArgs;
  static override flags = authorFlags;

  async run(): Promise<ConfigAcceptedResponse> {
    const {args, flags} = await this.parse(UpstreamUndrain);
    const client = await this.createClient(flags);
    const accepted = await requestChange(
      client,
      args.upstream,
      'undrain',
      flags.author,
    );
    this.log(describeResult(args.upstream, 'undrained', accepted));
    return accepted;
  }
}

function requestChange(
  client: AdminClient,
  upstreamId: string,
  action: 'drain' | 'undrain',
  author: string,
): Promise<ConfigAcceptedResponse> {
  const request = {author, writeId: randomUUID()};
  return client.changeUpstream(upstreamId, action, request);
}

function describeResult(
  upstreamId: string,
  state: 'drained' | 'undrained',
  {version, changed}: ConfigAcceptedResponse,
): string {
  return changed
    ? `${upstreamId} is ${state} as of version ${version}`
    : `unchanged: ${upstreamId} is ${state} already`;
}
