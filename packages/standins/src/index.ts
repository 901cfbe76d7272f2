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
export type {ChatMessage} from './engine/Answers.js';
export {answerLengthOf, answerText, lengthMarker} from './engine/Answers.js';
export type {EngineProfile} from './engine/EngineConstants.js';
export type {EngineRunRecord} from './engine/EngineRun.js';
export type {
  EngineStandIn,
  EngineStandInOptions,
} from './engine/EngineStandIn.js';
export {createEngineStandIn} from './engine/EngineStandIn.js';
export type {EngineSwitchChange} from './engine/EngineSwitches.js';
export type {ServiceAnswer, ServiceCall} from './service/ServiceAnswers.js';
export {serviceAnswer} from './service/ServiceAnswers.js';
export type {ServiceRunRecord} from './service/ServiceRuns.js';
export type {
  ServiceStandIn,
  ServiceStandInOptions,
} from './service/ServiceStandIn.js';
export {createServiceStandIn} from './service/ServiceStandIn.js';
export type {ServiceSwitchChange} from './service/ServiceSwitches.js';
