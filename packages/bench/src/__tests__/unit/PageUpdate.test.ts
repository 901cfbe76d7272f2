import {expect} from 'chai';
import {replaceOutput} from '../../slopes/PageUpdate.js';

const page = 'a\n<!-- slopes: begin -->\nold\n<!-- slopes: end -->\nb\n';

describe('replaceOutput', () => {
  it('replaces only what the markers enclose, also when it is repeated', () => {
    const once = replaceOutput(page, 'new\n');
    expect(once).to.equal(
      'a\n<!-- slopes: begin -->\n\nnew\n\n<!-- slopes: end -->\nb\n',
    );
    expect(replaceOutput(once, 'new\n')).to.equal(once);
  });

  it('refuses a page without markers, whose text would be lost', () => {
    expect(() => replaceOutput('text', 'new')).to.throw('has no');
  });
});
