/**
 * Loaded by the workers that run test files beside each other. A test that
 * starts a process or listens on a port depends on what runs beside it, so it
 * fails here and belongs into scripts/serial-tests.txt.
 */
const childProcess = require('node:child_process');
const dgram = require('node:dgram');
const {syncBuiltinESMExports} = require('node:module');
const net = require('node:net');

const isWorker = process.env.MOCHA_WORKER_ID !== undefined;

function forbid(owner, name, isAllowed = () => false) {
  const original = owner[name];
  owner[name] = function (...args) {
    if (isAllowed(args)) return original.apply(this, args);
    throw new Error(
      `${name} is called in a test file that runs beside others; list the file in scripts/serial-tests.txt`,
    );
  };
}

if (isWorker) {
  forbid(net.Server.prototype, 'listen');
  forbid(dgram.Socket.prototype, 'bind');
  // The compiler of TypeScript runs in a process of its own.
  const isCompiler = ([file]) => String(file).includes('esbuild');
  for (const name of ['spawn', 'spawnSync', 'fork', 'exec', 'execSync']) {
    forbid(childProcess, name, isCompiler);
  }
  forbid(childProcess, 'execFile', isCompiler);
  forbid(childProcess, 'execFileSync', isCompiler);
  syncBuiltinESMExports();
}
