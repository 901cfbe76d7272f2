import type {Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {createManualClock} from '@toucanrouter/common';
import type {PlatformStandIn} from '@toucanrouter/standins';
import {createPlatformStandIn} from '@toucanrouter/standins';
import {expect} from 'chai';
import type {InstanceList, InstanceListFault} from '../../index.js';
import {createInstanceListReader, parseInstanceList} from '../../index.js';

const smallChunk = '1\r\na\r\n';

/** Answers with chunks of one byte without end. */
function answerWithoutEnd({socket}: ServerResponse): void {
  const chunks = Buffer.from(smallChunk.repeat(1_000));
  const write = () => {
    while (socket?.destroyed === false && socket.write(chunks));
  };
  socket?.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n');
  socket?.on('drain', write);
  write();
}

/** Returns the error of a poll of a source that answers as given. */
async function pollErrorOf(
  answer: (response: ServerResponse) => void,
): Promise<string | undefined> {
  const server: Server = createServer((_, response) => answer(response));
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  let message: string | undefined;
  const reader = createInstanceListReader({
    url: `http://127.0.0.1:${port}/`,
    pollMs: 1000,
    clock: createManualClock(),
    onList: () => undefined,
    onError: error => (message = error.message),
  });
  await reader.poll();
  reader.close();
  server.close();
  server.closeAllConnections();
  return message;
}

function engineEntry(id: string, labels: Record<string, string> = {}) {
  return {
    targets: ['127.0.0.1:9001'],
    labels: {
      id,
      role: 'engine',
      model: 'm',
      region: 'r',
      failure_domain: 'd1',
      incarnation: '3',
      state: 'live',
      ...labels,
    },
  };
}

function routerEntry(id: string) {
  const labels = {role: 'router', peer_address: '127.0.0.1:9101'};
  return engineEntry(id, labels);
}

describe('parseInstanceList', () => {
  it('skips and reports an invalid entry, so that one fault does not hide the valid entries', () => {
    const body = [
      engineEntry('e1'),
      engineEntry('e2', {state: 'gone'}),
      routerEntry('r1'),
    ];
    const {list, faults} = parseInstanceList(body)._unsafeUnwrap();
    expect(list.upstreams.map(u => u.id)).to.deep.equal(['e1']);
    expect(list.routers.map(r => r.peerAddress)).to.deep.equal([
      '127.0.0.1:9101',
    ]);
    expect(faults.map(fault => fault.index)).to.deep.equal([1]);
    expect(faults[0]?.message).to.include('labels.state');
  });

  // Guards against connections that cannot be opened to any port.
  it('skips entries whose port is out of range', () => {
    const body = [0, 70_000, 99_999].map(port => ({
      ...engineEntry(`e${port}`),
      targets: [`127.0.0.1:${port}`],
    }));
    const {list, faults} = parseInstanceList(body)._unsafeUnwrap();
    expect(list.upstreams).to.deep.equal([]);
    expect(faults).to.have.length(body.length);
  });

  // Guards against upstreams out of service because of a version of another type.
  it('reads versions of software, and takes those of no usable type as absent', () => {
    const versions = ['v1', 7, '', null, undefined];
    const body = versions.map((version, index) => {
      const entry = engineEntry(`e${index}`);
      return {...entry, labels: {...entry.labels, software_version: version}};
    });
    const {list, faults} = parseInstanceList(body)._unsafeUnwrap();
    expect(faults).to.deep.equal([]);
    expect(
      list.upstreams.map(({softwareVersion}) => softwareVersion),
    ).to.deep.equal(['v1', '7', undefined, undefined, undefined]);
  });

  it('prefers the newest incarnation and "leaving" among duplicates', () => {
    const body = [
      engineEntry('e1', {state: 'leaving'}),
      engineEntry('e1'),
      engineEntry('e2'),
      engineEntry('e2', {incarnation: '2', state: 'leaving'}),
    ];
    const {list} = parseInstanceList(body)._unsafeUnwrap();
    expect(list.upstreams.map(u => u.leaving)).to.deep.equal([true, false]);
  });
});

describe('createInstanceListReader', () => {
  let standIn: PlatformStandIn;

  beforeEach(async () => {
    standIn = await createPlatformStandIn();
  });

  afterEach(() => standIn.close());

  it('keeps the last valid list while the source is down', async () => {
    const lists: InstanceList[] = [];
    const errors: string[] = [];
    const faults: InstanceListFault[] = [];
    const reader = createInstanceListReader({
      url: standIn.instanceListUrl,
      pollMs: 1000,
      clock: createManualClock(),
      onList: list => lists.push(list),
      onFaults: found => faults.push(...found),
      onError: error => errors.push(error.message),
    });
    await reader.poll();
    standIn.setInstance('e1', engineEntry('e1'));
    await reader.poll();
    standIn.setSwitches({listOutage: true});
    await reader.poll();
    reader.close();
    expect(lists.map(list => list.upstreams.length)).to.deep.equal([0, 1]);
    expect(reader.current()?.upstreams[0]?.address).to.equal('127.0.0.1:9001');
    expect(errors).to.deep.equal(['instance list: Error: status 503']);
    expect(faults).to.deep.equal([]);
  });
});

describe('createInstanceListReader with a source that is unsound', () => {
  // Guards against a heap that is filled by the objects of small chunks.
  it('gives up a list whose chunks have one byte each', async () => {
    const message = await pollErrorOf(answerWithoutEnd);
    expect(message).to.include('too many small pieces');
  });

  // Guards against memory that is used up by a list without end.
  it('gives up a list that is too large', async () => {
    const message = await pollErrorOf(response =>
      response.end(`[${' '.repeat(17 * 1024 * 1024)}]`),
    );
    expect(message).to.include('exceeds');
  });

  // Guards against values that occupy much more memory than their text.
  it('gives up a list of very many values', async () => {
    const message = await pollErrorOf(response =>
      response.end(`[${'[],'.repeat(1_000_000)}[]]`),
    );
    expect(message).to.include('too many values');
  });
});
