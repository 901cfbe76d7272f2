/**
 * Upstreams of a soak that answer with small pieces without end, until their
 * caller closes the connection.
 */
import {Buffer} from 'node:buffer';
import {answerHeaders} from '../../review/engine.js';

const minLastsMs = 1_000;
const maxLastsMs = 5_000;
const blockBytes = 64 * 1024;
const statuses = [200, 200, 500];
/** Chunks that hold a byte, an empty line, a comment, and a part of a field. */
const chunks = [
  '1\r\na\r\n',
  '1\r\n\n\r\n',
  '4\r\n: a\n\r\n',
  '5\r\ndata:\r\n',
];

/** Creates upstreams that are sound until `begin` is called for one. */
export function createEndlessPieces({random, nowMs}) {
  const untilMsByUpstream = new Map();
  const endlessIds = new Set();
  const report = {begun: 0, responses: 0, writtenMb: 0};
  const draw = items => items[Math.floor(random() * items.length)];

  function writeWithoutEnd({message, response, id}) {
    const {socket} = message;
    const chunk = draw(chunks);
    const block = Buffer.from(
      chunk.repeat(Math.floor(blockBytes / chunk.length)),
    );
    endlessIds.add(message.headers['request-id']);
    report.responses += 1;
    response.writeHead(draw(statuses), {
      ...answerHeaders(message, id),
      'Content-Type': 'text/event-stream',
      'Transfer-Encoding': 'chunked',
    });
    response.flushHeaders();
    const write = () => {
      while (!socket.destroyed) {
        report.writtenMb += block.length / 2 ** 20;
        if (!socket.write(block)) return;
      }
    };
    socket.on('drain', write);
    write();
  }

  return {
    report,
    /** Returns `run`, replaced while its upstream writes without end. */
    wrap: run => call => {
      const untilMs = untilMsByUpstream.get(call.id) ?? -Infinity;
      if (nowMs() < untilMs) writeWithoutEnd(call);
      else run(call);
    },
    begin: upstream => {
      report.begun += 1;
      const lastsMs = minLastsMs + random() * (maxLastsMs - minLastsMs);
      untilMsByUpstream.set(upstream.id, nowMs() + lastsMs);
    },
    /** True if an upstream answered the call without an end. */
    hasAnswered: id => endlessIds.has(id),
  };
}
