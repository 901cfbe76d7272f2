/**
 * Mocha reporter: the spec reporter's output, followed by one line with the
 * numbers of passed and failed tests, which continuous integration reads. The
 * titles of failed tests are written to the file FAILED_TESTS_FILE, if set.
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
      process.stdout.write(`${passes} passed, ${failures} failed\n`);
    });
  }
}

module.exports = CountingReporter;
