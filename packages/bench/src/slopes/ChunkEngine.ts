/**
 * Child process: an engine that streams answers in the chat-completion format
 * with a fixed number of tokens in each chunk, at a fixed interval. The engine
 * stand-in of the repository writes one token at a time, so it cannot show the
 * effect of several tokens in a chunk.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {serveParent} from './ChildProcess.js';

/** How an answer is streamed; the last message of a call holds it as JSON. */
export interface ChunkPlan {
  readonly chunks: number;
  readonly tokensPerChunk: number;
  readonly gapMs: number;
}

interface Answer {
  readonly response: ServerResponse;
  readonly plan: ChunkPlan;
  readonly head: object;
  nextEventId: number;
  sentChunks: number;
}

let writtenChunks = 0;
let writtenBytes = 0;

const token = ' measured';

function writeChunk({response}: Answer, text: string): void {
  writtenChunks += 1;
  writtenBytes += text.length;
  response.write(text);
}

function eventText(answer: Answer, delta: object, finish: string | null) {
  const choices = [{index: 0, delta, finish_reason: finish}];
  const data = JSON.stringify({...answer.head, choices});
  return `id: ${answer.nextEventId++}\ndata: ${data}\n\n`;
}

function endText(answer: Answer): string {
  const finishText = eventText(answer, {}, 'stop');
  const {chunks, tokensPerChunk} = answer.plan;
  const usage = {
    prompt_tokens: 10,
    completion_tokens: chunks * tokensPerChunk,
    total_tokens: 10 + chunks * tokensPerChunk,
  };
  const data = JSON.stringify({...answer.head, choices: [], usage});
  const usageText = `id: ${answer.nextEventId++}\ndata: ${data}\n\n`;
  return `${finishText}${usageText}data: [DONE]\n\n`;
}

function writeNext(answer: Answer): void {
  const {chunks, tokensPerChunk} = answer.plan;
  const events = Array.from({length: tokensPerChunk}, () =>
    eventText(answer, {content: token}, null),
  );
  answer.sentChunks += 1;
  if (answer.sentChunks < chunks) {
    writeChunk(answer, events.join(''));
    return;
  }
  writeChunk(answer, events.join('') + endText(answer));
  answer.response.end();
}

function startAnswer(
  request: IncomingMessage,
  response: ServerResponse,
  body: string,
): void {
  const parsed = JSON.parse(body) as {
    readonly model: string;
    readonly messages: readonly {readonly content: string}[];
  };
  const [prompt, prefix] = parsed.messages;
  const plan = JSON.parse(prompt?.content ?? '') as ChunkPlan;
  const head = {
    id: `chatcmpl-${request.headers['x-request-id']}`,
    object: 'chat.completion.chunk',
    created: 1_764_800_000,
    model: parsed.model,
  };
  // A router that takes a stream from one engine id to another sends the
  // received prefix.
  const receivedTokens = (prefix?.content.length ?? 0) / token.length;
  const sentChunks = Math.floor(receivedTokens / plan.tokensPerChunk);
  const answer = {response, plan, head, nextEventId: 0, sentChunks};
  response.writeHead(200, {'content-type': 'text/event-stream'});
  const role = {role: 'assistant', content: ''};
  response.write(eventText(answer, role, null));
  const timer = setInterval(() => writeNext(answer), plan.gapMs);
  response.on('close', () => clearInterval(timer));
  response.on('finish', () => clearInterval(timer));
}

const server = createServer((request, response) => {
  const parts: Buffer[] = [];
  request.on('data', (part: Buffer) => parts.push(part));
  request.on('end', () =>
    startAnswer(request, response, Buffer.concat(parts).toString('utf8')),
  );
});

serveParent({
  start: () =>
    new Promise(resolve => {
      server.listen(0, '127.0.0.1', () =>
        resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`),
      );
    }),
  written: () => ({writtenChunks, writtenBytes}),
});
