/**
 * Load patterns of the placement benchmark. Engine speeds, rates and lengths are
 * assumptions; the router knows none of them.
 */
import type {EngineShape} from './EngineSimulator.js';
import type {FleetScenario} from './FleetSimulation.js';
import type {PromptClass} from './PromptWorkload.js';

const slowPrefill: EngineShape = {
  slots: 48,
  queueLimit: 100,
  stepMs: 3.4,
  stepMsPerRunning: 0.03,
  prefillTokensPerMs: 44,
  prefillMsPerMillionPairs: 0.7,
  chunkTokens: 4_096,
  tokensPerEvent: 6,
  firstEventDelayMs: 0,
  cacheTokens: 340_000,
};

const fewSlots: EngineShape = {
  slots: 16,
  queueLimit: 40,
  stepMs: 3.2,
  stepMsPerRunning: 0.06,
  prefillTokensPerMs: 110,
  prefillMsPerMillionPairs: 0.15,
  chunkTokens: 4_096,
  tokensPerEvent: 10,
  firstEventDelayMs: 47,
  cacheTokens: 560_000,
};

const manySlots: EngineShape = {
  slots: 64,
  queueLimit: 130,
  stepMs: 3,
  stepMsPerRunning: 0.12,
  prefillTokensPerMs: 92,
  prefillMsPerMillionPairs: 0.35,
  chunkTokens: 4_096,
  tokensPerEvent: 6,
  firstEventDelayMs: 60,
  cacheTokens: 630_000,
};

/** Urgent chats with short prompts and steady output. */
const chats: PromptClass = {
  name: 'chats',
  tier: 0,
  ratePerSecond: 55,
  targetLatencyMs: 400,
  targetGapMs: 300,
  timeoutMs: 12_000,
  systemPrefix: {tokens: {mean: 120, spread: 0.4, max: 300}, variants: 8},
  sessionPrefix: {tokens: {mean: 80, spread: 0.7, max: 240}, variants: 360},
  ownTokens: {mean: 630, spread: 1, max: 3_300},
  events: {mean: 48, spread: 1.2, max: 160},
  resumable: true,
  worth: 1.8,
  lateWorth: 0.3,
};

/** Reviews of long documents with little output. */
const reviews: PromptClass = {
  name: 'reviews',
  tier: 1,
  ratePerSecond: 22,
  targetLatencyMs: 800,
  targetGapMs: 500,
  timeoutMs: 5_000,
  systemPrefix: {tokens: {mean: 2_500, spread: 0.4, max: 6_300}, variants: 4},
  sessionPrefix: {
    tokens: {mean: 3_800, spread: 0.7, max: 11_000},
    variants: 330,
  },
  ownTokens: {mean: 2_900, spread: 1, max: 40_000},
  events: {mean: 9, spread: 1.6, max: 35},
  resumable: false,
  worth: 4.9,
  lateWorth: 2.4,
};

/** Drafts from long histories with much output. */
const drafts: PromptClass = {
  name: 'drafts',
  tier: 2,
  ratePerSecond: 115,
  targetLatencyMs: 1_500,
  targetGapMs: 1_000,
  timeoutMs: 12_000,
  systemPrefix: {tokens: {mean: 500, spread: 0.4, max: 1_300}, variants: 1},
  sessionPrefix: {
    tokens: {mean: 4_900, spread: 0.7, max: 14_000},
    variants: 980,
  },
  ownTokens: {mean: 6_600, spread: 1.4, max: 55_000},
  events: {mean: 38, spread: 0.9, max: 112},
  resumable: false,
  worth: 1.8,
  lateWorth: 0.5,
};

/** Short advice with a medium prompt and hardly any output. */
const advice: PromptClass = {
  name: 'advice',
  tier: 1,
  ratePerSecond: 177,
  targetLatencyMs: 400,
  targetGapMs: 400,
  timeoutMs: 2_500,
  systemPrefix: {tokens: {mean: 340, spread: 0.4, max: 850}, variants: 40},
  sessionPrefix: {tokens: {mean: 230, spread: 0.7, max: 680}, variants: 2_900},
  ownTokens: {mean: 1_800, spread: 1.3, max: 6_900},
  events: {mean: 2.3, spread: 1.6, max: 9},
  resumable: false,
  worth: 0.8,
  lateWorth: 0.2,
};

const quarterCrashes = [{atMs: 9_500, durationMs: 2_000, engineShare: 0.25}];

export const fleetScenarios: readonly FleetScenario[] = [
  {
    name: 'reviews-small',
    pattern:
      'bursts of reviews on cold caches, then of chats, on 13 engines with 5 instances',
    engineCount: 13,
    failureDomains: 4,
    shape: slowPrefill,
    crashes: quarterCrashes,
    workload: {
      classes: [reviews, chats],
      bursts: [
        {className: 'reviews', atMs: 500, durationMs: 9_000, factor: 2.1},
        {className: 'chats', atMs: 11_000, durationMs: 5_000, factor: 2},
        {className: 'chats', atMs: 13_000, durationMs: 4_200, factor: 1.5},
        {className: 'reviews', atMs: 17_500, durationMs: 4_500, factor: 2.2},
      ],
      durationMs: 34_000,
      instances: 5,
    },
  },
  {
    name: 'reviews-grown',
    pattern: 'the same beyond the capacity of 42 engines, with 34 instances',
    engineCount: 42,
    failureDomains: 4,
    shape: {...slowPrefill, slots: 32, queueLimit: 67, tokensPerEvent: 7},
    crashes: quarterCrashes,
    workload: {
      classes: [
        {
          ...reviews,
          ratePerSecond: 88,
          sessionPrefix: {...reviews.sessionPrefix, variants: 1_080},
        },
        {
          ...chats,
          ratePerSecond: 140,
          sessionPrefix: {...chats.sessionPrefix, variants: 990},
        },
      ],
      bursts: [
        {className: 'reviews', atMs: 500, durationMs: 9_000, factor: 2.3},
        {className: 'chats', atMs: 11_000, durationMs: 5_000, factor: 2.4},
        {className: 'chats', atMs: 13_700, durationMs: 4_200, factor: 1.4},
        {className: 'reviews', atMs: 17_500, durationMs: 3_500, factor: 2.7},
      ],
      durationMs: 34_000,
      instances: 34,
    },
  },
  {
    name: 'drafts-grown',
    pattern:
      'drafts, advice and chats in bursts on 63 engines with few slots, with 31 instances',
    engineCount: 63,
    failureDomains: 4,
    shape: fewSlots,
    crashes: quarterCrashes,
    workload: {
      classes: [
        drafts,
        {...chats, ratePerSecond: 85, targetLatencyMs: 300, targetGapMs: 250},
        advice,
      ],
      bursts: [
        {className: 'drafts', atMs: 500, durationMs: 9_000, factor: 2.3},
        {className: 'chats', atMs: 6_600, durationMs: 4_200, factor: 1.4},
        {className: 'chats', atMs: 11_000, durationMs: 5_000, factor: 2.4},
        {className: 'drafts', atMs: 17_500, durationMs: 3_500, factor: 2.7},
      ],
      durationMs: 34_000,
      instances: 31,
    },
  },
  {
    name: 'drafts-small',
    pattern:
      'drafts, advice and chats in bursts on 8 engines with many slots, with 5 instances',
    engineCount: 8,
    failureDomains: 4,
    shape: manySlots,
    crashes: quarterCrashes,
    workload: {
      classes: [
        {
          ...drafts,
          ratePerSecond: 12,
          targetLatencyMs: 2_000,
          sessionPrefix: {...drafts.sessionPrefix, variants: 180},
          events: {mean: 64, spread: 0.9, max: 190},
        },
        {...chats, ratePerSecond: 17},
        {
          ...advice,
          ratePerSecond: 23,
          targetLatencyMs: 600,
          sessionPrefix: {...advice.sessionPrefix, variants: 230},
        },
      ],
      bursts: [
        {className: 'drafts', atMs: 500, durationMs: 9_000, factor: 2.1},
        {className: 'chats', atMs: 11_000, durationMs: 5_000, factor: 2.1},
        {className: 'drafts', atMs: 17_500, durationMs: 4_500, factor: 1.9},
      ],
      durationMs: 34_000,
      instances: 5,
    },
  },
];
