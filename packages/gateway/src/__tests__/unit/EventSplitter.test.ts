import {expect} from 'chai';
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
});
