/**
 * Sends one planned request to an entry instance and checks the response.
 */
import type {ErrorBody} from '@toucanrouter/common';
import type {Dispatcher} from 'undici';
import {request} from 'undici';
import {responseLengthOf, responseText} from '../engine/EngineResponses.js';
import {parseJson} from '../shared/HttpUtils.js';
import {
  serviceRefusal,
  serviceRefusalType,
  serviceResponse,
} from '../service/ServiceResponses.js';
import type {EntryPool} from './EntryPool.js';
import type {PlannedCall, PlannedChat, PlannedRequest} from './LoadPlan.js';
import type {Observation} from './Observation.js';
import {createStreamReader} from './StreamReader.js';

/** Time that callers wait beyond the timeout that they requested. */
export const callerTimeoutMarginMs = 10_000;

type HttpResponse = Dispatcher.ResponseData;
type CallResult = Omit<Observation, 'entry' | 'planned' | 'totalMs'>;

/** Sends a request to one of the entries and waits until it completes. */
export async function callEntry(
  planned: PlannedRequest,
  entries: EntryPool,
  dispatcher: Dispatcher,
): Promise<Observation> {
  let observation = await callOnce(planned, entries.next(), dispatcher);
  // A refused connection has sent nothing, so another entry is safe to try.
  for (
    let i = 1;
    i < entries.size() && connectionWasRefused(observation);
    i++
  ) {
    observation = await callOnce(planned, entries.next(), dispatcher);
  }
  return observation;
}

function connectionWasRefused({outcome, errorMessage}: Observation): boolean {
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
  const abortAfterMs =
    planned.abandonAfterMs ?? planned.timeoutMs + callerTimeoutMarginMs;
  const timer = setTimeout(() => controller.abort(), abortAfterMs);
  const result = await exchange(
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
    abandoned && result.outcome === 'broken' ? 'abandoned' : result.outcome;
  return {planned, entry, totalMs: elapsedMs(), ...result, outcome};
}

async function exchange(
  planned: PlannedRequest,
  entry: string,
  dispatcher: Dispatcher,
  signal: AbortSignal,
  elapsedMs: () => number,
): Promise<CallResult> {
  try {
    const response = await request(urlOf(planned, entry), {
      method: methodOf(planned),
      headers: headersOf(planned),
      body: bodyOf(planned),
      dispatcher,
      signal,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    if (response.statusCode !== 200) return await readError(response);
    if (planned.content.kind === 'call') {
      return await readCall(response, planned.content);
    }
    if (!planned.content.streamed) {
      return await readCompletion(response, planned.content);
    }
    return await readStream(response, planned.content, elapsedMs);
  } catch (error) {
    return {...brokenResult(''), errorMessage: String(error)};
  }
}

function brokenResult(text: string): CallResult {
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
 * Reads an error response. Each must have the documented body, except for the
 * refusal of a plain service, which routers pass on unchanged.
 */
async function readError(response: HttpResponse): Promise<CallResult> {
  const raw = await response.body.text();
  const status = response.statusCode;
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

function toFailure(error: ErrorBody['error'], text = ''): CallResult {
  return {
    outcome: error.run_status === 'not_run' ? 'refused' : 'failed',
    errorType: error.type,
    errorMessage: error.message,
    runStatus: error.run_status,
    text,
    faults: [],
  };
}

async function readCall(
  response: HttpResponse,
  call: PlannedCall,
): Promise<CallResult> {
  const text = await response.body.text();
  const expected = JSON.stringify(serviceResponse(call.service, call));
  const faults =
    text === expected ? [] : [`unexpected response: ${text.slice(0, 120)}`];
  return {outcome: 'completed', status: 200, text, faults};
}

interface ChatCompletion {
  readonly choices?: readonly {
    readonly message?: {readonly content?: string};
    readonly finish_reason?: string;
  }[];
  readonly usage?: {readonly completion_tokens?: number};
}

async function readCompletion(
  response: HttpResponse,
  chat: PlannedChat,
): Promise<CallResult> {
  const raw = await response.body.text();
  const completion = parseJson(raw) as ChatCompletion | undefined;
  const choice = completion?.choices?.[0];
  const text = choice?.message?.content ?? '';
  const faults = textFaults(text, chat, true);
  if (choice?.finish_reason !== finishReasonOf(chat)) {
    faults.push(
      `wrong finish reason ${choice?.finish_reason} in a complete response`,
    );
  }
  if (completion?.usage?.completion_tokens !== chat.outputTokens) {
    const reportedTokens = completion?.usage?.completion_tokens;
    faults.push(
      `usage reports ${reportedTokens} tokens instead of ${chat.outputTokens}`,
    );
  }
  return {outcome: 'completed', status: 200, text, faults};
}

async function readStream(
  response: HttpResponse,
  chat: PlannedChat,
  elapsedMs: () => number,
): Promise<CallResult> {
  const reader = createStreamReader();
  let firstTokenMs: number | undefined;
  let connectionLost = false;
  try {
    for await (const part of response.body.setEncoding('utf8')) {
      if (reader.push(String(part))) firstTokenMs ??= elapsedMs();
    }
  } catch {
    connectionLost = true;
  }
  const state = reader.state();
  const faults = [...state.violations, ...textFaults(state.text, chat, false)];
  const received = {status: 200, text: state.text, firstTokenMs};
  if (state.error !== undefined) {
    const failure = toFailure(state.error, state.text);
    return {...failure, ...received, faults};
  }
  if (connectionLost) return {...brokenResult(state.text), ...received, faults};
  faults.push(...streamEndFaults(state, chat));
  return {...received, outcome: 'completed', faults};
}

function finishReasonOf(chat: PlannedChat): string {
  const requestedTokens = responseLengthOf(chat.messages);
  return chat.maxTokens !== undefined && chat.maxTokens < requestedTokens
    ? 'length'
    : 'stop';
}

/** Checks the end of a stream that closed cleanly. */
function streamEndFaults(
  state: {text: string; done: boolean; finishReason: string | undefined},
  chat: PlannedChat,
): string[] {
  const faults: string[] = [];
  if (!state.done) faults.push('the stream ended cleanly without [DONE]');
  if (state.finishReason !== finishReasonOf(chat)) {
    faults.push(
      `wrong finish reason ${state.finishReason} in a complete stream`,
    );
  }
  if (state.text.length < responseText(chat.messages, chat.maxTokens).length) {
    faults.push(`partial response of ${state.text.length} characters`);
  }
  return faults;
}

/** Checks that a text is the expected response, or a prefix of it. */
function textFaults(
  text: string,
  chat: PlannedChat,
  complete: boolean,
): string[] {
  const expected = responseText(chat.messages, chat.maxTokens);
  const matches = complete ? text === expected : expected.startsWith(text);
  if (matches) return [];
  let index = 0;
  while (index < text.length && text[index] === expected[index]) index++;
  return [
    `wrong response: differs at character ${index} of ${expected.length}: "${text.slice(index, index + 24)}" instead of "${expected.slice(index, index + 24)}"`,
  ];
}
