/**
 * Mocha reporter: the spec reporter's output, closed by one line with the
 * counts of passed and failed tests that continuous integration reads.
 */
const {reporters, Runner} = require('mocha');

class CountingReporter extends reporters.Spec {
  constructor(runner, options) {
    super(runner, options);
    runner.once(Runner.constants.EVENT_RUN_END, () => {
      const {passes, failures} = this.stats;
      process.stdout.write(`${passes} passed, ${failures} failed\n`);
    });
  }
}

module.exports = CountingReporter;
