import {expect} from 'chai';
import fc from 'fast-check';
import {createSseScanner} from '../../request/chat/SseScanner.js';

describe('createSseScanner', () => {
  it('returns the same events however their bytes are chunked', () => {
    const stream =
      'id: 1\ndata: a\n\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid: 4';
    const chunkSizes = fc.array(fc.integer({min: 1, max: 9}));
    fc.assert(
      fc.property(chunkSizes, sizes => {
        const scanner = createSseScanner();
        const data: string[] = [];
        let passed = '';
        let at = 0;
        for (const size of [...sizes, stream.length]) {
          const scanned = scanner.push(
            Buffer.from(stream.slice(at, at + size)),
          );
          passed += scanned?.bytes.toString() ?? '';
          data.push(...(scanned?.events ?? []).map(event => event.data));
          at += size;
        }
        expect(data).to.deep.equal(['a', 'b', 'c']);
        const whole = stream.replaceAll('\r', '');
        expect(passed).to.equal(whole.slice(0, whole.indexOf('id: 4')));
        expect(scanner.pendingBytes()).to.equal('id: 4'.length);
      }),
    );
  });

  // Guards against work that grows with the square of an event that does not end.
  it('looks at each byte of an endless event once', () => {
    const scanner = createSseScanner();
    const line = Buffer.from('0123456789abcdef\n');
    const lineCount = 100_000;
    for (let index = 0; index < lineCount; index += 1) {
      expect(scanner.push(line)).to.equal(undefined);
    }
    expect(scanner.pendingBytes()).to.equal(lineCount * line.length);
    expect(scanner.push(Buffer.from('data: end\n\n'))?.events).to.have.length(
      1,
    );
    expect(scanner.pendingBytes()).to.equal(0);
  });
});
