import {expect} from 'chai';
import {createBufferedBody, isRejection} from '../../request/BufferedBody.js';
import {testDialect} from './TestDialect.js';

const maxAddedCount = 100_000;

function headOf(status: number, headers: Record<string, string> = {}) {
  return testDialect.readResponse(status, headers, []);
}

/** Adds chunks until the body is given up; returns how many were accepted. */
function countAccepted(
  body: ReturnType<typeof createBufferedBody>,
  chunk: Buffer,
): number {
  for (let count = 0; count < maxAddedCount; count += 1) {
    if (body.add(chunk) !== undefined) return count;
  }
  return maxAddedCount;
}

describe('BufferedBody', () => {
  it('returns a body of a few hundred chunks of one byte', () => {
    const body = createBufferedBody(headOf(200));
    const text = 'abc'.repeat(200);
    for (const character of text) {
      expect(body.add(Buffer.from(character))).to.equal(undefined);
    }
    expect(body.take().toString()).to.equal(text);
  });

  // Guards against a limit of bytes that small chunks reach after the heap is full.
  it('gives up a body of small chunks without end', () => {
    const accepted = countAccepted(
      createBufferedBody(headOf(200)),
      Buffer.from('a'),
    );
    expect(accepted).to.be.within(1_000, 20_000);
  });

  it('accepts more bytes of a response than of a failure', () => {
    const chunk = Buffer.alloc(64 * 1024);
    const count = (status: number) =>
      countAccepted(createBufferedBody(headOf(status)), chunk);
    expect(count(200)).to.equal(128);
    expect(count(500)).to.equal(16);
  });

  it('holds nothing of a rejection, and little of it is read', () => {
    const head = headOf(503, {'not-run': '1'});
    expect(isRejection(head)).to.equal(true);
    const body = createBufferedBody(head);
    expect(countAccepted(body, Buffer.from('a'))).to.be.at.most(256);
    expect(body.sizeBytes).to.equal(0);
  });
});
