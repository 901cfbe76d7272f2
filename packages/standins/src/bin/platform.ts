#!/usr/bin/env node
/**
 * Entry point of the platform stand-in:
 * `platform --kv-port 2379 --http-port 9009 [--list-lag-ms 0]`.
 */
import {parseArgs} from 'node:util';
import {createPlatformStandIn} from '../store/PlatformStandIn.js';

const {values} = parseArgs({
  options: {
    'kv-port': {type: 'string', default: '0'},
    'http-port': {type: 'string', default: '0'},
    'list-lag-ms': {type: 'string', default: '0'},
  },
});

const standIn = await createPlatformStandIn({
  keyValuePort: Number(values['kv-port']),
  httpPort: Number(values['http-port']),
  listLagMs: Number(values['list-lag-ms']),
});

// The parent process reads the addresses from this line.
console.log(
  JSON.stringify({
    msg: 'platform stand-in ready',
    keyValueAddress: standIn.keyValueAddress,
    httpUrl: standIn.httpUrl,
  }),
);

function stop(): void {
  void standIn.close().then(() => process.exit(0));
}

process.once('SIGTERM', stop);
process.once('SIGINT', stop);
