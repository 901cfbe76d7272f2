#!/usr/bin/env node
/**
 * Entry point of the command-line tool.
 */
import {runToucanctl} from '../Toucanctl.js';

await runToucanctl(process.argv.slice(2));
