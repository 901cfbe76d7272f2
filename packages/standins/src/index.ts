export type {
  ControlledKeyValue,
  PendingCall,
} from './store/ControlledKeyValue.js';
export {createControlledKeyValue} from './store/ControlledKeyValue.js';
export type {CallCounts} from './store/Counters.js';
export type {ListedInstance} from './store/LaggingInstanceList.js';
export type {
  PlatformStandIn,
  PlatformStandInOptions,
} from './store/PlatformStandIn.js';
export {createPlatformStandIn} from './store/PlatformStandIn.js';
export type {SwitchChangeInput, SwitchState} from './store/Switches.js';
export type {ChatMessage} from './engine/EngineResponses.js';
export {
  lengthMarker,
  responseLengthOf,
  responseText,
} from './engine/EngineResponses.js';
export type {EngineProfile} from './engine/EngineConstants.js';
export type {EngineRunRecord} from './engine/EngineRun.js';
export type {
  EngineStandIn,
  EngineStandInOptions,
} from './engine/EngineStandIn.js';
export {createEngineStandIn} from './engine/EngineStandIn.js';
export type {EngineSwitchChange} from './engine/EngineSwitches.js';
export type {ServiceCall, ServiceResponse} from './service/ServiceResponses.js';
export {serviceResponse} from './service/ServiceResponses.js';
export type {ServiceRunRecord} from './service/ServiceRuns.js';
export type {
  ServiceStandIn,
  ServiceStandInOptions,
} from './service/ServiceStandIn.js';
export {createServiceStandIn} from './service/ServiceStandIn.js';
export type {ServiceSwitchChange} from './service/ServiceSwitches.js';
