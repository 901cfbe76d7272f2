/**
 * Mocha reporter: the spec reporter's output, closed by one line with the
 * counts of passed and failed tests that continuous integration reads. The
 * titles of failed tests go to the file that FAILED_TESTS_FILE names, if any.
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
