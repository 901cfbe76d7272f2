import {createSystemClock} from '@toucanrouter/common';
import {createPlatformStandIn} from '@toucanrouter/standins';
import {expect} from 'chai';
import {allocateInstanceNumber, createKeyValueClient} from '../../index.js';

describe('allocateInstanceNumber', () => {
  it('never gives a number twice, even when an answer was lost', async () => {
    const standIn = await createPlatformStandIn();
    const store = createKeyValueClient({
      address: standIn.keyValueAddress,
      timeoutMs: 200,
      clock: createSystemClock(),
    });
    standIn.setSwitches({loseWriteAnswers: 1});
    const results = await Promise.all(
      Array.from({length: 8}, () => allocateInstanceNumber(store)),
    );
    store.close();
    await standIn.close();
    const numbers = results.filter(r => r.isOk()).map(r => r.value);
    expect(results.filter(r => r.isErr())).to.have.length(1);
    expect(new Set(numbers).size).to.equal(7);
  });
});
