/**
 * Runs a fuzz suite: `npm run fuzz -- --suite claims --seed 1 --runs 1000`.
 * A failing case is printed with the seed and path that reproduce it.
 */
import console from 'node:console';
import process from 'node:process';
import {parseArgs} from 'node:util';

/** Modules that export `runSuite(seed, runs)`, which returns a report. */
const suites = {
  claims: '../packages/claims/src/__tests__/fuzz/ClaimFuzz.ts',
};

const {values} = parseArgs({
  options: {
    suite: {type: 'string', default: 'claims'},
    seed: {type: 'string', default: '1'},
    runs: {type: 'string', default: '100'},
    /** Number of consecutive seeds, each with `runs` cases. */
    seeds: {type: 'string', default: '1'},
  },
});

const modulePath = suites[values.suite];
if (modulePath === undefined) {
  const known = Object.keys(suites).join(', ');
  console.error(`unknown suite ${values.suite}; known suites: ${known}`);
  process.exit(2);
}

const {runSuite} = await import(modulePath);
const firstSeed = Number(values.seed);
const seedCount = Number(values.seeds);
const observationTotals = {};
let cases = 0;
for (let seed = firstSeed; seed < firstSeed + seedCount; seed++) {
  try {
    const report = await runSuite(seed, Number(values.runs));
    cases += report.cases;
    for (const [name, count] of Object.entries(report.observations)) {
      observationTotals[name] = (observationTotals[name] ?? 0) + count;
    }
  } catch (error) {
    console.error(
      `seed ${seed} failed; ${cases} cases of earlier seeds passed`,
    );
    console.error(error);
    process.exit(1);
  }
}
console.log(`${values.suite}: ${cases} cases over ${seedCount} seeds passed`);
console.log(JSON.stringify(observationTotals, null, 2));
