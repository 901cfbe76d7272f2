/**
 * A configuration with one route of resumable streams, like `repairchat` of
 * plamenik-router, and its requests.
 */
import {newRequestId, send} from './client-2.js';

export const chatHost = 'ficu95.example';
export const chatPath = '/chat/2f';
const key = 'n2ctnfzs989anu6wsjnb';
const deadlineMs = 12_000;

/** Limits of what callers may send, as the small deployments have them. */
export const callerLimits = {
  max_header_bytes: 16_384,
  max_body_bytes: 4_194_304,
  header_timeout_ms: 3_000,
  idle_timeout_ms: 15_000,
};

export const chatConfig = () => ({
  version: 7,
  routes: [
    {
      name: 'chat',
      host: chatHost,
      prefix: '/chat/',
      kind: 'streaming',
      timeout_ms: 12_000,
      target_latency_ms: 400,
      priority: 0,
      service: 'assistllm',
      attempts: 2,
      allow_anonymous: false,
      session_affinity: true,
      resumable: true,
      target_gap_ms: 300,
    },
  ],
  services: [
    {
      name: 'assistllm',
      health_path: '/health',
      connection_limit: 370,
      protocol: 'h1',
      tls: false,
      engine: {slots: 64, kv_cache_tokens: 631_425, models: [{name: 'm'}]},
    },
  ],
  limits: callerLimits,
  tenants: [{name: 'hule930', api_keys: [key], priority: 1}],
});

const secondPartCount = 12;
const anySecondPart = () => Math.floor(Math.random() * secondPartCount);

/** Requests share the first part and one of twelve second parts. */
export function promptOf(extraParts = [], secondPart = anySecondPart()) {
  const second = (16 + secondPart).toString(16);
  const own = `${newRequestId().slice(0, 8)}:400`;
  return ['5c1e07a2:120', `91bd3f${second}:80`, ...extraParts, own].join();
}

/** Sends one request of the route. */
export function sendChat(router, {prompt = promptOf(), ...options} = {}) {
  return send({
    router,
    host: chatHost,
    path: chatPath,
    deadlineMs,
    body: 'x'.repeat(830),
    ...options,
    headers: {
      Model: 'm',
      'Token-Counts': '900,80',
      'Prompt-Prefix': prompt,
      Authorization: `Bearer ${key}`,
      ...options.headers,
    },
  });
}
