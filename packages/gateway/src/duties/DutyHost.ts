/**
 * Runs the duties of the platform on the instance that holds them: work that one
 * instance of the fleet does at a time. A deployment whose settings name no
 * duties has no host.
 */
import type {Clock, InstanceId, WorkspaceId} from '@toucanrouter/common';
import type {
  DutyOwnership,
  DutyOwnershipStatus,
  DutyStore,
  EnginePlanStore,
  PlatformApi,
  UsageReporterStatus,
  UsageStore,
} from '@toucanrouter/duties';
import {createDutyOwnership} from '@toucanrouter/duties';
import type {Logger} from '@toucanrouter/logging';
import type {DutySettings} from '@toucanrouter/settings';
import type {ActiveConfig} from '../config/ActiveConfig.js';
import type {DutyReport, DutyReportContent} from '../peers/DutyReportCodec.js';
import type {PeerDirectory} from '../peers/PeerDirectory.js';
import {toStoreEra} from '../state/StateStore.js';
import type {StoreHistory} from '../state/StoreHistory.js';
import type {DutyReports} from './DutyReports.js';
import {createDutyReports} from './DutyReports.js';
import type {UpstreamKnowledge} from '../upstreams/UpstreamKnowledge.js';
import type {UpstreamRegistry} from '../upstreams/UpstreamRegistry.js';
import type {EngineCountStatus, EngineDuty} from './EngineDuty.js';
import {createEngineDuty} from './EngineDuty.js';
import type {UsageDuty} from './UsageDuty.js';
import {createUsageDuty} from './UsageDuty.js';

/** The platform's services that the duties use. */
export interface DutyServices {
  readonly store: DutyStore & EnginePlanStore & UsageStore;
  readonly api: PlatformApi;
  /** Returns a text that no other call returns. */
  readonly createNonce: () => string;
}

/** Options of a host. */
export interface DutyHostOptions extends DutyServices {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly instanceId: InstanceId;
  readonly settings: DutySettings;
  readonly peers: PeerDirectory;
  readonly history: StoreHistory;
  readonly config: ActiveConfig;
  readonly registry: UpstreamRegistry;
  readonly knowledge: UpstreamKnowledge;
  /** Time since the store confirmed what this instance knows of it. */
  readonly stateAgeMs: () => number;
  /** Sends a report to some peers. */
  readonly sendReport: (
    report: DutyReportContent,
    to: readonly InstanceId[],
  ) => void;
  /** True while the instance serves with a current configuration. */
  readonly isReady: () => boolean;
}

/** State of the duties for operators. */
export interface DutyHostStatus {
  readonly ownership: DutyOwnershipStatus;
  readonly usage: UsageReporterStatus | undefined;
  readonly engines: readonly EngineCountStatus[];
}

/** The duties of one instance. */
export interface DutyHost {
  start(): void;
  /** Handles the owner that a read of the store shows. */
  ownerShown(holder: InstanceId | undefined): void;
  /** Counts a request that an upstream began to run. */
  recordBegun(workspaceId: WorkspaceId): void;
  receiveReport(report: DutyReport): void;
  status(): DutyHostStatus;
  /**
   * Gives the duties up, so that another instance can take them. What this
   * instance still serves is counted and reported until it is closed.
   */
  release(): Promise<void>;
  /** Reports for the last time. */
  close(): void;
}

/** Creates a host that has not started. */
export function createDutyHost(options: DutyHostOptions): DutyHost {
  const {clock, history, instanceId, logger, peers, settings, store} = options;
  const ownership: DutyOwnership = createDutyOwnership({
    clock,
    logger,
    store,
    instanceId,
    leaseMs: () => settings.leaseMs,
    isCandidate: options.isReady,
    peerIds: peers.ids,
    era: history.era,
    observeEra: era => {
      if (era !== undefined) history.observe(toStoreEra(era));
    },
    createNonce: options.createNonce,
  });
  const usage: UsageDuty | undefined = settings.names.has('usage_reporting')
    ? createUsageDuty({...options, ownership})
    : undefined;
  const engines: EngineDuty | undefined = settings.names.has('scaling')
    ? createEngineDuty({...options, ownership})
    : undefined;
  const reports: DutyReports = createDutyReports({
    clock,
    instanceId,
    peers,
    ownership,
    send: options.sendReport,
    nowMs: usage?.nowMs ?? clock.wallMs,
    takeCounts: usage?.takeCounts ?? (() => []),
    takeDemands: engines?.takeDemands ?? (() => []),
  });
  return {
    start: () => {
      ownership.start();
      usage?.start();
      engines?.start();
      reports.start();
    },
    ownerShown: ownership.holderShown,
    recordBegun: workspaceId => usage?.recordBegun(workspaceId),
    receiveReport: report => {
      usage?.receiveReport(report);
      engines?.receiveReport(report);
    },
    status: () => ({
      ownership: ownership.status(),
      usage: usage?.status(),
      engines: engines?.status() ?? [],
    }),
    release: async () => {
      usage?.close();
      engines?.close();
      await ownership.close();
    },
    close: reports.close,
  };
}
