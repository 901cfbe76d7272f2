export type {
  ControlledKeyValue,
  PendingCall,
} from './platform/ControlledKeyValue.js';
export {createControlledKeyValue} from './platform/ControlledKeyValue.js';
export type {CallCounts} from './platform/Counters.js';
export type {ListedInstance} from './platform/LaggingInstanceList.js';
export type {
  PlatformStandIn,
  PlatformStandInOptions,
} from './platform/PlatformStandIn.js';
export {createPlatformStandIn} from './platform/PlatformStandIn.js';
export type {SwitchChangeInput, SwitchState} from './platform/Switches.js';
