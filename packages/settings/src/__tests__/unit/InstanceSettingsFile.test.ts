import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {expect} from 'chai';
import {loadInstanceSettings, parseInstanceSettings} from '../../index.js';

const sample = fileURLToPath(
  new URL('../../../../../samples/instance.ini', import.meta.url),
);

function faultsOf(text: string): string[] {
  const error = parseInstanceSettings(text, 'i.ini')._unsafeUnwrapErr();
  return error.faults.map(fault => `${fault.line}: ${fault.message}`);
}

describe('parseInstanceSettings', () => {
  it('applies defaults, so that administration listens on loopback unless configured otherwise', () => {
    const text = readFileSync(sample, 'utf8');
    const settings = parseInstanceSettings(
      text,
      '/etc/t/i.ini',
    )._unsafeUnwrap();
    expect(settings).to.deep.include({
      admin: {host: '127.0.0.1', port: 9090},
      defaultTimeoutMs: 300_000,
      instanceListPollMs: 1000,
      logFormat: 'json',
      maxBodyBytes: 4 * 1024 * 1024,
      platformTimeoutMs: 2000,
      readerTokenFile: '/etc/t/tokens/reader',
      seedPeers: [],
    });
  });

  it('reports missing sections and invalid values at once', () => {
    const text = [
      '[instance]',
      'id = r 1',
      'region = z',
      'region = y',
      'failure_domain = a',
      '[listen]',
      'callers = 127.0.0.1:70000',
      'peers = 7070',
      '[platform]',
      'key_value = 127.0.0.1:2379',
      'instance_list = ftp://x',
      'timeout = 2 weeks',
      '[requests]',
      'max_body = 4MB',
      '[log]',
      'level = loud',
      '[cluster]',
    ].join('\n');
    expect(faultsOf(text)).to.deep.equal([
      '0: key "reader_token_file" is missing in [admin]',
      '0: key "writer_token_file" is missing in [admin]',
      '2: id: "r 1" is not a name; a name has 1 to 63 letters, digits, ".", "_" or "-" and starts with a letter or digit',
      '4: key "region" is a duplicate of line 3; keep one of them',
      '7: callers: port 70000 in "127.0.0.1:70000" is out of range; allowed are 1 to 65535',
      '8: peers: "7070" is not an address; write host:port, such as 127.0.0.1:8080',
      '11: instance_list: "ftp://x" is not a URL; write http://host:port/path',
      '12: timeout: "2 weeks" is not a duration; write a number with unit ms, s, m or h, such as 400ms or 2s',
      '14: max_body: "4MB" is not a size; write a number with unit B, KiB or MiB, such as 4MiB',
      '16: level: "loud" is not allowed; use debug, error, info, warn',
      '17: section [cluster] is unknown; allowed are instance, listen, platform, peers, admin, requests, limits, upstreams, log',
    ]);
  });

  it('rejects one address for two servers, since the second could not listen', () => {
    const text = readFileSync(sample, 'utf8').replace(':7070', ':9090');
    expect(faultsOf(text)[0]).to.contain(
      'peers: 127.0.0.1:9090 is also the address of "admin"; use another port',
    );
  });
});

describe('loadInstanceSettings', () => {
  let directory: string;
  beforeEach(() => {
    directory = mkdtempSync(path.join(os.tmpdir(), 'settings-'));
  });
  afterEach(() => rmSync(directory, {recursive: true}));

  it('loads the sample with its token files', async () => {
    const settings = (await loadInstanceSettings(sample))._unsafeUnwrap();
    expect(settings.instanceId).to.equal('router-1');
  });

  it('returns an error for a missing file instead of throwing', async () => {
    const file = path.join(directory, 'none.ini');
    const error = (await loadInstanceSettings(file))._unsafeUnwrapErr();
    expect(error.message).to.equal(
      `${file}:0: the settings file cannot be read; check its path and permissions`,
    );
  });

  it('reports missing and empty token files together with the other faults', async () => {
    const file = path.join(directory, 'i.ini');
    const text = readFileSync(sample, 'utf8')
      .replace('tokens/reader', 'reader')
      .replace('tokens/writer', 'writer')
      .replace('region = zilina', 'region =');
    writeFileSync(file, text);
    writeFileSync(path.join(directory, 'reader'), '\n');
    const error = (await loadInstanceSettings(file))._unsafeUnwrapErr();
    expect(error.faults.map(({message}) => message)).to.deep.equal([
      'region: "" is not a name; a name has 1 to 63 letters, digits, ".", "_" or "-" and starts with a letter or digit',
      `reader_token_file: "${path.join(directory, 'reader')}" is empty; write a token to it`,
      `writer_token_file: "${path.join(directory, 'writer')}" cannot be read; create it`,
    ]);
  });
});
