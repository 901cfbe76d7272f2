import {expect} from 'chai';
import fc from 'fast-check';
import {createSseScanner, formatEvent} from '../../request/chat/SseScanner.js';
import type {Transcript} from '../../request/chat/Transcript.js';
import {createTranscript} from '../../request/chat/Transcript.js';

const responseId = 'chatcmpl-r1';

interface ChatCompletion {
  readonly choices: readonly {
    readonly message: {readonly content: string};
    readonly finish_reason: string;
  }[];
  readonly usage: {readonly completion_tokens: number};
}

function chunk(delta: object, finishReason: string | null, id = responseId) {
  const choices = [{index: 0, delta, finish_reason: finishReason}];
  return JSON.stringify({id, choices});
}

/** Returns the events of an engine's response, from role to end marker. */
function engineEvents(texts: readonly string[]): string[] {
  const usage = {
    prompt_tokens: 5,
    completion_tokens: texts.length,
    total_tokens: 5 + texts.length,
  };
  const data = [
    chunk({role: 'assistant', content: ''}, null),
    ...texts.map(content => chunk({content}, null)),
    chunk({}, 'stop'),
    JSON.stringify({id: responseId, choices: [], usage}),
  ];
  return [
    ...data.map((text, id) => formatEvent({id, data: text})),
    formatEvent({id: undefined, data: '[DONE]'}),
  ];
}

function feed(transcript: Transcript, stream: string): string {
  const scanned = createSseScanner().push(Buffer.from(stream));
  if (scanned === undefined) return '';
  const relayed = transcript.receive(scanned);
  return Buffer.from(relayed._unsafeUnwrap()).toString();
}

function receiveError(stream: string): string {
  const transcript = createTranscript(responseId, true);
  transcript.begin('fresh');
  const scanned = createSseScanner().push(Buffer.from(stream));
  const received = transcript.receive(scanned!);
  return received.isErr() ? received.error.message : 'none';
}

function eventIds(relayed: string): number[] {
  return [...relayed.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]));
}

const texts = ['a ', 'b ', 'c ', 'd '];

describe('createSseScanner', () => {
  it('returns the same bytes wherever the stream is split into chunks', () => {
    const stream = Buffer.from(engineEvents(['ž', 'š ', '🧵']).join(''));
    const cuts = fc.array(fc.nat(stream.length), {maxLength: 8});
    fc.assert(
      fc.property(cuts, positions => {
        const scanner = createSseScanner();
        const bounds = [0, ...positions.sort((a, b) => a - b), stream.length];
        const relayed: Buffer[] = [];
        for (let i = 1; i < bounds.length; i++) {
          const part = stream.subarray(bounds[i - 1], bounds[i]);
          const scanned = scanner.push(part);
          if (scanned !== undefined) relayed.push(scanned.bytes);
        }
        return Buffer.concat(relayed).equals(stream);
      }),
      {seed: 3, numRuns: 200},
    );
  });

  it('accepts lines that end with CR LF', () => {
    const scanned = createSseScanner().push(
      Buffer.from('id: 1\r\ndata: x\r\n\r\n'),
    );
    expect(scanned?.events).to.deep.equal([{id: 1, data: 'x'}]);
  });
});

describe('createTranscript', () => {
  it('relays a response without faults byte for byte', () => {
    const transcript = createTranscript(responseId, true);
    transcript.begin('fresh');
    const stream = engineEvents(texts).join('');
    expect(feed(transcript, stream)).to.equal(stream);
    expect(transcript.complete).to.equal(true);
  });

  it('omits the usage event if the caller did not request it', () => {
    const transcript = createTranscript(responseId, false);
    transcript.begin('fresh');
    const relayed = feed(transcript, engineEvents(texts).join(''));
    expect(relayed).to.not.contain('usage');
    expect(relayed).to.contain('[DONE]');
  });

  it('joins the parts of a response after any sequence of breaks, so that no text, id or token count is lost or duplicated', () => {
    const events = engineEvents(texts);
    const cut = fc.integer({min: 1, max: events.length - 1});
    const kind = fc.constantFrom('resume' as const, 'continue' as const);
    fc.assert(
      fc.property(fc.array(fc.tuple(cut, kind), {maxLength: 4}), breaks => {
        const transcript = createTranscript(responseId, true);
        transcript.begin('fresh');
        let remaining = events;
        let relayed = '';
        for (const [length, next] of breaks) {
          if (length >= remaining.length) continue;
          relayed += feed(transcript, remaining.slice(0, length).join(''));
          remaining =
            next === 'resume'
              ? remaining.slice(length)
              : engineEvents(texts.slice(transcript.tokens));
          transcript.begin(next);
        }
        relayed += feed(transcript, remaining.join(''));
        const completion = JSON.parse(
          transcript.toCompletion()._unsafeUnwrap(),
        ) as ChatCompletion;
        expect(transcript.complete).to.equal(true);
        expect(completion.choices[0]?.message.content).to.equal(texts.join(''));
        expect(completion.choices[0]?.finish_reason).to.equal('stop');
        expect(completion.usage.completion_tokens).to.equal(texts.length);
        const ids = eventIds(relayed);
        expect(ids).to.deep.equal(ids.map((_, i) => i));
        expect(relayed.match(/"role"/g)).to.have.length(1);
      }),
      {seed: 5, numRuns: 300},
    );
  });

  it('rejects events of another request, so that responses are never mixed', () => {
    const otherEvent = formatEvent({
      id: 0,
      data: chunk({}, null, 'chatcmpl-r11'),
    });
    expect(receiveError(otherEvent)).to.contain(
      'does not belong to the request',
    );
  });

  it('rejects a gap in the event ids, so that a partial response never passes as complete', () => {
    const events = engineEvents(texts);
    events.splice(2, 1);
    expect(receiveError(events.join(''))).to.contain('event 3 follows event 1');
  });

  it('rejects an end marker without a finish reason, so that a truncated response never passes as complete', () => {
    const events = engineEvents(texts);
    const end = events[events.length - 1]!;
    expect(receiveError(events.slice(0, 3).join('') + end)).to.contain(
      'no finish reason',
    );
  });

  it('returns no document for a response that is too large to be stored whole', () => {
    // The stored part was returned with status 200, without the rest.
    const transcript = createTranscript(responseId, false);
    transcript.begin('fresh');
    const content = 'x'.repeat(1024 * 1024);
    for (let id = 0; id < 10; id++) {
      feed(transcript, formatEvent({id, data: chunk({content}, null)}));
    }
    const last = formatEvent({id: 10, data: chunk({}, 'stop')});
    feed(transcript, last);
    expect(transcript.toCompletion().isErr()).to.equal(true);
  });

  // Guards against a call that fails as an internal error because an engine sent a malformed chunk.
  it('offers neither a prefix nor a document of a response with a malformed chunk', () => {
    const malformed = [
      `{"id":"${responseId}","choices":[{`,
      JSON.stringify({id: responseId}),
    ];
    for (const data of malformed) {
      const transcript = createTranscript(responseId, false);
      transcript.begin('fresh');
      feed(transcript, formatEvent({id: 0, data}));
      feed(transcript, formatEvent({id: 1, data: chunk({}, 'stop')}));
      expect(transcript.prefix()).to.equal(undefined);
      expect(transcript.toCompletion().isErr()).to.equal(true);
    }
  });

  it('merges the deltas of tool calls, and offers no prefix, as text cannot continue a tool call', () => {
    const call = (args: string, name?: string) =>
      chunk(
        {tool_calls: [{index: 0, id: 'c1', function: {name, arguments: args}}]},
        null,
      );
    const data = [call('{"size"', 'cut'), call(':4}'), chunk({}, 'tool_calls')];
    const transcript = createTranscript(responseId, false);
    transcript.begin('fresh');
    feed(transcript, data.map((d, id) => formatEvent({id, data: d})).join(''));
    expect(transcript.prefix()).to.equal(undefined);
    const completion = transcript.toCompletion()._unsafeUnwrap();
    expect(completion).to.contain('"arguments":"{\\"size\\":4}"');
  });
});
