/**
 * Mocha reporter: the spec reporter's output, followed by one line with the
 * numbers of passed and failed tests. These numbers and the titles of failed
 * tests are written to the files TEST_COUNTS_FILE and FAILED_TESTS_FILE, if set.
 */
const {writeFileSync} = require('node:fs');
const {reporters, Runner} = require('mocha');

class CountingReporter extends reporters.Spec {
  constructor(runner, options) {
    super(runner, options);
    const failed = [];
    runner.on(Runner.constants.EVENT_TEST_FAIL, test =>
      failed.push(test.fullTitle()),
    );
    runner.once(Runner.constants.EVENT_RUN_END, () => {
      const {passes, failures} = this.stats;
      const file = process.env.FAILED_TESTS_FILE;
      if (file !== undefined) writeFileSync(file, failed.join('\n'));
      const countsFile = process.env.TEST_COUNTS_FILE;
      if (countsFile !== undefined) {
        writeFileSync(countsFile, JSON.stringify({passes, failures}));
      }
      process.stdout.write(`${passes} passed, ${failures} failed\n`);
    });
  }
}

module.exports = CountingReporter;
