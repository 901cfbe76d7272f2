import {readFileSync} from 'node:fs';
import {createSystemClock} from '@toucanrouter/common';
import {createConfigStore, createKeyValueClient} from '@toucanrouter/keyvalue';
import {expect} from 'chai';
import {
  findDaemonPorts,
  startDaemonProcess,
  waitUntil,
} from './DaemonFixtures.js';

const classesText = readFileSync(
  new URL('../../../../../samples/plamenik.classes.ini', import.meta.url),
  'utf8',
);

/** Creates the operators' own access to the key-value service. */
function createOperator(address: string) {
  const clock = createSystemClock();
  const client = createKeyValueClient({address, timeoutMs: 2000, clock});
  let writes = 0;
  const store = createConfigStore({
    store: client,
    clock,
    createWriteId: () => `operator-${++writes}`,
  });
  return {
    change: async (expectedVersion: number) => {
      const change = {author: 'a', classesText, drainedUpstreams: []};
      const result = await store.change({...change, expectedVersion});
      expect(result._unsafeUnwrap().kind).to.equal('accepted');
    },
    storedVersion: async () => (await store.read())._unsafeUnwrap()?.version,
    close: client.close,
  };
}

async function metricOf(port: number, name: string): Promise<string> {
  const response = await fetch(`http://127.0.0.1:${port}/metrics`);
  const lines = (await response.text()).split('\n');
  return lines.find(line => line.startsWith(`${name} `)) ?? '';
}

describe('daemon whose store comes back from a copy', () => {
  // Guards against an instance that doesn't notice, so that the version in
  // force stays lost and operators can't tell that a drill took place.
  it('writes its configuration again, follows changes and says so', async () => {
    const daemon = await startDaemonProcess(await findDaemonPorts());
    const {platform, ports} = daemon;
    const operator = createOperator(platform.keyValueAddress);
    const isInForce = (version: number) => async () =>
      (await metricOf(ports.admin, 'toucanrouter_config_version')).endsWith(
        ` ${version}`,
      );
    try {
      await waitUntil(async () => (await daemon.readiness()) === '200 ready\n');
      await operator.change(0);
      const copy = platform.copyStore();
      await operator.change(1);
      expect(await waitUntil(isInForce(2))).to.equal(true);
      platform.restoreStore(copy);
      expect(
        await waitUntil(async () => (await operator.storedVersion()) === 2),
      ).to.equal(true);
      await operator.change(2);
      expect(await waitUntil(isInForce(3))).to.equal(true);
      expect(daemon.output()).to.include(
        'the key-value service came back from a copy',
      );
      expect(daemon.output()).to.include('configuration was written again');
      expect(
        await metricOf(ports.admin, 'toucanrouter_store_histories'),
      ).to.equal('toucanrouter_store_histories 2');
    } finally {
      operator.close();
      await daemon.close();
    }
  });
});
