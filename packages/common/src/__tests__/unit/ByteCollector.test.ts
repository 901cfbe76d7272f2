import {expect} from 'chai';
import fc from 'fast-check';
import {createByteCollector} from '../../ByteCollector.js';

describe('ByteCollector', () => {
  it('returns the bytes in their order and starts again', () => {
    const chunks = fc.array(fc.uint8Array({maxLength: 700}), {maxLength: 60});
    fc.assert(
      fc.property(chunks, chunks, (first, second) => {
        const collector = createByteCollector();
        for (const parts of [first, second]) {
          for (const part of parts) collector.add(part);
          const expected = Buffer.concat(parts);
          expect(collector.sizeBytes).to.equal(expected.length);
          expect(collector.take()).to.deep.equal(expected);
          expect(collector.sizeBytes).to.equal(0);
        }
      }),
    );
  });

  // Guards against a heap that is filled by the objects of small chunks.
  it('does not keep the chunks that it is given', () => {
    const collector = createByteCollector();
    const chunk = Buffer.from('a');
    collector.add(chunk);
    chunk.write('b');
    expect(collector.take().toString()).to.equal('a');
  });
});
