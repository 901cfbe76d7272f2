import {expect} from 'chai';
import {request} from 'undici';
import type {Deployment} from '../../deployment/Deployment.js';
import {createDeployment} from '../../deployment/Deployment.js';
import {deploymentShapes} from '../../deployment/DeploymentShape.js';
import {lengthMarker} from '../../index.js';
import {sleep} from './ProcessFixtures.js';

const startTimeoutMs = 120_000;
const crashOnText = 'collar of the crash';
const {model} = deploymentShapes.plamenik;

/** Crashes after which requests of their kind are still allowed. */
const toleratedCrashes = 5;
/** Requests of the kind that may be sent after instances had time to react. */
const maxLateAttempts = 3;
const reactionMs = 4_000;
const callIntervalMs = 300;
const callCount = 60;

interface Reply {
  readonly sentAtMs: number;
  readonly status: number;
  readonly kind: string;
}

async function send(
  deployment: Deployment,
  router: string,
  prompt: readonly string[],
): Promise<Reply> {
  const key = Object.values(deployment.profile.workspace)[0]?.key ?? '';
  const messages = prompt.map(content => ({role: 'user', content}));
  const sentAtMs = performance.now();
  const response = await request(
    `http://${deployment.addressOf(router)}/v1/chat/completions`,
    {
      method: 'POST',
      headers: {
        authorization: `Bearer ${key}`,
        'content-type': 'application/json',
        'x-request-timeout-ms': '5000',
      },
      body: JSON.stringify({model, messages}),
    },
  );
  const body = (await response.body.json()) as {error?: {type: string}};
  const kind = body.error?.type ?? 'answered';
  return {sentAtMs, status: response.statusCode, kind};
}

/** Returns the time of the last crash that is allowed, if there was one. */
function lastToleratedCrashAtMs(crashedAtMs: readonly number[]): number {
  return crashedAtMs.slice(0, toleratedCrashes).at(-1) ?? NaN;
}

describe('prompts that crash engines', () => {
  let deployment: Deployment;
  let stopped = false;
  const crashedAtMs: number[] = [];

  /** Restarts each engine that ended, as the platform does. */
  async function superviseEngine(name: string): Promise<void> {
    while (!stopped) {
      try {
        await deployment.switch(name, {crashOnText});
      } catch {
        crashedAtMs.push(performance.now());
        await sleep(1_000);
        if (!stopped) await deployment.restart(name);
      }
      await sleep(100);
    }
  }

  before(async function () {
    this.timeout(startTimeoutMs);
    deployment = await createDeployment({
      name: 'plamenik',
      directory: 'test-crashing-prompts',
      shape: {engineProfile: {tokenGapMs: 5}},
    });
  });

  after(async function () {
    this.timeout(startTimeoutMs);
    await deployment.stopAll();
  });

  // Guards against requests of one kind that end engine after engine, whichever
  // instance they come to.
  it('stop reaching engines at all instances, while sound ones are answered', async function () {
    this.timeout(startTimeoutMs);
    const supervisors = deployment.names('engine').map(superviseEngine);
    await sleep(500);
    const routers = deployment.names('router');
    const replies: Reply[] = [];
    const soundReplies: Reply[] = [];
    for (let index = 0; index < callCount; index++) {
      const router = routers[index % routers.length] ?? '';
      const [reply, sound] = await Promise.all([
        send(deployment, router, ['be brief', crashOnText, `ask ${index}`]),
        send(deployment, router, [
          'be brief',
          `ask ${index} ${lengthMarker(3)}`,
        ]),
      ]);
      replies.push(reply);
      soundReplies.push(sound);
      await sleep(callIntervalMs);
    }
    stopped = true;
    await Promise.all(supervisors);
    const lateFromMs = reactionMs + lastToleratedCrashAtMs(crashedAtMs);
    const isLate = ({sentAtMs}: Reply) => sentAtMs > lateFromMs;
    const late = replies.filter(isLate);
    const lateSound = soundReplies.filter(isLate);
    expect(late).to.not.have.length(0);
    const sent = late.filter(({kind}) => kind !== 'prompt_quarantined');
    expect(sent.length, 'calls that were not refused').to.be.at.most(
      maxLateAttempts,
    );
    expect(lateSound.filter(({kind}) => kind !== 'answered')).to.deep.equal([]);
  });
});
