export {createAdminApp} from './admin/AdminApp.js';
export type {
  AdminDependencies,
  ConfigChange,
  ConfigChangeOutcome,
  FleetServiceLevels,
} from './admin/AdminDependencies.js';
export type {Daemon, DaemonPorts} from './Daemon.js';
export {startDaemon} from './Daemon.js';
export type {ConfigHolder} from './fleet/ConfigHolder.js';
export {createConfigHolder} from './fleet/ConfigHolder.js';
export type {Fleet, FleetOptions} from './fleet/Fleet.js';
export {createFleet} from './fleet/Fleet.js';
export {
  configPushIntervalMs,
  heartbeatIntervalMs,
  viewRefreshIntervalMs,
} from './fleet/FleetConstants.js';
export type {Logger, LogFields} from '@toucanrouter/logging';
export {createLogger} from '@toucanrouter/logging';
export type {WorkspaceKeys} from './request/Authenticate.js';
export {createWorkspaceKeys} from './request/Authenticate.js';
export type {PermitClient} from './scheduling/PermitClient.js';
export {createPermitClient} from './scheduling/PermitClient.js';
export {
  progressIntervalMs,
  schedulerTickMs,
} from './scheduling/SchedulingConstants.js';
