import {toSoftwareVersion, toUpstreamId} from '@toucanrouter/common';
import {expect} from 'chai';
import type {UpstreamDirectory} from '../../fleet/UpstreamDirectory.js';
import {serveChat} from '../../request/chat/ChatCall.js';
import {parseChatRequest} from '../../request/chat/ChatRequest.js';
import type {Exchange} from '../../request/Exchange.js';
import type {UpstreamAccess} from '../../request/UpstreamAccess.js';
import {shardId} from './SchedulingFixture.js';
import type {EndedCall, TestCallOptions} from './SuspectUpstreamsFixture.js';
import {
  engine,
  forgetful,
  relayedIds,
  relayedTokens,
  responseTokens,
  runCall,
  upstreamName,
} from './SuspectUpstreamsFixture.js';

const first = upstreamName(0);
const second = upstreamName(1);
const third = upstreamName(2);
const breaksOff = forgetful(
  engine({pauseAfterTokens: 2, pauseMs: 50, breaksOff: true}),
);
const pausing = engine({pauseAfterTokens: 2, pauseMs: 300});

/** Runs a call to its end; streamed unless the test says otherwise. */
function runVersionedCall({
  streamed = true,
  ...options
}: Pick<TestCallOptions, 'handlers' | 'softwareVersions'> &
  Partial<TestCallOptions> & {streamed?: boolean}): Promise<EndedCall> {
  const body = JSON.stringify({
    model: 'advisor',
    stream: streamed,
    messages: [{role: 'user', content: 'hello'}],
  });
  const serve = (access: UpstreamAccess, exchange: Exchange) => {
    const request = parseChatRequest(exchange.body)._unsafeUnwrap();
    return serveChat(access, exchange, request, shardId);
  };
  return runCall({
    target: {kind: 'engine', serves: 'advisor', method: 'POST', path: '/'},
    body,
    serve,
    ...options,
  });
}

function expectWholeStream(call: EndedCall): void {
  expect(call.kind).to.equal('answered');
  expect(relayedTokens(call.relayed)).to.deep.equal(responseTokens);
  const ids = relayedIds(call.relayed);
  expect(ids).to.deep.equal(ids.map((_, i) => i));
}

/** Lists an upstream as a later process that runs another version. */
function listAsReplaced(directory: UpstreamDirectory, name: string): void {
  const listed = directory.all().map(info =>
    info.id === name
      ? {
          ...info,
          incarnation: info.incarnation + 1,
          softwareVersion: toSoftwareVersion('v2'),
        }
      : info,
  );
  directory.setListed(listed);
}

describe('serveChat with upstreams of several versions', () => {
  // Guards against a stream that is continued at another version.
  it('continues a broken stream only at the version that began it', async () => {
    const call = await runVersionedCall({
      handlers: [breaksOff, engine(), engine()],
      softwareVersions: ['v1', 'v2', 'v1'],
    });
    expectWholeStream(call);
    expect(call.granted).not.to.include(second);
    expect(call.granted.at(-1)).to.equal(third);
  });

  // Guards against a stream that waits for ever, or changes its version, when no engine of its version is left.
  it('ends a stream as incomplete if no upstream of its version is left', async () => {
    const call = await runVersionedCall({
      handlers: [breaksOff, engine()],
      softwareVersions: ['v1', 'v2'],
    });
    expect(call.kind).to.equal('answer_incomplete');
    expect(call.granted).not.to.include(second);
    expect(relayedTokens(call.relayed)).to.deep.equal(['a ', 'b ']);
  });

  // Guards against a call that fails although the caller has received nothing of it.
  it('begins a call afresh at another version if nothing was relayed', async () => {
    const bodies: string[] = [];
    const call = await runVersionedCall({
      streamed: false,
      handlers: [
        breaksOff,
        (message, body, response) => {
          bodies.push(body);
          engine()(message, body, response);
        },
      ],
      softwareVersions: ['v1', 'v2'],
    });
    expect(call.kind).to.equal('answered');
    expect(call.granted.at(-1)).to.equal(second);
    expect(bodies).to.have.length(1);
    expect(bodies[0]).not.to.contain('assistant');
  });

  // Guards against a running stream that is moved to another version.
  it('keeps a stream at its suspect upstream if the others run another version', async () => {
    const call = await runVersionedCall({
      handlers: [pausing, engine()],
      softwareVersions: ['v1', 'v2'],
      onTokens: (permit, tokens) => {
        if (tokens === 2) permit.onSuspect?.();
      },
    });
    expectWholeStream(call);
    expect(call.granted).to.deep.equal([first]);
  });

  it('moves a stream from its suspect upstream to another one of its version', async () => {
    const call = await runVersionedCall({
      handlers: [pausing, engine(), engine()],
      softwareVersions: ['v1', 'v2', 'v1'],
      onTokens: (permit, tokens) => {
        if (tokens === 2) permit.onSuspect?.();
      },
    });
    expectWholeStream(call);
    expect(call.granted).to.deep.equal([first, third]);
  });

  // Guards against a resume at an upstream that came back under its id with other software.
  it('does not resume at the same upstream once it runs another version', async () => {
    const call = await runVersionedCall({
      handlers: [
        engine({pauseAfterTokens: 2, pauseMs: 50, breaksOff: true}),
        engine(),
      ],
      softwareVersions: ['v1', 'v1'],
      onTokens: (_permit, tokens, directory) => {
        if (tokens === 2) listAsReplaced(directory, first);
      },
    });
    expectWholeStream(call);
    expect(call.granted).to.deep.equal([first, second]);
  });

  // Guards against a permit whose upstream changes its version on the way.
  it('returns a permit whose upstream has changed its version', async () => {
    const call = await runVersionedCall({
      handlers: [breaksOff, engine(), engine()],
      softwareVersions: ['v1', 'v1', 'v1'],
      decide: ({exclude}, directory) => {
        if (!exclude.includes(toUpstreamId(first))) return undefined;
        if (exclude.includes(toUpstreamId(second))) return undefined;
        listAsReplaced(directory, second);
        return {grant: toUpstreamId(second)};
      },
    });
    expectWholeStream(call);
    expect(call.granted.slice(-2)).to.deep.equal([second, third]);
    const permits = call.permitRequests.flatMap(({permit}) => permit ?? []);
    expect(permits.at(-2)?.releases).to.deep.equal([
      {outcome: 'unused', wastedTokens: 0},
    ]);
  });

  // Guards against a stream that waits without end for an upstream of its version.
  it('ends a stream that waits when the last upstream of its version is replaced', async () => {
    const call = await runVersionedCall({
      handlers: [breaksOff, engine(), engine()],
      softwareVersions: ['v1', 'v1', 'v2'],
      decide: ({exclude}, directory) => {
        if (!exclude.includes(toUpstreamId(first))) return undefined;
        listAsReplaced(directory, second);
        return 'refuse';
      },
    });
    expect(call.kind).to.equal('answer_incomplete');
    expect(call.granted).not.to.include(third);
  });

  it('goes on at any upstream if no entry names a version', async () => {
    const call = await runVersionedCall({handlers: [breaksOff, engine()]});
    expectWholeStream(call);
    expect(call.granted.at(-1)).to.equal(second);
  });
});
