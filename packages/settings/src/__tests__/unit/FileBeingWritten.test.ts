import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {Clock} from '@toucanrouter/common';
import {createManualClock} from '@toucanrouter/common';
import {expect} from 'chai';
import {loadWhenWritten} from '../../FileBeingWritten.js';
import {loadGatewaySettings} from '../../GatewaySettings.js';

const complete = `[instance]
id = front-1
failure_domain = a
[listen]
callers = 10.0.0.1:8080
readiness = 10.0.0.1:8081
metrics = 10.0.0.1:9464
peers = 10.0.0.1:7340
[store]
address = 10.0.0.2:8223
`;

/** A clock on which each wait ends at once and calls `onWait` before. */
function createSteppingClock(onWait: (nowMs: number) => void): Clock {
  const clock = createManualClock();
  return {
    ...clock,
    after: (delayMs, run) => {
      clock.advance(delayMs);
      onWait(clock.nowMs());
      queueMicrotask(run);
      return () => undefined;
    },
  };
}

describe('FileBeingWritten', () => {
  let directory = '';
  let file = '';

  beforeEach(() => {
    directory = mkdtempSync(join(tmpdir(), 'toucanrouter-settings-'));
    file = join(directory, 'settings.ini');
  });

  afterEach(() => rmSync(directory, {recursive: true}));

  function load(
    onWait: (nowMs: number) => void = () => undefined,
    maxAbsenceMs?: number,
  ) {
    const clock = createSteppingClock(onWait);
    return loadWhenWritten({
      file,
      clock,
      load: loadGatewaySettings,
      ...(maxAbsenceMs === undefined ? {} : {maxAbsenceMs}),
    });
  }

  it('does not wait for a complete file', async () => {
    writeFileSync(file, complete);
    const {settings, text, waitedMs} = await load();
    expect(settings._unsafeUnwrap().storeAddress).to.equal('10.0.0.2:8223');
    expect({text, waitedMs}).to.deep.equal({text: complete, waitedMs: 0});
  });

  // Guards against a warning about a complete file that takes time to read.
  it('does not count the time of the read itself', async () => {
    writeFileSync(file, complete);
    const clock = createManualClock();
    const {waitedMs} = await loadWhenWritten({
      file,
      clock,
      load: path => {
        clock.advance(20);
        return loadGatewaySettings(path);
      },
    });
    expect(waitedMs).to.equal(0);
  });

  // Guards against a start that fails while the file is replaced.
  it('waits for a file that is missing, empty or cut short', async () => {
    const {settings} = await load(nowMs => {
      if (nowMs >= 1_000) writeFileSync(file, complete);
      else if (nowMs >= 500) writeFileSync(file, complete.slice(0, 90));
      else if (nowMs >= 100) writeFileSync(file, '');
    });
    expect(settings._unsafeUnwrap().instanceId).to.equal('front-1');
  });

  // Guards against a store address whose last digits were not written yet.
  it('does not take a value that is cut short for a complete one', async () => {
    writeFileSync(file, complete.slice(0, -3));
    const {settings} = await load(nowMs => {
      if (nowMs >= 100) writeFileSync(file, complete);
    });
    expect(settings._unsafeUnwrap().storeAddress).to.equal('10.0.0.2:8223');
  });

  it('accepts a file without a line break at its end once it stays the same', async () => {
    writeFileSync(file, complete.trimEnd());
    const {settings, waitedMs} = await load();
    expect(settings.isOk()).to.equal(true);
    expect(waitedMs).to.be.within(1, 500);
  });

  // Guards against a process that ends for each few seconds without a file.
  it('waits longer for a file that is missing or empty', async () => {
    const {settings, waitedMs} = await load(nowMs => {
      if (nowMs >= 12_000) writeFileSync(file, complete);
      else if (nowMs >= 10_000) writeFileSync(file, complete.slice(0, 90));
      else if (nowMs >= 5_000) writeFileSync(file, '');
    }, 20_000);
    expect(settings._unsafeUnwrap().instanceId).to.equal('front-1');
    expect(waitedMs).to.be.within(12_000, 13_000);
  });

  it('gives up a file that stays missing', async () => {
    const {settings, waitedMs} = await load(undefined, 20_000);
    expect(settings.isErr()).to.equal(true);
    expect(waitedMs).to.be.within(20_000, 21_000);
  });

  // Guards against a start that fails since the process was suspended.
  it('reads again after a pause in the middle of a read', async () => {
    writeFileSync(file, complete.slice(0, 90));
    const clock = createSteppingClock(() => undefined);
    let reads = 0;
    const {settings} = await loadWhenWritten({
      file,
      clock: {...clock, nowMs: () => clock.nowMs() + (reads > 1 ? 9_000 : 0)},
      load: async path => {
        const loaded = await loadGatewaySettings(path);
        reads += 1;
        if (reads === 2) writeFileSync(file, complete);
        return loaded;
      },
    });
    expect(settings._unsafeUnwrap().instanceId).to.equal('front-1');
  });

  it('reports the faults of a file that stays incomplete', async () => {
    writeFileSync(file, complete.slice(0, 90));
    const {settings, waitedMs} = await load();
    expect(settings.isErr()).to.equal(true);
    expect(waitedMs).to.be.within(1_000, 5_000);
  });
});
