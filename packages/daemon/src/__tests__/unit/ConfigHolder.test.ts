import type {StoredConfig} from '@toucanrouter/common';
import {SettingsError, toInstanceId, toUpstreamId} from '@toucanrouter/common';
import {expect} from 'chai';
import fc from 'fast-check';
import {err, ok} from 'neverthrow';
import {createConfigHolder} from '../../fleet/ConfigHolder.js';
import {createUpstreamDirectory} from '../../fleet/UpstreamDirectory.js';
import {createLogger} from '@toucanrouter/logging';
import {upstreamInfo, shardId} from './SchedulingFixture.js';

function stored(version: number, classesText = ''): StoredConfig {
  return {
    version,
    writeId: `w${version}`,
    author: 'operator',
    changedAtWallMs: 0,
    classesText,
    drainedUpstreams: [],
  };
}

function createHolder() {
  const lines: string[] = [];
  const logger = createLogger({
    format: 'json',
    level: 'info',
    instanceId: toInstanceId('router-1'),
    write: line => lines.push(line),
  });
  const holder = createConfigHolder((text, file) => {
    if (text !== 'broken') return ok({classes: [], workspaces: []});
    const fault = {file, line: 1, message: 'bad priority'};
    return err(new SettingsError('config_invalid', [fault]));
  }, logger);
  return {holder, lines};
}

describe('createConfigHolder', () => {
  it('never reverts to a lower version, in whatever order versions arrive from the platform and peers', () => {
    fc.assert(
      fc.property(fc.array(fc.nat(20), {minLength: 1}), versions => {
        const {holder} = createHolder();
        const applied: number[] = [];
        holder.registerChangeHandler(config => applied.push(config.version));
        for (const version of versions) holder.offer(stored(version));
        const highest = Math.max(...versions);
        const sorted = [...applied].sort((a, b) => a - b);
        return (
          holder.inForce().version === highest &&
          JSON.stringify(applied) === JSON.stringify(sorted)
        );
      }),
      {seed: 2, numRuns: 200},
    );
  });

  it('keeps the version in force if a newer text cannot be parsed, and logs the fault', () => {
    const {holder, lines} = createHolder();
    holder.offer(stored(1));
    holder.offer(stored(2, 'broken'));
    expect(holder.inForce().version).to.equal(1);
    expect(lines.join('')).to.contain('bad priority');
  });
});

describe('createUpstreamDirectory', () => {
  it('keeps an upstream incarnation marked as leaving, although a stale list still shows it in service', () => {
    const directory = createUpstreamDirectory();
    const engine = upstreamInfo('e');
    directory.setListed([engine]);
    directory.markLeaving({upstreamId: engine.id, incarnation: 1});
    directory.setListed([]);
    directory.setListed([engine]);
    expect(directory.find(engine.id)?.leaving).to.equal(true);
    directory.setListed([{...engine, incarnation: 2}]);
    expect(directory.find(engine.id)?.leaving).to.equal(false);
  });

  it('removes drained upstreams from their shard and restores them after an undrain', () => {
    const directory = createUpstreamDirectory();
    directory.setListed([upstreamInfo('e')]);
    directory.setDrained([toUpstreamId('e')]);
    expect(directory.inShard(shardId)).to.have.length(0);
    directory.setDrained([]);
    expect(directory.inShard(shardId)).to.have.length(1);
  });
});
