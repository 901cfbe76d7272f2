import {expect} from 'chai';
import {createManualClock} from '../../Clock.js';
import {createProcessMemory} from '../../ProcessMemory.js';

describe('ProcessMemory', () => {
  // Guards against a request that fails because no descriptor is free to read
  // how much memory the process has.
  it('keeps the latest resident memory while it cannot be read', () => {
    let readable = true;
    const memory = createProcessMemory(createManualClock(), 350e6, () => {
      if (!readable) throw new Error('EMFILE, uv_resident_set_memory');
      return 64e6;
    });
    readable = false;
    expect(memory.residentBytes()).to.equal(64e6);
    const claim = {
      tier: 0,
      bytes: 1_000_000,
      canGiveUp: () => true,
      onGivenUp: () => undefined,
    };
    expect(memory.requestBodies.tryReserve(claim)).to.not.equal(undefined);
  });
});
