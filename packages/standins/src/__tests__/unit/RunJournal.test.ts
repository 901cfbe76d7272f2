import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {expect} from 'chai';
import {createRunJournal, readRunJournal} from '../../shared/RunJournal.js';

describe('createRunJournal', () => {
  it('keeps the last state of each record, so that runs of killed processes are counted', () => {
    const directory = mkdtempSync(join(tmpdir(), 'journal-'));
    const file = join(directory, 'runs');
    const first = {key: 'a', finished: false};
    const journal = createRunJournal<typeof first>(file);
    journal.write(first);
    journal.write({key: 'b', finished: false});
    journal.write(Object.assign(first, {finished: true}));
    expect(readRunJournal(file)).to.deep.equal([
      {key: 'a', finished: true},
      {key: 'b', finished: false},
    ]);
    rmSync(directory, {recursive: true});
  });
});
