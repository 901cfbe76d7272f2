import {expect} from 'chai';
import fc from 'fast-check';
import {createEventSplitter} from '../../request/EventSplitter.js';

describe('EventSplitter', () => {
  it('returns only complete events, however their bytes are chunked', () => {
    const text = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c';
    for (let size = 1; size <= text.length; size++) {
      const splitter = createEventSplitter();
      let passed = '';
      let count = 0;
      for (let at = 0; at < text.length; at += size) {
        const complete = splitter.push(Buffer.from(text.slice(at, at + size)));
        passed += complete?.bytes.toString() ?? '';
        count += complete?.count ?? 0;
      }
      expect(passed).to.equal(text.slice(0, text.indexOf('id: 3')));
      expect(count).to.equal(2);
      expect(splitter.lastEventId()).to.equal('2');
      expect(splitter.pendingBytes()).to.equal('id: 3\ndata: c'.length);
    }
  });

  it('does not count comments as events', () => {
    const splitter = createEventSplitter();
    expect(splitter.push(Buffer.from(': ping\n\n'))).to.equal(undefined);
    expect(splitter.push(Buffer.from('\n\n'))).to.equal(undefined);
    const first = splitter.push(Buffer.from('id: 1\ndata: a\n\n: ping\n\n'));
    expect(first?.count).to.equal(1);
    expect(String(first?.bytes)).to.contain('ping');
    const comment = splitter.push(Buffer.from(': ping\n\n'));
    expect(comment?.count).to.equal(0);
    expect(String(comment?.bytes)).to.equal(': ping\n\n');
    expect(splitter.pendingBytes()).to.equal(0);
  });

  // Guards against work that grows with the square of an event that does not
  // end, which took all of an instance's processor (minutes for this test).
  it('looks at each byte of an endless event once', () => {
    const splitter = createEventSplitter();
    const line = Buffer.from('0123456789abcdef\n');
    const lineCount = 100_000;
    for (let index = 0; index < lineCount; index += 1) {
      expect(splitter.push(line)).to.equal(undefined);
    }
    expect(splitter.pendingBytes()).to.equal(lineCount * line.length);
    const completed = splitter.push(Buffer.from('data: end\n\n'));
    expect(completed?.count).to.equal(1);
    expect(splitter.pendingBytes()).to.equal(0);
  });

  // Guards against a heap that is filled by the objects of small chunks.
  it('does not keep the chunks of an event', () => {
    const splitter = createEventSplitter();
    const text = `data: ${'x'.repeat(3_000)}\n\n`;
    const chunk = Buffer.alloc(1);
    let passed = '';
    for (const character of text) {
      chunk.write(character);
      passed += String(splitter.push(chunk)?.bytes ?? '');
    }
    expect(passed).to.equal(text);
    expect(splitter.pendingBytes()).to.equal(0);
  });

  it('passes on every byte in order, wherever chunks are cut', () => {
    const stream = ': a\n\nid: 1\r\ndata: x\r\n\r\n: b\n\n\ndata: y\n\n: c\n\n';
    fc.assert(
      fc.property(fc.array(fc.integer({min: 1, max: 9})), sizes => {
        const splitter = createEventSplitter();
        let passed = '';
        let at = 0;
        for (const size of [...sizes, stream.length]) {
          const completed = splitter.push(
            Buffer.from(stream.slice(at, at + size)),
          );
          passed += completed?.bytes.toString() ?? '';
          at += size;
        }
        expect(passed).to.equal(stream);
        expect(splitter.lastEventId()).to.equal('1');
      }),
    );
  });
});
