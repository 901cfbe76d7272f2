import {Readable} from 'node:stream';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {expect} from 'chai';
import {
  PieceLimitError,
  readBatches,
  readLimitedBody,
} from '../../LimitedBody.js';
import {createPieceLimit, freePiecesCount} from '../../PieceLimit.js';

const byte = Buffer.from('a');

/** A body whose pieces the test pushes. */
function createOpenBody(): Readable {
  return new Readable({read: () => undefined, highWaterMark: 1024});
}

function createBody(pieces: Iterable<Buffer>): Readable {
  return Readable.from(pieces, {objectMode: false});
}

function* repeat(piece: Buffer, count: number): Generator<Buffer> {
  for (let index = 0; index < count; index += 1) yield piece;
}

async function rejectionOf(promise: Promise<unknown>): Promise<unknown> {
  return promise.then(
    () => undefined,
    (cause: unknown) => cause,
  );
}

describe('readBatches', () => {
  // Guards against work and objects for each piece while a caller reads slowly.
  it('joins the pieces that arrive while the reader is busy', async () => {
    const body = createOpenBody();
    const batches = readBatches(body, createPieceLimit());
    body.push(byte);
    expect((await batches.next()).value?.toString()).to.equal('a');
    for (let count = 0; count < 100; count += 1) body.push(byte);
    body.push(null);
    await nextTurn();
    expect((await batches.next()).value?.toString()).to.equal('a'.repeat(100));
    expect((await batches.next()).done).to.equal(true);
  });

  it('closes the body when its pieces are too many for their bytes', async () => {
    const body = createBody(repeat(byte, 10 * freePiecesCount));
    const read = async () => {
      for await (const batch of readBatches(body, createPieceLimit())) {
        expect(batch.length).to.be.greaterThan(0);
      }
    };
    expect(await rejectionOf(read())).to.be.instanceOf(PieceLimitError);
    expect(body.destroyed).to.equal(true);
  });

  it('closes the body when its reader stops', async () => {
    const body = createBody(repeat(byte, 10));
    for await (const batch of readBatches(body, createPieceLimit())) {
      expect(batch.length).to.be.greaterThan(0);
      break;
    }
    expect(body.destroyed).to.equal(true);
  });

  // Guards against a reader that waits for events that have passed.
  it('fails when the body is closed before or while it is read', async () => {
    const closed = createOpenBody();
    closed.destroy();
    await nextTurn();
    const open = createOpenBody();
    const cause = new Error('reset');
    setImmediate(() => open.destroy(cause));
    expect(await rejectionOf(readLimitedBody(closed, 10))).to.be.instanceOf(
      Error,
    );
    expect(await rejectionOf(readLimitedBody(open, 10))).to.equal(cause);
  });
});

describe('readLimitedBody', () => {
  it('returns a whole body in pieces of any size', async () => {
    for (const size of [1, 7, 4_096, 300_000]) {
      const piece = Buffer.alloc(size, 'b');
      const {bytes, complete} = await readLimitedBody(
        createBody(repeat(piece, 3)),
        3 * size,
      );
      expect(bytes.equals(Buffer.alloc(3 * size, 'b'))).to.equal(true);
      expect(complete).to.equal(true);
    }
  });

  it('returns the beginning of a body that exceeds its limit', async () => {
    const body = createBody(repeat(byte, 100));
    const {bytes, complete} = await readLimitedBody(body, 10);
    expect(bytes.toString()).to.equal('a'.repeat(10));
    expect(complete).to.equal(false);
    expect(body.destroyed).to.equal(true);
  });
});
