import {
  createSeededRandom,
  createSystemClock,
  toSoftwareVersion,
} from '@toucanrouter/common';
import {expect} from 'chai';
import {createEntry} from './GatewayFixtures.js';
import {createLocalStreamOrigins} from './LocalStreamOrigins.js';
import type {UpstreamConnections} from '../../upstreams/UpstreamConnections.js';
import {createUpstreamConnections} from '../../upstreams/UpstreamConnections.js';
import type {
  UpstreamBehavior,
  VersionedGatewayOptions,
} from './StreamVersionFixtures.js';
import {
  breakFirst,
  eventIdsOf,
  recordOrigin,
  startVersionedGateway,
  versionsOf,
  writeAll,
  writersOf,
} from './StreamVersionFixtures.js';

const allIds = [1, 2, 3, 4];
/** Choices are random in part, so that one request shows little. */
const requestCount = 12;

/** Serves one request through a new gateway and closes it. */
async function serveStream(options: VersionedGatewayOptions) {
  const gateway = await startVersionedGateway(options);
  const response = await gateway.send('r1');
  await gateway.close();
  return {response, calls: gateway.calls, gateway};
}

/** Stays silent after the first event for longer than a stall takes. */
const stallFirst: UpstreamBehavior = call => {
  if (call.callsBefore > 0) return writeAll(call);
  call.start();
  call.writeEvent(1);
  setTimeout(() => {
    for (const id of [2, 3, 4]) call.writeEvent(id);
    call.response.end();
  }, 2_000);
};

describe('a resumable stream in front of several software versions', () => {
  // Guards against a broken stream that goes on at another version.
  it('is cut when only upstreams of another version are left', async () => {
    const options = {versions: ['v1', 'v2'], behave: breakFirst};
    const {calls, response} = await serveStream(options);
    expect(response.complete).to.equal(false);
    expect(eventIdsOf(response.body)).to.deep.equal([1, 2]);
    expect(calls).to.have.length(1);
  });

  // Guards against cutting streams that an upstream of their version can go on with.
  it('goes on at another upstream of the same version', async () => {
    for (let request = 0; request < requestCount; request++) {
      const versions = ['v1', 'v2', 'v3', 'v2', 'v1', 'v3'];
      const changes = {random: createSeededRandom(request)};
      const {response} = await serveStream({
        versions,
        behave: breakFirst,
        changes,
      });
      expect(response.complete).to.equal(true);
      expect(eventIdsOf(response.body)).to.deep.equal(allIds);
      expect(versionsOf(response.body)).to.have.length(1);
      expect(writersOf(response.body)).to.have.length(2);
    }
  });

  // Guards against taking two upstreams without a version for the same version.
  it('goes on at no other upstream if no upstream tells its version', async () => {
    const versions = [undefined, undefined];
    const {calls, response} = await serveStream({versions, behave: breakFirst});
    expect(response.complete).to.equal(false);
    expect(calls).to.have.length(1);
  });

  // Guards against another version that is asked beside a stalled stream.
  it('waits for its stalled upstream if the others run another version', async () => {
    const options = {versions: ['v1', 'v2'], behave: stallFirst};
    const {calls, response} = await serveStream(options);
    expect(response.complete).to.equal(true);
    expect(eventIdsOf(response.body)).to.deep.equal(allIds);
    expect(calls).to.have.length(1);
  });

  // Guards against an upstream that is asked beside a stalled stream although it
  // has restarted under its id with other software.
  it('does not go on beside a stall at an upstream that was replaced', async () => {
    let begunAt: number | undefined;
    const gateway = await startVersionedGateway({
      versions: ['v1', 'v1'],
      behave: call => {
        begunAt ??= call.index;
        stallFirst(call);
      },
      changes: {
        readUpstream: id =>
          Promise.resolve(
            id === `u${begunAt}`
              ? undefined
              : createEntry(id, {
                  startedAtMs: 2,
                  softwareVersion: toSoftwareVersion('v2'),
                }),
          ),
      },
    });
    const response = await gateway.send('r1');
    await gateway.close();
    expect(response.complete).to.equal(true);
    expect(eventIdsOf(response.body)).to.deep.equal(allIds);
    expect(writersOf(response.body)).to.deep.equal([begunAt]);
  });

  // Guards against a stalled stream that waits although its version is left.
  it('goes on beside a stall at an upstream of its version', async () => {
    const versions = ['v1', 'v2', 'v1', 'v2'];
    const {calls, response} = await serveStream({versions, behave: stallFirst});
    expect(response.complete).to.equal(true);
    expect(eventIdsOf(response.body)).to.deep.equal(allIds);
    expect(calls).to.have.length(2);
    expect(versionsOf(response.body)).to.have.length(1);
    expect(writersOf(response.body)).to.have.length(2);
  });

  // Guards against a return to an upstream that was given up before the first event.
  it('does not return to a version that it did not begin at', async () => {
    const behave: UpstreamBehavior = call => {
      if (call.callsBefore === 0) return;
      if (call.callsBefore > 1) return writeAll(call);
      breakFirst({...call, callsBefore: 0});
    };
    const versions = ['v1', 'v2'];
    const route = {targetLatencyMs: 100};
    const {calls, response} = await serveStream({versions, behave, route});
    expect(response.complete).to.equal(false);
    expect(eventIdsOf(response.body)).to.deep.equal([1, 2]);
    expect(calls.map(({index}) => index)).to.have.members([0, 1]);
  });

  // Guards against events behind a head or comments of another version.
  it('passes on no comments of an upstream that did not begin it', async () => {
    const behave: UpstreamBehavior = call => {
      call.start();
      if (call.callsBefore > 0) {
        setTimeout(call.writeRest, 500);
        return;
      }
      setTimeout(() => call.response.write(': comment\n\n'), 600);
      setTimeout(call.writeRest, 1_500);
    };
    const versions = ['v1', 'v2'];
    const route = {targetLatencyMs: 100};
    const {calls, response} = await serveStream({versions, behave, route});
    expect(calls).to.have.length(2);
    expect(response.complete).to.equal(true);
    expect(response.body).not.to.include('comment');
    expect(eventIdsOf(response.body)).to.deep.equal(allIds);
    expect(writersOf(response.body)).to.deep.equal([calls[1]?.index]);
  });

  // Guards against a first event of a process that replaced the one of the entry.
  it('does not begin at an upstream whose version changes before its first event', async () => {
    const gateway = await startVersionedGateway({
      versions: ['v1', 'v1'],
      behave: call => {
        if (call.callsBefore === 0) gateway.changeVersion(call.index, 'v2');
        writeAll(call);
      },
    });
    const response = await gateway.send('r1');
    await gateway.close();
    expect(response.complete).to.equal(true);
    expect(eventIdsOf(response.body)).to.deep.equal(allIds);
    expect(writersOf(response.body)).to.deep.equal([gateway.calls[1]?.index]);
  });

  // Guards against streams that nobody can resume while others could begin.
  it('begins at versions that all instances know of, or else at any', async () => {
    const streamOrigins = {
      ...createLocalStreamOrigins(),
      mayBegin: ({softwareVersion}: {readonly softwareVersion: string}) =>
        softwareVersion === 'v1',
    };
    const gateway = await startVersionedGateway({
      versions: ['v2', 'v1', 'v2', 'v2'],
      behave: writeAll,
      changes: {streamOrigins},
    });
    const bodies: string[] = [];
    for (let request = 0; request < requestCount; request++) {
      bodies.push((await gateway.send(`r${request}`)).body);
    }
    gateway.changeVersion(1, 'v2');
    const other = await gateway.send('other');
    await gateway.close();
    expect(versionsOf(bodies.join(''))).to.deep.equal(['v1']);
    expect(eventIdsOf(other.body)).to.deep.equal(allIds);
  });

  // Guards against a restriction of requests that pass nothing on before a retry.
  it('does not bind a plain call to a version', async () => {
    const {calls, response} = await serveStream({
      versions: ['v1', 'v2'],
      route: {retryPolicy: 'whole', streams: false},
      behave: call => {
        if (call.callsBefore === 0) call.response.destroy();
        else writeAll(call);
      },
    });
    expect(response.status).to.equal(200);
    expect(calls).to.have.length(2);
  });
});

describe('a stream that its caller resumes', () => {
  // Guards against a resumption that is placed like a new stream.
  it('goes on at the version that began it, also when it is resumed twice', async () => {
    for (let request = 0; request < requestCount; request++) {
      const gateway = await startVersionedGateway({
        versions: ['v1', 'v2', 'v3', 'v4'],
        changes: {random: createSeededRandom(request)},
        behave: call => {
          if (call.message.headers['id'] === 'third') return writeAll(call);
          call.start();
          const after = Number(call.message.headers['after'] ?? 0);
          call.writeEvent(after + 1);
          call.response.write('id: ', () => call.response.destroy());
        },
      });
      const first = await gateway.send('first');
      const second = await gateway.send('second', {
        after: '1',
        resumes: 'first',
      });
      const third = await gateway.send('third', {after: '2', resumes: 'first'});
      await gateway.close();
      const body = first.body + second.body + third.body;
      expect(third.complete).to.equal(true);
      expect(eventIdsOf(body)).to.deep.equal(allIds);
      expect(versionsOf(body)).to.have.length(1);
      expect(gateway.resumptions).to.deep.equal(['went_on', 'went_on']);
    }
  });

  // Guards against a version that is guessed.
  for (const [name, headers] of [
    ['names a request that nobody knows', {resumes: 'forged'}],
    ['names its own request', {resumes: 'r2'}],
    ['names no request', {}],
  ] as const) {
    it(`is refused as not run if it ${name}`, async () => {
      const gateway = await startVersionedGateway({
        versions: ['v1', 'v1'],
        behave: writeAll,
      });
      const response = await gateway.send('r2', {after: '1', ...headers});
      await gateway.close();
      expect(response.status).to.equal(503);
      expect(Number(response.retryAfter)).to.be.above(0);
      expect(gateway.calls).to.have.length(0);
      expect(gateway.resumptions).to.deep.equal(['unknown']);
      expect(gateway.ended[0]?.outcome).to.equal('no_upstream');
    });
  }

  // Guards against a stream of another workspace that is taken for the caller's own.
  it('is refused if another workspace began it', async () => {
    const gateway = await startVersionedGateway({
      versions: ['v1'],
      behave: writeAll,
    });
    gateway.streamOrigins.streamBegan(
      {workspaceId: undefined, requestId: 'r1'},
      {service: 'llm' as never, softwareVersion: 'v1' as never},
    );
    const response = await gateway.send('r2', {after: '1', resumes: 'r1'});
    await gateway.close();
    expect(response.status).to.equal(503);
    expect(gateway.calls).to.have.length(0);
  });

  // Guards against a stream that goes on elsewhere after the last upstream has left.
  it('is refused as not run if no upstream of its version is left', async () => {
    const gateway = await startVersionedGateway({
      versions: ['v1', 'v2'],
      behave: writeAll,
    });
    recordOrigin(gateway.streamOrigins, 'r1', 'v0');
    const response = await gateway.send('r2', {after: '1', resumes: 'r1'});
    await gateway.close();
    expect(response.status).to.equal(503);
    expect(Number(response.retryAfter)).to.be.above(0);
    expect(gateway.calls).to.have.length(0);
    expect(gateway.resumptions).to.deep.equal(['no_upstream']);
  });

  // Guards against a full upstream whose stream goes on at another version.
  it('is refused as not run if the upstreams of its version are full', async () => {
    const gateway = await startVersionedGateway({
      versions: ['v1', 'v2', 'v2'],
      behave: ({message, response}) => {
        const id = String(message.headers['id']);
        response.writeHead(503, {id, 'not-run': '1'}).end();
      },
    });
    recordOrigin(gateway.streamOrigins, 'r1', 'v1');
    const response = await gateway.send('r2', {after: '1', resumes: 'r1'});
    await gateway.close();
    expect(response.status).to.equal(503);
    expect(gateway.calls.map(({version}) => version)).to.deep.equal(['v1']);
    expect(gateway.resumptions).to.deep.equal(['failed']);
  });

  // Guards against a stream that goes on at an upstream that has restarted under
  // its id with other software, before the watch of the store shows it.
  it('is not sent to an upstream that the store shows with another version', async () => {
    const gateway = await startVersionedGateway({
      versions: ['v1', 'v1'],
      behave: writeAll,
      changes: {
        readUpstream: id =>
          Promise.resolve(
            id === 'u0'
              ? createEntry('u0', {
                  startedAtMs: 2,
                  softwareVersion: toSoftwareVersion('v2'),
                })
              : undefined,
          ),
      },
    });
    recordOrigin(gateway.streamOrigins, 'r1', 'v1');
    for (let index = 0; index < 6; index += 1) {
      const headers = {after: '1', resumes: 'r1'};
      const response = await gateway.send(`resumption-${index}`, headers);
      expect(response.status).to.equal(200);
    }
    await gateway.close();
    expect(gateway.calls.map(call => call.index)).to.deep.equal(
      Array.from({length: 6}, () => 1),
    );
  });

  // Guards against a request that is written to software that came after the choice.
  it('is not sent to an upstream whose version changed since it was chosen', async () => {
    const connections = createUpstreamConnections(createSystemClock());
    const changing: UpstreamConnections = {
      ...connections,
      send: (request, handler) => {
        gateway.changeVersion(0, 'v2');
        return connections.send(request, handler);
      },
    };
    const gateway = await startVersionedGateway({
      versions: ['v1'],
      behave: writeAll,
      changes: {connections: changing},
    });
    recordOrigin(gateway.streamOrigins, 'r1', 'v1');
    const response = await gateway.send('r2', {after: '1', resumes: 'r1'});
    await gateway.close();
    await connections.close();
    expect(response.status).to.equal(503);
    expect(gateway.calls).to.have.length(0);
    expect(gateway.resumptions).to.deep.equal(['no_upstream']);
  });
});
