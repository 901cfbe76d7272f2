/**
 * Child process: an engine that streams chat completions with a fixed number
 * of tokens per chunk at a fixed interval. The engine stand-in of this
 * repository writes one token per chunk, so it cannot show the effect of
 * several tokens in a chunk.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {serveParentCalls} from './ChildProcess.js';

/** How a response is streamed; the first message of a call holds it as JSON. */
export interface ChunkPlan {
  readonly chunks: number;
  readonly tokensPerChunk: number;
  readonly gapMs: number;
}

interface ChatStream {
  readonly response: ServerResponse;
  readonly plan: ChunkPlan;
  readonly head: object;
  nextEventId: number;
  sentChunks: number;
}

let writtenChunks = 0;
let writtenBytes = 0;

const tokenText = ' measured';

function writeChunk({response}: ChatStream, text: string): void {
  writtenChunks += 1;
  writtenBytes += text.length;
  response.write(text);
}

function formatEvent(
  stream: ChatStream,
  delta: object,
  finishReason: string | null,
) {
  const choices = [{index: 0, delta, finish_reason: finishReason}];
  const data = JSON.stringify({...stream.head, choices});
  return `id: ${stream.nextEventId++}\ndata: ${data}\n\n`;
}

function formatFinalEvents(stream: ChatStream): string {
  const finishText = formatEvent(stream, {}, 'stop');
  const {chunks, tokensPerChunk} = stream.plan;
  const usage = {
    prompt_tokens: 10,
    completion_tokens: chunks * tokensPerChunk,
    total_tokens: 10 + chunks * tokensPerChunk,
  };
  const data = JSON.stringify({...stream.head, choices: [], usage});
  const usageText = `id: ${stream.nextEventId++}\ndata: ${data}\n\n`;
  return `${finishText}${usageText}data: [DONE]\n\n`;
}

function writeNextChunk(stream: ChatStream): void {
  const {chunks, tokensPerChunk} = stream.plan;
  const events = Array.from({length: tokensPerChunk}, () =>
    formatEvent(stream, {content: tokenText}, null),
  );
  stream.sentChunks += 1;
  if (stream.sentChunks < chunks) {
    writeChunk(stream, events.join(''));
    return;
  }
  writeChunk(stream, events.join('') + formatFinalEvents(stream));
  stream.response.end();
}

function startStream(
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
  // When the router resumes a stream under another engine id, it sends the
  // tokens received so far as a second message.
  const receivedTokens = (prefix?.content.length ?? 0) / tokenText.length;
  const sentChunks = Math.floor(receivedTokens / plan.tokensPerChunk);
  const stream = {response, plan, head, nextEventId: 0, sentChunks};
  response.writeHead(200, {'content-type': 'text/event-stream'});
  const role = {role: 'assistant', content: ''};
  response.write(formatEvent(stream, role, null));
  const timer = setInterval(() => writeNextChunk(stream), plan.gapMs);
  response.on('close', () => clearInterval(timer));
  response.on('finish', () => clearInterval(timer));
}

const server = createServer((request, response) => {
  const parts: Buffer[] = [];
  request.on('data', (part: Buffer) => parts.push(part));
  request.on('end', () =>
    startStream(request, response, Buffer.concat(parts).toString('utf8')),
  );
});

serveParentCalls({
  start: () =>
    new Promise(resolve => {
      server.listen(0, '127.0.0.1', () =>
        resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`),
      );
    }),
  written: () => ({writtenChunks, writtenBytes}),
});
