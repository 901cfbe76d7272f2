import {expect} from 'chai';
import {request} from 'undici';
import type {EngineStandIn} from '../../index.js';
import {createEngineStandIn, lengthMarker, responseText} from '../../index.js';

const model = 'test-model';

function bodyOf(tokens: number, more: object = {}): Record<string, unknown> {
  const content = `measure the waist ${lengthMarker(tokens)}`;
  return {model, messages: [{role: 'user', content}], stream: true, ...more};
}

function expectedText(tokens: number): string {
  const content = `measure the waist ${lengthMarker(tokens)}`;
  return responseText([{role: 'user', content}]);
}

interface StreamResponse {
  readonly status: number;
  readonly text: string;
  readonly lastId: number;
  readonly done: boolean;
  readonly broken: boolean;
}

async function send(
  engine: EngineStandIn,
  body: unknown,
  headers: Record<string, string> = {},
): Promise<StreamResponse> {
  const response = await request(`${engine.url}/v1/chat/completions`, {
    method: 'POST',
    body: JSON.stringify(body),
    headers: {'content-type': 'application/json', ...headers},
  });
  let raw = '';
  let broken = false;
  try {
    for await (const chunk of response.body) raw += String(chunk);
  } catch {
    broken = true;
  }
  return {...parseStream(raw), status: response.statusCode, broken};
}

function parseStream(raw: string) {
  let text = '';
  let lastId = -1;
  for (const event of raw.split('\n\n')) {
    const id = /^id: (\d+)$/m.exec(event)?.[1];
    const data = /^data: (\{.*)$/m.exec(event)?.[1];
    if (id === undefined || data === undefined) continue;
    lastId = Number(id);
    text += JSON.parse(data).choices[0]?.delta.content ?? '';
  }
  return {text, lastId, done: raw.endsWith('data: [DONE]\n\n')};
}

describe('createEngineStandIn', () => {
  let engine: EngineStandIn;

  beforeEach(async () => {
    const profile = {tokenGapMs: 2, batchLimit: 1};
    engine = await createEngineStandIn({id: 'e1', model, profile});
  });

  afterEach(() => engine.close());

  it('streams the response that the oracle computes, so that checks are exact', async () => {
    const response = await send(engine, bodyOf(12), {'x-request-id': 'r1'});
    expect(response.text).to.equal(expectedText(12));
    expect(response.done).to.equal(true);
    expect(engine.runs()[0]).to.include({
      requestId: 'r1',
      generatedTokens: 12,
      finished: true,
    });
  });

  it('resumes a broken stream after the last event without generating tokens again', async () => {
    engine.switch({breakStreams: {count: 1, afterTokens: 5}});
    const first = await send(engine, bodyOf(12), {'x-request-id': 'r2'});
    expect(first.broken).to.equal(true);
    const second = await send(engine, bodyOf(12), {
      'x-request-id': 'r2',
      'last-event-id': String(first.lastId),
    });
    expect(first.text + second.text).to.equal(expectedText(12));
    expect(engine.runs()).to.have.length(1);
    expect(engine.runs()[0]).to.include({generatedTokens: 12, resumed: 1});
  });

  it('responds with 410 when the run to resume does not exist', async () => {
    const headers = {'x-request-id': 'r3', 'last-event-id': '4'};
    expect((await send(engine, bodyOf(12), headers)).status).to.equal(410);
  });

  it('continues a prefix that ends within a token', async () => {
    const whole = expectedText(12);
    const prefix = whole.slice(0, 20);
    const body = bodyOf(12, {continue_final_message: true});
    const messages = body['messages'] as unknown[];
    messages.push({role: 'assistant', content: prefix});
    const response = await send(engine, body);
    expect(prefix + response.text).to.equal(whole);
  });

  it('rejects a prefix of another response, so that mixed-up responses are detected', async () => {
    const body = bodyOf(12, {continue_final_message: true});
    const messages = body['messages'] as unknown[];
    messages.push({role: 'assistant', content: 'of another answer '});
    expect((await send(engine, body)).status).to.equal(400);
  });

  it('runs waiting jobs in order of priority, so that a lost priority is detected', async () => {
    const order: string[] = [];
    const sendNamed = async (name: string, priority: number) => {
      await send(engine, bodyOf(8, {priority}), {'x-request-id': name});
      order.push(name);
    };
    await Promise.all([
      sendNamed('first', 0),
      sendNamed('low', 9),
      sendNamed('high', 1),
    ]);
    expect(order.indexOf('high')).to.be.lessThan(order.indexOf('low'));
  });

  it('crashes in place of the first token of a prompt with the text of the fault, and of no other', async () => {
    engine.switch({crashOnText: 'collar'});
    expect(await send(engine, bodyOf(3))).to.include({done: true});
    const messages = [
      {role: 'system', content: 'measure the collar'},
      {role: 'user', content: lengthMarker(3)},
    ];
    const crashed = await send(engine, bodyOf(3, {messages}));
    expect(crashed).to.include({broken: true, text: ''});
    const refused = await send(engine, bodyOf(3)).catch(
      (error: NodeJS.ErrnoException) => error.code,
    );
    expect(refused).to.equal('ECONNREFUSED');
  });

  // Guards against plays of a limit that no response states.
  it('states a request rate in all responses', async () => {
    for (const refuse of [true, false]) {
      engine.switch({rateLimit: '0.5', refuse});
      const response = await request(`${engine.url}/v1/chat/completions`, {
        method: 'POST',
        body: JSON.stringify(bodyOf(1)),
      });
      await response.body.dump();
      expect(response.headers['x-upstream-rate-limit']).to.equal('0.5');
    }
  });

  it('ends truncated streams cleanly but without the end marker', async () => {
    engine.switch({truncateStreams: {count: 1, afterTokens: 3}});
    const response = await send(engine, bodyOf(12));
    expect(response).to.include({broken: false, done: false});
  });
});
