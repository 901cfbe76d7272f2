import {readFileSync} from 'node:fs';
import {createHash} from 'node:crypto';
import {expect} from 'chai';
import {parseClasses} from '../../index.js';

const samples = new URL('../../../../../samples/', import.meta.url);
const sampleFiles = ['tkacik.classes.ini', 'plamenik.classes.ini'];

function readSample(name: string): string {
  return readFileSync(new URL(name, samples), 'utf8');
}

function classText(name: string, lines: readonly string[]): string {
  const base = ['priority = 1', 'target_total = 1s', 'max_wait = 2s'];
  return [`[class.${name}]`, ...base, ...lines, ''].join('\n');
}

function faultsOf(text: string): string[] {
  const error = parseClasses(text, 'c.ini')._unsafeUnwrapErr();
  return error.faults.map(fault => `${fault.line}: ${fault.message}`);
}

describe('parseClasses', () => {
  for (const file of sampleFiles) {
    it(`accepts ${file}, so that the demo cannot start with an invalid sample`, () => {
      const {classes, workspaces} = parseClasses(
        readSample(file),
        file,
      )._unsafeUnwrap();
      expect(classes.length).to.be.at.least(4);
      expect(workspaces).to.have.length(10);
      for (const {id, keySha256} of workspaces) {
        const hash = createHash('sha256').update(`key-${id}`).digest('hex');
        expect(keySha256).to.equal(hash);
      }
    });
  }

  it('converts units and choices, so that 400ms is not read as 400 seconds', () => {
    const {classes} = parseClasses(
      readSample('tkacik.classes.ini'),
      'c.ini',
    )._unsafeUnwrap();
    expect(classes[0]).to.deep.include({
      id: 'fitting-answer',
      tier: 1,
      target: {firstTokenMs: 400, totalMs: 3000},
      idempotent: true,
      maxWaitMs: 2000,
    });
    expect(classes[3]).to.deep.include({idempotent: false});
  });

  it('reports all faults at once, so that operators need not fix them one by one', () => {
    const text = [
      '[class.a]',
      'priority = 5',
      'weight = 3',
      'target_total = 400',
      'idempotent = maybe',
      'models = m',
      'services = s',
      '[workspace.w]',
      'key_sha256 = abc',
      '[klass.b]',
      '[workspace.w]',
      'nonsense',
    ].join('\n');
    expect(faultsOf(text)).to.deep.equal([
      '1: key "max_wait" is missing in [class.a]',
      '2: priority: "5" is not allowed; use 1, 2, 3, 4',
      '3: key "weight" is unknown in [class.a]; allowed are priority, target_first_token, target_token_gap, target_total, idempotent, max_wait, models, services, methods, paths, only_when_named',
      '4: target_total: "400" is not a duration; write a number with unit ms, s, m or h, such as 400ms or 2s',
      '5: idempotent: "maybe" is not allowed; use yes, no',
      '7: [class.a] lists both models and services; split it into two classes',
      '9: key_sha256: the value is not a SHA-256 hash; write 64 lower-case hexadecimal digits (printf %s KEY | sha256sum)',
      '10: section [klass.b] is unknown; allowed are [class.<name>] and [workspace.<name>]',
      '11: section [workspace.w] is a duplicate of line 8; keep one of them',
      '11: key "key_sha256" is missing in [workspace.w]',
      '12: "nonsense" is neither a section nor an entry; write [section] or key = value',
    ]);
  });

  it('rejects a class without a match or a target, which would have no effect', () => {
    const text =
      '[class.a]\npriority = 1\nidempotent = yes\nmax_wait = 1s\nmodels =\n';
    expect(faultsOf(text)).to.deep.equal([
      '1: [class.a] has no target; set at least one of target_first_token, target_token_gap, target_total',
      '1: [class.a] matches no request; list names in models or services',
    ]);
  });

  it('rejects overlapping plain calls, so that a non-idempotent call cannot get a class that retries it', () => {
    const text =
      classText('order', ['idempotent = no', 'services = s', 'paths = /o']) +
      classText('read', [
        'idempotent = yes',
        'services = s',
        'paths = /o/list',
        'only_when_named = yes',
      ]);
    expect(faultsOf(text)).to.deep.equal([
      '8: [class.read] and [class.order] (line 1) both match service "s"; narrow the methods or paths',
    ]);
  });

  it('allows classes to share a model only when at most one of them is the default', () => {
    const first = classText('a', ['idempotent = yes', 'models = m']);
    const second = classText('b', ['idempotent = yes', 'models = m']);
    expect(faultsOf(first + second)).to.deep.equal([
      '7: [class.b] and [class.a] (line 1) both match model "m"; set only_when_named = yes in all but one of them',
    ]);
    const named = `${second}only_when_named = yes\n`;
    expect(parseClasses(first + named, 'c.ini').isOk()).to.equal(true);
  });

  it('rejects two workspaces with the same key, since their callers would be indistinguishable', () => {
    const key = `key_sha256 = ${'a'.repeat(64)}\n`;
    const text =
      classText('a', ['idempotent = yes', 'models = m']) +
      `[workspace.x]\n${key}[workspace.y]\n${key}`;
    expect(faultsOf(text)).to.deep.equal([
      '10: key_sha256 is also the key of [workspace.x]; give each workspace its own key',
    ]);
  });

  it('rejects a class of plain services without a total target, since they send no tokens', () => {
    const text = [
      '[class.a]',
      'priority = 1',
      'target_first_token = 1s',
      'max_wait = 1s',
      'idempotent = yes',
      'services = s',
      '',
    ].join('\n');
    expect(faultsOf(text)).to.deep.equal([
      '1: [class.a] lists plain services, which send no tokens; set target_total',
    ]);
  });
});
