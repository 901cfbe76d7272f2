/**
 * Writes the settings files of router instances.
 */
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';

export interface RouterAddresses {
  readonly name: string;
  readonly callers: string;
  readonly admin: string;
  readonly peers: string;
  readonly failureDomain: string;
}

/** Settings that all router instances of a deployment share. */
export interface RouterFilesOptions {
  readonly directory: string;
  readonly region: string;
  readonly keyValueAddress: string;
  readonly instanceListUrl: string;
  readonly logLevel: string;
}

/** Writer token that deployments use for configuration changes. */
export const writerToken = 'deployment-writer';

/** Writes the token files and one settings file for each router. */
export function writeRouterFiles(
  options: RouterFilesOptions,
  routers: readonly RouterAddresses[],
): void {
  writeFileSync(join(options.directory, 'writer.token'), `${writerToken}\n`);
  writeFileSync(join(options.directory, 'reader.token'), 'deployment-reader\n');
  for (const router of routers) {
    const peerRouters = routers.filter(other => other !== router);
    const seeds = peerRouters.map(other => other.peers);
    const file = settingsFileOf(options.directory, router.name);
    writeFileSync(file, settingsText(options, router, seeds));
  }
}

export function settingsFileOf(directory: string, name: string): string {
  return join(directory, `${name}.ini`);
}

function settingsText(
  options: RouterFilesOptions,
  router: RouterAddresses,
  seeds: readonly string[],
): string {
  return `[instance]
id = ${router.name}
region = ${options.region}
failure_domain = ${router.failureDomain}

[listen]
callers = ${router.callers}
admin = ${router.admin}
peers = ${router.peers}

[platform]
key_value = ${options.keyValueAddress}
instance_list = ${options.instanceListUrl}
instance_list_poll = 500ms

[peers]
seeds = ${seeds.join(', ')}

[admin]
reader_token_file = reader.token
writer_token_file = writer.token

[log]
level = ${options.logLevel}
`;
}
