import type {ServiceName, UpstreamId} from '@toucanrouter/common';
import {
  toClassId,
  toServiceName,
  toSoftwareVersion,
  toUpstreamId,
  toWorkspaceId,
} from '@toucanrouter/common';
import type {GatewayConfig, GatewayRoute} from '../../config/GatewayConfig.js';
import {zeroLoad} from '../../peers/LoadReports.js';
import type {EngineModel} from '../../upstreams/EngineModel.js';
import {createEngineModel} from '../../upstreams/EngineModel.js';
import type {Prompt} from '../../upstreams/Prompt.js';
import {createPrefixAffinity} from '../../upstreams/PrefixAffinity.js';
import type {
  Candidate,
  PlacementInput,
} from '../../upstreams/UpstreamChoice.js';
import {createUpstreamHealth} from '../../upstreams/UpstreamHealth.js';
import type {UpstreamEntry} from '../../upstreams/UpstreamEntry.js';

const idleEventGapMs = 30;

/** The service of all fixtures. */
export const service: ServiceName = toServiceName('llm');

/** Creates a route for the host `h`. */
export function createRoute(changes: Partial<GatewayRoute> = {}): GatewayRoute {
  return {
    classId: toClassId('chat'),
    host: 'h',
    pathPrefix: '/chat/',
    targets: [{service, weight: 1}],
    streams: true,
    retryPolicy: 'resume',
    maxUpstreams: 2,
    timeoutMs: 12_000,
    targetLatencyMs: 400,
    targetGapMs: 300,
    tier: 0,
    anonymous: false,
    ...changes,
  };
}

/** Creates a configuration in which `key` is an API key of workspace `shop`. */
export function createConfig(
  changes: Partial<GatewayConfig> = {},
): GatewayConfig {
  return {
    version: 1,
    routes: [createRoute()],
    services: new Map([
      [
        service,
        {
          name: service,
          servesModels: true,
        },
      ],
    ]),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    workspacesByKey: new Map([
      ['key', {workspaceId: toWorkspaceId('shop'), tier: undefined}],
    ]),
    ...changes,
  };
}

/** Creates the entry of an upstream. */
export function createEntry(
  id: string,
  changes: Partial<UpstreamEntry> = {},
): UpstreamEntry {
  return {
    id: toUpstreamId(id),
    service,
    host: '127.0.0.1',
    port: 1,
    failureDomain: 'a',
    slots: 64,
    leaving: false,
    startedAtMs: 1,
    softwareVersion: toSoftwareVersion('v1'),
    ...changes,
  };
}

/** Creates entries `e0`, `e1` and so on, spread over the failure domains. */
export function createEntries(
  count: number,
  domains: readonly string[] = ['a'],
): readonly UpstreamEntry[] {
  return Array.from({length: count}, (_, index) =>
    createEntry(`e${index}`, {failureDomain: domains[index % domains.length]}),
  );
}

/** Creates a candidate without load. */
export function createCandidate(
  entry: UpstreamEntry,
  now: () => number = () => 0,
): Candidate {
  return {
    entry,
    health: createUpstreamHealth(now, () => idleEventGapMs),
    peerLoad: zeroLoad,
  };
}

/** Creates a prompt with a shared prefix and a segment of its own. */
export function createPrompt(
  sharedId: string,
  shared: number,
  own: number,
  maxOutputTokens = 300,
): Prompt {
  return {
    segments: [
      {id: sharedId, tokens: shared},
      {id: `${sharedId}-own`, tokens: own},
    ],
    promptTokens: shared + own,
    maxOutputTokens,
  };
}

/** Creates a model that has learned a prefill speed of 100 tokens a ms. */
export function createLearnedModel(): EngineModel {
  const model = createEngineModel();
  for (let index = 0; index < 96; index++) {
    const prefilledTokens = [200, 800, 2_000, 6_000][index % 4] ?? 0;
    const observedMs = 75 + prefilledTokens / 100;
    model.observeFirstEvent({prefilledTokens, observedMs});
  }
  return model;
}

/** Creates the input of a request in failure domain `a`, without pools. */
export function createPlacement(
  changes: Partial<PlacementInput> = {},
): PlacementInput {
  return {
    prompt: undefined,
    servesModels: true,
    targetLatencyMs: 400,
    retryable: true,
    failureDomain: 'a',
    prefixAffinity: createPrefixAffinity(),
    engineModel: createLearnedModel(),
    averageResponseMs: 1_500,
    enginePools: new Map(),
    tieBreak: () => 0,
    ...changes,
  };
}

export function idsOf(
  entries: readonly UpstreamEntry[],
): readonly UpstreamId[] {
  return entries.map(({id}) => id);
}
