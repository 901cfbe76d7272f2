/**
 * Fixtures of the process-level tests: a deployment with fast engines, and a
 * load of all its classes at a low rate.
 */
import {expect} from 'chai';
import type {Deployment} from '../../deployment/Deployment.js';
import {createDeployment} from '../../deployment/Deployment.js';
import type {DeploymentName} from '../../deployment/DeploymentShape.js';
import type {LoadRunReport} from '../../load/LoadDriver.js';
import type {LoadProfile} from '../../load/LoadProfile.js';

const deploymentNames: readonly DeploymentName[] = ['tkacik', 'plamenik'];
const startTimeoutMs = 120_000;
const loadSeconds = 4;
const rateFactor = 0.4;
const lengthFactor = 0.4;

/**
 * Defines a suite per deployment; the tests of a suite share one deployment.
 */
export function describeDeployments(
  title: string,
  define: (deployment: () => Deployment) => void,
): void {
  for (const name of deploymentNames) {
    describe(`${title} (${name})`, () => {
      let deployment: Deployment | undefined;

      before(async function () {
        this.timeout(startTimeoutMs);
        deployment = await createDeployment({
          name,
          directory: `test-${title.replace(/ /g, '-')}-${name}`,
          shape: {engineProfile: {tokenGapMs: 5}},
        });
      });

      // Stream cuts left over from a test would affect the requests of the
      // next.
      afterEach(async () => {
        const none = {count: 0, afterTokens: 0};
        const change = {breakStreams: none, truncateStreams: none};
        for (const name of deployment?.names('engine') ?? []) {
          await deployment?.switch(name, change);
        }
      });

      after(async function () {
        this.timeout(startTimeoutMs);
        const stopped = (await deployment?.stopAll()) ?? [];
        const unclean = stopped.filter(({exit}) => exit?.code !== 0);
        expect(unclean, 'processes that did not stop cleanly').to.deep.equal(
          [],
        );
      });

      define(() => deployment!);
    });
  }
}

/** Runs a load and calls `injectFault` one second after its start. */
export async function loadWhile(
  deployment: Deployment,
  injectFault: () => Promise<void>,
): Promise<LoadRunReport> {
  const [report] = await Promise.all([
    deployment.load({
      profile: shortenResponses(deployment.profile),
      seconds: loadSeconds,
      rateFactor,
    }),
    sleep(1000).then(injectFault),
  ]);
  return report;
}

/** Shortens the responses and timeouts of all classes of a profile. */
function shortenResponses(profile: LoadProfile): LoadProfile {
  const classes = Object.entries(profile.class).map(([id, load]) => [
    id,
    {
      ...load,
      output_tokens_median: load.output_tokens_median * lengthFactor,
      long_factor: Math.min(load.long_factor, 2),
      timeout_ms: Math.min(load.timeout_ms, 15_000),
    },
  ]);
  return {...profile, class: Object.fromEntries(classes)};
}

/**
 * Expects that the oracle found no fault and that every class was exercised.
 */
export function expectNoFaults(report: LoadRunReport): void {
  expect(report.faults, `seed ${report.seed}`).to.deep.equal([]);
  const uncompletedClasses = report.summaries
    .filter(summary => summary.completed === 0)
    .map(summary => summary.classId);
  const reasons = report.observations
    .filter(observation =>
      uncompletedClasses.includes(observation.planned.classId),
    )
    .map(({errorMessage, outcome}) => `${outcome}: ${errorMessage}`);
  expect(
    uncompletedClasses,
    `classes without a completed request (${reasons.join('; ')})`,
  ).to.deep.equal([]);
}

export function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
