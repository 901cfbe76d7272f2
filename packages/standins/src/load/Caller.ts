/**
 * Sends one planned request to an entry instance and observes the answer.
 */
import type {ErrorBody} from '@toucanrouter/common';
import type {Dispatcher} from 'undici';
import {request} from 'undici';
import {answerLengthOf, answerText} from '../engine/Answers.js';
import {parseJson} from '../shared/HttpUtils.js';
import {
  serviceAnswer,
  serviceRefusal,
  serviceRefusalType,
} from '../service/ServiceAnswers.js';
import type {EntryPool} from './EntryPool.js';
import type {PlannedCall, PlannedChat, PlannedRequest} from './LoadPlan.js';
import type {Observation} from './Observation.js';
import {createStreamReader} from './StreamReader.js';

/** Callers give an entry this long beyond the timeout that they asked for. */
export const callerPatienceMs = 10_000;

type Reply = Dispatcher.ResponseData;
type Seen = Omit<Observation, 'entry' | 'planned' | 'totalMs'>;

/** Sends a request to one of the entries and waits for its end. */
export async function callEntry(
  planned: PlannedRequest,
  entries: EntryPool,
  dispatcher: Dispatcher,
): Promise<Observation> {
  let seen = await callOnce(planned, entries.next(), dispatcher);
  // Nothing was sent to an entry that refused the connection.
  for (let i = 1; i < entries.size() && wasRefused(seen); i++) {
    seen = await callOnce(planned, entries.next(), dispatcher);
  }
  return seen;
}

function wasRefused({outcome, errorMessage}: Observation): boolean {
  return outcome === 'broken' && (errorMessage ?? '').includes('ECONNREFUSED');
}

async function callOnce(
  planned: PlannedRequest,
  entry: string,
  dispatcher: Dispatcher,
): Promise<Observation> {
  const startMs = performance.now();
  const elapsedMs = (): number => performance.now() - startMs;
  const controller = new AbortController();
  const limitMs =
    planned.abandonAfterMs ?? planned.timeoutMs + callerPatienceMs;
  const timer = setTimeout(() => controller.abort(), limitMs);
  const seen = await exchange(
    planned,
    entry,
    dispatcher,
    controller.signal,
    elapsedMs,
  );
  clearTimeout(timer);
  const abandoned =
    controller.signal.aborted && planned.abandonAfterMs !== undefined;
  const outcome =
    abandoned && seen.outcome === 'broken' ? 'abandoned' : seen.outcome;
  return {planned, entry, totalMs: elapsedMs(), ...seen, outcome};
}

async function exchange(
  planned: PlannedRequest,
  entry: string,
  dispatcher: Dispatcher,
  signal: AbortSignal,
  elapsedMs: () => number,
): Promise<Seen> {
  try {
    const reply = await request(urlOf(planned, entry), {
      method: methodOf(planned),
      headers: headersOf(planned),
      body: bodyOf(planned),
      dispatcher,
      signal,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    if (reply.statusCode !== 200) return await readError(reply);
    if (planned.content.kind === 'call') {
      return await readCall(reply, planned.content);
    }
    if (!planned.content.streamed) {
      return await readWhole(reply, planned.content);
    }
    return await readStream(reply, planned.content, elapsedMs);
  } catch (error) {
    return {...broken(''), errorMessage: String(error)};
  }
}

function broken(text: string): Seen {
  return {outcome: 'broken', text, faults: []};
}

function urlOf(planned: PlannedRequest, entry: string): string {
  const {content} = planned;
  return content.kind === 'chat'
    ? `http://${entry}/v1/chat/completions`
    : `http://${entry}/services/${content.service}${content.path}`;
}

function methodOf({content}: PlannedRequest): Dispatcher.HttpMethod {
  if (content.kind === 'chat') return 'POST';
  return content.method as Dispatcher.HttpMethod;
}

function headersOf(planned: PlannedRequest): Record<string, string> {
  const headers: Record<string, string> = {
    authorization: `Bearer ${planned.workspace.key}`,
    'x-request-id': planned.requestId,
    'x-request-timeout-ms': String(planned.timeoutMs),
  };
  const {content} = planned;
  if (planned.named) headers['x-service-class'] = planned.classId;
  if (content.kind === 'chat' || content.body !== '') {
    headers['content-type'] = 'application/json';
  }
  if (content.kind === 'call' && content.idempotencyKey !== undefined) {
    headers['idempotency-key'] = content.idempotencyKey;
  }
  return headers;
}

function bodyOf({content}: PlannedRequest): string | undefined {
  if (content.kind === 'call') return content.body || undefined;
  return JSON.stringify({
    model: content.model,
    messages: content.messages,
    stream: content.streamed,
    max_tokens: content.maxTokens,
  });
}

/**
 * Reads an error answer; every one must have the documented body, but for the
 * refusal of a plain service itself, which routers pass on.
 */
async function readError(reply: Reply): Promise<Seen> {
  const raw = await reply.body.text();
  const status = reply.statusCode;
  if (raw === serviceRefusal) {
    const errorType = serviceRefusalType;
    return {outcome: 'failed', status, errorType, text: '', faults: []};
  }
  const error = errorOf(parseJson(raw));
  if (error === undefined) {
    const fault = `status ${status} without an error body: ${raw.slice(0, 80)}`;
    return {outcome: 'failed', status, text: '', faults: [fault]};
  }
  return {...toFailure(error), status};
}

function errorOf(body: unknown): ErrorBody['error'] | undefined {
  const error = (body as Partial<ErrorBody> | undefined)?.error;
  return error?.run_status === undefined ? undefined : error;
}

function toFailure(error: ErrorBody['error'], text = ''): Seen {
  return {
    outcome: error.run_status === 'not_run' ? 'refused' : 'failed',
    errorType: error.type,
    errorMessage: error.message,
    runStatus: error.run_status,
    text,
    faults: [],
  };
}

async function readCall(reply: Reply, call: PlannedCall): Promise<Seen> {
  const text = await reply.body.text();
  const expected = JSON.stringify(serviceAnswer(call.service, call));
  const faults =
    text === expected ? [] : [`wrong answer: ${text.slice(0, 120)}`];
  return {outcome: 'completed', status: 200, text, faults};
}

interface WholeAnswer {
  readonly choices?: readonly {
    readonly message?: {readonly content?: string};
    readonly finish_reason?: string;
  }[];
  readonly usage?: {readonly completion_tokens?: number};
}

async function readWhole(reply: Reply, chat: PlannedChat): Promise<Seen> {
  const raw = await reply.body.text();
  const answer = parseJson(raw) as WholeAnswer | undefined;
  const choice = answer?.choices?.[0];
  const text = choice?.message?.content ?? '';
  const faults = textFaults(text, chat, true);
  if (choice?.finish_reason !== finishReasonOf(chat)) {
    faults.push(`finish reason ${choice?.finish_reason} of a whole answer`);
  }
  if (answer?.usage?.completion_tokens !== chat.outputTokens) {
    const counted = answer?.usage?.completion_tokens;
    faults.push(`usage of ${counted} tokens for ${chat.outputTokens}`);
  }
  return {outcome: 'completed', status: 200, text, faults};
}

async function readStream(
  reply: Reply,
  chat: PlannedChat,
  elapsedMs: () => number,
): Promise<Seen> {
  const reader = createStreamReader();
  let firstTokenMs: number | undefined;
  let cut = false;
  try {
    for await (const part of reply.body.setEncoding('utf8')) {
      if (reader.push(String(part))) firstTokenMs ??= elapsedMs();
    }
  } catch {
    cut = true;
  }
  const state = reader.state();
  const faults = [...state.breaches, ...textFaults(state.text, chat, false)];
  const seen = {status: 200, text: state.text, firstTokenMs};
  if (state.error !== undefined) {
    const failure = toFailure(state.error, state.text);
    return {...failure, ...seen, faults};
  }
  if (cut) return {...broken(state.text), ...seen, faults};
  faults.push(...endFaults(state, chat));
  return {...seen, outcome: 'completed', faults};
}

function finishReasonOf(chat: PlannedChat): string {
  const asked = answerLengthOf(chat.messages);
  return chat.maxTokens !== undefined && chat.maxTokens < asked
    ? 'length'
    : 'stop';
}

/** Checks a stream that ended cleanly. */
function endFaults(
  state: {text: string; done: boolean; finishReason: string | undefined},
  chat: PlannedChat,
): string[] {
  const faults: string[] = [];
  if (!state.done) faults.push('the stream ended cleanly without [DONE]');
  if (state.finishReason !== finishReasonOf(chat)) {
    faults.push(`finish reason ${state.finishReason} of a whole stream`);
  }
  if (state.text.length < answerText(chat.messages, chat.maxTokens).length) {
    faults.push(`partial answer of ${state.text.length} characters`);
  }
  return faults;
}

/** Checks that a text is the answer, or a beginning of it. */
function textFaults(text: string, chat: PlannedChat, whole: boolean): string[] {
  const expected = answerText(chat.messages, chat.maxTokens);
  const isRight = whole ? text === expected : expected.startsWith(text);
  if (isRight) return [];
  let at = 0;
  while (at < text.length && text[at] === expected[at]) at++;
  return [
    `wrong answer: differs at character ${at} of ${expected.length}: "${text.slice(at, at + 24)}" instead of "${expected.slice(at, at + 24)}"`,
  ];
}
