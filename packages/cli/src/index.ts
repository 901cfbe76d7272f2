export {exitCodes} from './ExitCodes.js';
export {runToucanctl} from './Toucanctl.js';
