export {createAdminApp} from './admin/AdminApp.js';
export type {
  AdminDependencies,
  ConfigChange,
  ConfigChangeOutcome,
  FleetServiceLevels,
} from './admin/AdminDependencies.js';
