/**
 * Runs mocha and tolerates failures of the tests that KNOWN-RED.txt lists, whose
 * outcome it prints. The exit code is nonzero after any other failure, and when
 * mocha ends without results.
 *
 * Files that start no process and listen on no port run beside each other; the
 * files of scripts/serial-tests.txt run one after another after them. With
 * arguments, mocha runs once with these.
 */
import {spawnSync} from 'node:child_process';
import {
  existsSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
} from 'node:fs';
import {availableParallelism, tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';

const knownRedFile = 'KNOWN-RED.txt';
const serialFile = 'scripts/serial-tests.txt';
const titlePrefix = 'test: ';
/** Leaves processors to what else runs on the machine. */
const jobs = Math.max(1, Math.min(4, availableParallelism() - 2));

function readLines(file) {
  return existsSync(file) ? readFileSync(file, 'utf8').split('\n') : [];
}

const knownRedTitles = readLines(knownRedFile)
  .filter(line => line.startsWith(titlePrefix))
  .map(line => line.slice(titlePrefix.length).trim());
const directory = mkdtempSync(path.join(tmpdir(), 'toucanrouter-tests-'));

/** Runs mocha once and returns its status and the titles of failed tests. */
function runMocha(name, args) {
  const failedTitlesFile = path.join(directory, `${name}.txt`);
  const countsFile = path.join(directory, `${name}.json`);
  const {status} = spawnSync(
    process.execPath,
    ['node_modules/mocha/bin/mocha.js', ...args],
    {
      stdio: 'inherit',
      env: {
        ...process.env,
        FAILED_TESTS_FILE: failedTitlesFile,
        TEST_COUNTS_FILE: countsFile,
      },
    },
  );
  const failedTitles = readLines(failedTitlesFile).filter(line => line !== '');
  const counts = existsSync(countsFile)
    ? JSON.parse(readFileSync(countsFile, 'utf8'))
    : {passes: 0, failures: 0};
  return {status, failedTitles, counts};
}

/** Returns the test files of all packages. */
function findTestFiles() {
  const packages = readdirSync('packages').map(name => `packages/${name}`);
  return [...packages, 'platform']
    .map(folder => `${folder}/src/__tests__`)
    .filter(existsSync)
    .flatMap(folder =>
      readdirSync(folder, {recursive: true}).map(file =>
        path.posix.join(folder, file),
      ),
    )
    .filter(file => file.endsWith('.test.ts'))
    .sort();
}

/** Returns the runs that together run each test file once. */
function plannedRuns() {
  const files = findTestFiles();
  const args = process.argv.slice(2);
  const namesFiles = args.some(arg => arg.endsWith('.test.ts'));
  if (args.length > 0)
    return [['tests', namesFiles ? args : [...args, ...files]]];
  const listed = new Set(readLines(serialFile));
  const serial = files.filter(file => listed.has(file));
  const parallel = files.filter(file => !listed.has(file));
  const guard = ['--require', './scripts/isolated-tests.cjs'];
  return [
    ['parallel', ['--parallel', '--jobs', String(jobs), ...guard, ...parallel]],
    ['serial', serial],
  ];
}

const outcomes = plannedRuns().map(([name, args]) => runMocha(name, args));
rmSync(directory, {recursive: true});
const failedTitles = outcomes.flatMap(outcome => outcome.failedTitles);
for (const title of knownRedTitles) {
  const outcome = failedTitles.includes(title) ? 'failed' : 'did not fail';
  process.stdout.write(`known red, ${outcome}: ${title}\n`);
}
const sum = name =>
  outcomes.reduce((total, {counts}) => total + counts[name], 0);
process.stdout.write(`${sum('passes')} passed, ${sum('failures')} failed\n`);
const onlyKnownFailures =
  outcomes.every(run => run.status === run.failedTitles.length) &&
  failedTitles.every(title => knownRedTitles.includes(title));
process.exitCode = onlyKnownFailures
  ? 0
  : Math.max(1, ...outcomes.map(({status}) => status ?? 1));
