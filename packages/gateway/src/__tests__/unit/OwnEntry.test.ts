import {createProcessRandom, delay} from '@toucanrouter/common';
import {createLogger} from '@toucanrouter/logging';
import {expect} from 'chai';
import {okAsync} from 'neverthrow';
import {createGateway} from '../../Gateway.js';
import type {StateChange, StateStore} from '../../state/StateStore.js';
import {createConfig} from './GatewayFixtures.js';
import {
  clock,
  createSettings,
  readinessPath,
} from './RunningGatewayFixtures.js';
import {testDialect} from './TestDialect.js';
import {emptyOriginStore} from './StreamOriginFixtures.js';

const configItem = {key: 'config', value: ''};
const ownKey = 'own';

describe('The entry of a running instance', () => {
  // Guards against an instance that stays missing in the list while the renewals
  // of its lease succeed: its entry had been put under the lease of another one.
  it('is written again when it is gone from the store', async () => {
    const settings = await createSettings();
    const {instanceId} = settings;
    let revision = 1;
    let registerCount = 0;
    let removed = false;
    const decode = (key: string, value: string | undefined): StateChange => {
      if (key !== ownKey) return {kind: 'config', config: createConfig()};
      return value === undefined
        ? {kind: 'peer_removed', id: instanceId}
        : {kind: 'peer', entry: {instanceId, address: settings.peers}};
    };
    const store: StateStore = {
      ...emptyOriginStore,
      decode: ({key, value}) => decode(key, value),
      readAll: () =>
        okAsync({revision, items: [configItem, {key: ownKey, value: ''}]}),
      readChanges: after => {
        const isNews = removed && after < revision;
        const items = isNews ? [{key: ownKey, value: undefined}] : [];
        return okAsync({revision, items});
      },
      readConfig: () => okAsync({revision, items: [configItem]}),
      readUpstream: () => okAsync(undefined),
      register: () => {
        registerCount += 1;
        return okAsync({id: registerCount});
      },
      renew: () => okAsync({exists: true}),
      saveVerdict: () => okAsync(undefined),
      removeVerdict: () => okAsync(undefined),
    };
    const gateway = createGateway({
      settings,
      clock,
      logger: createLogger({
        format: 'json',
        level: 'error',
        instanceId,
        write: () => undefined,
      }),
      random: createProcessRandom(),
      dialect: testDialect,
      store,
      readinessPath,
    });
    await gateway.start();
    await delay(clock, 200);
    expect(registerCount).to.equal(1);
    revision += 1;
    removed = true;
    await delay(clock, 2_500);
    expect(registerCount).to.equal(2);
    await gateway.close();
  });
});
