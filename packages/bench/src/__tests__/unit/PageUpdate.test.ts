import {expect} from 'chai';
import {replaceOutput} from '../../slopes/PageUpdate.js';

const page = 'a\n<!-- slopes: begin -->\nold\n<!-- slopes: end -->\nb\n';

describe('replaceOutput', () => {
  it('replaces only the text between the markers and is idempotent', () => {
    const once = replaceOutput(page, 'new\n');
    expect(once).to.equal(
      'a\n<!-- slopes: begin -->\n\nnew\n\n<!-- slopes: end -->\nb\n',
    );
    expect(replaceOutput(once, 'new\n')).to.equal(once);
  });

  it('rejects a page without markers, whose text would be lost', () => {
    expect(() => replaceOutput('text', 'new')).to.throw('has no');
  });
});
