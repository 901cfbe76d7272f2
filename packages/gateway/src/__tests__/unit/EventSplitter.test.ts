import {expect} from 'chai';
import {createEventSplitter} from '../../request/EventSplitter.js';

describe('EventBoundaries', () => {
  it('returns only complete events, however their bytes are chunked', () => {
    const text = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c';
    for (let size = 1; size <= text.length; size++) {
      const boundaries = createEventSplitter();
      let passed = '';
      let count = 0;
      for (let at = 0; at < text.length; at += size) {
        const whole = boundaries.push(Buffer.from(text.slice(at, at + size)));
        passed += whole?.bytes.toString() ?? '';
        count += whole?.count ?? 0;
      }
      expect(passed).to.equal(text.slice(0, text.indexOf('id: 3')));
      expect(count).to.equal(2);
      expect(boundaries.lastEventId()).to.equal('2');
      expect(boundaries.pendingBytes()).to.equal('id: 3\ndata: c'.length);
    }
  });
});
