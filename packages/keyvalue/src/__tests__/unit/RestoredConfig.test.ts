import type {StoredConfig} from '@toucanrouter/common';
import {createManualClock} from '@toucanrouter/common';
import {createControlledKeyValue} from '@toucanrouter/standins';
import {expect} from 'chai';
import type {ConfigChangeResult} from '../../index.js';
import {createConfigStore} from '../../index.js';

const configKey = '/toucanrouter/config';

const flushPromises = () => new Promise(resolve => setImmediate(resolve));

function request(expectedVersion: number, classesText: string) {
  return {expectedVersion, classesText, drainedUpstreams: [], author: 'a'};
}

/** Creates a platform with instances that keep the newest configuration. */
function createFleet() {
  const platform = createControlledKeyValue();
  const clock = createManualClock();
  let writes = 0;

  function addInstance(name: string) {
    let inForce: StoredConfig | undefined;
    const store = createConfigStore({
      store: platform.storeFor(name),
      clock,
      createWriteId: () => `w${++writes}`,
      inForce: () => inForce,
    });

    function offer(config: StoredConfig): void {
      if (config.version > (inForce?.version ?? 0)) inForce = config;
    }

    return {
      store,
      offer,
      inForce: () => inForce,
      watch: () => store.watchConfig(offer),
    };
  }

  async function settle(): Promise<void> {
    for (let i = 0; i < 20; i++) {
      for (const call of platform.pending()) call.respond();
      await flushPromises();
      clock.advance(500);
    }
  }

  async function change(
    instance: ReturnType<typeof addInstance>,
    expectedVersion: number,
    text: string,
  ): Promise<ConfigChangeResult> {
    clock.advance(1000);
    const result = instance.store.change(request(expectedVersion, text));
    await settle();
    return (await result)._unsafeUnwrap();
  }

  function stored(): StoredConfig | undefined {
    const entry = platform.state.get(configKey);
    return entry && (JSON.parse(entry.value.toString()) as StoredConfig);
  }

  return {platform, addInstance, settle, change, stored};
}

describe('configuration in a store that comes back from a copy', () => {
  // Guards against an accepted version that only instances know, on top of
  // which no operator can change anything.
  it('writes the version in force again when the copy holds an older one', async () => {
    const {addInstance, change, platform, settle, stored} = createFleet();
    const instance = addInstance('i');
    const stop = instance.watch();
    await change(instance, 0, 'first');
    const copy = platform.state.copy();
    await change(instance, 1, 'second');
    expect(instance.inForce()?.classesText).to.equal('second');
    platform.state.restore(copy);
    await settle();
    expect(stored()).to.include({version: 2, classesText: 'second'});
    expect(instance.inForce()?.classesText).to.equal('second');
    stop();
  });

  // Guards against a configuration that is lost because the copy has none.
  it('writes the version in force again when the copy holds none', async () => {
    const {addInstance, change, platform, settle, stored} = createFleet();
    const instance = addInstance('i');
    const stop = instance.watch();
    const copy = platform.state.copy();
    await change(instance, 0, 'first');
    platform.state.restore(copy);
    await settle();
    expect(stored()).to.include({version: 1, classesText: 'first'});
    stop();
  });

  // Guards against a change that is accepted under a number that the fleet has
  // seen already, so that no instance ever applies it.
  it('brings a change into force that was made on the older version', async () => {
    const {addInstance, change, platform, settle} = createFleet();
    const instance = addInstance('i');
    const newcomer = addInstance('n');
    await change(instance, 0, 'first');
    const copy = platform.state.copy();
    instance.offer({...(await acceptedBy(change(instance, 1, 'lost')))});
    platform.state.restore(copy);
    await change(newcomer, 1, 'after the drill');
    const stop = instance.watch();
    await settle();
    expect(instance.inForce()).to.include({
      version: 3,
      classesText: 'after the drill',
    });
    stop();
  });

  // Guards against an operator who is refused because the store is behind.
  it('accepts a change on the version in force while the store is behind', async () => {
    const {addInstance, change, platform, stored} = createFleet();
    const instance = addInstance('i');
    await change(instance, 0, 'first');
    const copy = platform.state.copy();
    instance.offer(await acceptedBy(change(instance, 1, 'second')));
    platform.state.restore(copy);
    const result = await change(instance, 2, 'third');
    expect(result.kind).to.equal('accepted');
    expect(stored()).to.include({version: 3, classesText: 'third'});
  });

  // Guards against a compare that holds against another value, because its
  // revision was given out again.
  it('does not replace a configuration that another history has at the same revision', async () => {
    const {addInstance, change, platform, settle, stored} = createFleet();
    const [operator, other] = [addInstance('o'), addInstance('p')];
    await change(other, 0, 'first');
    const copy = platform.state.copy();
    await change(other, 1, 'lost');
    const late = operator.store.change(request(2, 'late'));
    platform
      .pending()
      .find(({client}) => client === 'o')
      ?.respond();
    await flushPromises();
    platform.state.restore(copy);
    const write = platform.pending().find(({client}) => client === 'o');
    const accepted = other.store.change(request(1, 'kept'));
    for (let i = 0; i < 4; i++) {
      for (const call of platform.pending()) {
        if (call !== write) call.respond();
      }
      await flushPromises();
    }
    expect((await accepted)._unsafeUnwrap().kind).to.equal('accepted');
    write?.respond();
    await settle();
    expect((await late)._unsafeUnwrap().kind).to.equal('conflict');
    expect(stored()?.classesText).to.equal('kept');
  });
});

async function acceptedBy(
  change: Promise<ConfigChangeResult>,
): Promise<StoredConfig> {
  const result = await change;
  if (result.kind === 'accepted') return result.config;
  throw new Error(`the change was not accepted but ended as ${result.kind}`);
}
