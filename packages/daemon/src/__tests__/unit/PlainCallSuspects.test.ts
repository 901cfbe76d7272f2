import {expect} from 'chai';
import type {Exchange} from '../../request/Exchange.js';
import {servePlain} from '../../request/plain/PlainCall.js';
import type {UpstreamAccess} from '../../request/UpstreamAccess.js';
import {shardId} from './SchedulingFixture.js';
import type {
  EndedCall,
  PermitDecision,
  UpstreamHandler,
} from './SuspectUpstreamsFixture.js';
import {runCall, upstreamName} from './SuspectUpstreamsFixture.js';
import {countBytesRead, writeWithoutEnd} from './SmallPiecesFixture.js';

const pauseMs = 200;
const suspectAfterMs = 50;

/** A plain service that answers after `delayMs`. */
function answering(delayMs: number): UpstreamHandler {
  return (_message, _body, response) => {
    setTimeout(() => response.end('done'), delayMs);
  };
}

/** Runs a call of two upstreams, of which the first is slow and suspect. */
function runSuspectCall(decideHedge?: PermitDecision): Promise<EndedCall> {
  const serve = (access: UpstreamAccess, exchange: Exchange) =>
    servePlain(access, exchange, shardId, {});
  return runCall({
    handlers: [answering(pauseMs), answering(0)],
    target: {kind: 'service', serves: 'tool', method: 'GET', path: '/'},
    body: '',
    serve,
    decide: ({exclude}) => (exclude.length > 0 ? decideHedge : undefined),
    onGranted: permit => {
      if (permit.upstreamId !== upstreamName(0)) return;
      setTimeout(() => permit.onSuspect?.(), suspectAfterMs);
    },
  });
}

function releaseOutcomes(call: EndedCall): (string | undefined)[] {
  const permits = call.permitRequests.flatMap(({permit}) => permit ?? []);
  for (const {releases} of permits) expect(releases).to.have.length(1);
  return permits.map(({releases}) => releases[0]?.outcome);
}

function servePlainFrom(handler: UpstreamHandler): Promise<EndedCall> {
  return runCall({
    handlers: [handler],
    target: {kind: 'service', serves: 'tool', method: 'GET', path: '/'},
    body: '',
    serve: (access, exchange) => servePlain(access, exchange, shardId, {}),
  });
}

describe('servePlain with small pieces', () => {
  // Guards against memory and processor time that follow the number of chunks.
  it('gives up a response whose chunks have one byte each', async () => {
    const read = await countBytesRead(async () => {
      const call = await servePlainFrom((_message, _body, {socket}) => {
        if (socket === null) return;
        socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n');
        writeWithoutEnd(socket, 'a');
      });
      expect(call.kind).to.equal('upstream_failed');
    });
    expect(read).to.be.below(1024 * 1024);
  });

  // Guards against one response that uses the memory of all of them.
  it('gives up a response that is larger than one may be', async () => {
    const read = await countBytesRead(async () => {
      const call = await servePlainFrom((_message, _body, response) =>
        response.end(Buffer.alloc(40 * 1024 * 1024)),
      );
      expect(call.kind).to.equal('upstream_failed');
    });
    expect(read).to.be.below(10 * 1024 * 1024);
  });

  // Guards against limits that cut sound responses.
  it('returns a response of many chunks of one byte', async () => {
    const piecesCount = 10_000;
    const call = await servePlainFrom((_message, _body, response) => {
      for (let index = 0; index < piecesCount; index += 1) response.write('a');
      response.end();
    });
    expect(call.kind).to.equal('answered');
    expect((call.value as {body: Buffer}).body).to.have.length(piecesCount);
  });
});

describe('servePlain', () => {
  // Guards against a status that no caller understands and that is passed on.
  it('fails a call at once whose upstream returns an invalid status', async () => {
    for (const status of ['000', '099', '600', '999']) {
      const invalid: UpstreamHandler = (_message, _body, response) => {
        const head = `HTTP/1.1 ${status} X\r\nContent-Length: 0\r\n\r\n`;
        response.socket?.write(head);
      };
      const call = await runCall({
        handlers: [invalid],
        target: {kind: 'service', serves: 'tool', method: 'GET', path: '/'},
        body: '',
        serve: (access, exchange) => servePlain(access, exchange, shardId, {}),
      });
      expect(call.kind).to.equal('upstream_failed');
    }
  });

  // Guards against an instance that keeps the bytes of a service without end.
  it('gives up a response that does not end', async () => {
    const endless: UpstreamHandler = (_message, _body, response) => {
      const bytes = Buffer.alloc(1024 * 1024);
      const write = () => {
        while (!response.destroyed && response.write(bytes));
      };
      response.on('drain', write);
      write();
    };
    const call = await runCall({
      handlers: [endless],
      target: {kind: 'service', serves: 'tool', method: 'GET', path: '/'},
      body: '',
      serve: (access, exchange) => servePlain(access, exchange, shardId, {}),
    });
    expect(call.kind).to.equal('upstream_failed');
  });
});

describe('servePlain on a suspect upstream', () => {
  // Guards against failing a call whose upstream only paused when no other one has a slot.
  it('returns the response of a slow upstream when no other permit is granted', async () => {
    for (const decision of ['refuse', 'wait'] as const) {
      const call = await runSuspectCall(decision);
      expect(call.kind).to.equal('answered');
      expect(releaseOutcomes(call)).to.deep.equal(['completed']);
    }
  });

  // Guards against a permit that stays taken when its grant crosses the end of the call.
  it('releases a permit that is granted when the slow upstream has answered', async () => {
    const call = await runSuspectCall('grant_when_withdrawn');
    await new Promise(resolve => setImmediate(resolve));
    expect(call.kind).to.equal('answered');
    expect(releaseOutcomes(call)).to.deep.equal(['completed', 'unused']);
  });

  it('moves to another upstream once its permit is granted', async () => {
    const call = await runSuspectCall();
    expect(call.kind).to.equal('answered');
    expect(releaseOutcomes(call)).to.deep.equal(['preempted', 'completed']);
  });
});
