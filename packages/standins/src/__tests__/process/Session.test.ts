import {readFileSync, writeFileSync} from 'node:fs';
import {expect} from 'chai';
import type {Deployment} from '../../deployment/Deployment.js';
import {createDeployment} from '../../deployment/Deployment.js';
import type {DeploymentName} from '../../deployment/DeploymentShape.js';
import type {SessionRequest, SessionStep} from '../../session/Session.js';
import {recordSession} from '../../session/Session.js';

interface SessionNames {
  readonly name: DeploymentName;
  readonly model: string;
  readonly workspaceKey: string;
  readonly service: string;
  readonly services: readonly string[];
  /** Path of an idempotent call, where the deployment has one. */
  readonly lookupPath?: string;
  readonly orderPath: string;
}

const sessions: readonly SessionNames[] = [
  {
    name: 'tkacik',
    model: 'kilt-advisor',
    workspaceKey: 'key-martin',
    service: 'ordering',
    services: ['ordering', 'profiles'],
    lookupPath: '/services/profiles/waist?customer=7',
    orderPath: '/orders',
  },
  {
    name: 'plamenik',
    model: 'burner-assistant',
    workspaceKey: 'key-celje',
    service: 'dispatch',
    services: ['dispatch'],
    orderPath: '/bookings',
  },
];

function chat(
  names: SessionNames,
  id: string,
  tokens: number,
  more: object = {},
): SessionRequest {
  const content = `question ${id} [tokens=${tokens}]`;
  return {
    method: 'POST',
    path: '/v1/chat/completions',
    headers: {
      authorization: `Bearer ${names.workspaceKey}`,
      'x-request-id': id,
    },
    body: JSON.stringify({
      model: names.model,
      messages: [{role: 'user', content}],
      ...more,
    }),
  };
}

function order(
  names: SessionNames,
  id: string,
  key: string | undefined,
  item: string,
): SessionRequest {
  return {
    method: 'POST',
    path: `/services/${names.service}${names.orderPath}`,
    headers: {
      authorization: `Bearer ${names.workspaceKey}`,
      'x-request-id': id,
      ...(key === undefined ? {} : {'idempotency-key': key}),
    },
    body: JSON.stringify({item}),
  };
}

async function switchAll(
  deployment: Deployment,
  role: 'engine' | 'service',
  change: object,
): Promise<void> {
  for (const name of deployment.names(role)) {
    await deployment.switch(name, change);
  }
}

function chatSteps(names: SessionNames): readonly SessionStep[] {
  const streamed = {stream: true};
  const withUsage = {stream: true, stream_options: {include_usage: true}};
  const oneCut = {count: 1, afterTokens: 2, freshOnly: true};
  const noCut = {count: 0, afterTokens: 0};
  return [
    {title: 'A whole answer', request: chat(names, 'c1', 4)},
    {title: 'A streamed answer', request: chat(names, 'c2', 4, streamed)},
    {
      title: 'A streamed answer with usage that max_tokens cuts',
      request: chat(names, 'c3', 6, {...withUsage, max_tokens: 3}),
    },
    {
      title: 'A severed stream that is resumed',
      prepare: d => switchAll(d, 'engine', {breakStreams: oneCut}),
      request: chat(names, 'c4', 5, streamed),
    },
    {
      title: 'A whole answer from a severed stream',
      prepare: d => switchAll(d, 'engine', {breakStreams: oneCut}),
      request: chat(names, 'c8', 5),
    },
    {
      title: 'A stream that ends early but cleanly',
      prepare: d =>
        switchAll(d, 'engine', {breakStreams: noCut, truncateStreams: oneCut}),
      request: chat(names, 'c9', 5, streamed),
    },
    {
      title: 'A severed stream that is continued from its prefix',
      prepare: d =>
        switchAll(d, 'engine', {
          breakStreams: oneCut,
          truncateStreams: noCut,
          forgetRuns: true,
        }),
      request: chat(names, 'c5', 5, withUsage),
    },
    {
      title: 'An unknown model',
      prepare: d =>
        switchAll(d, 'engine', {breakStreams: noCut, forgetRuns: false}),
      request: chat({...names, model: 'no-such-model'}, 'c6', 4),
    },
    {
      title: 'An unknown workspace key',
      request: chat({...names, workspaceKey: 'no-such-key'}, 'c7', 4),
    },
  ];
}

function lookupSteps(names: SessionNames): readonly SessionStep[] {
  const {lookupPath, workspaceKey} = names;
  if (lookupPath === undefined) return [];
  const headers = {authorization: `Bearer ${workspaceKey}`};
  const request = {method: 'GET', path: lookupPath, headers} as const;
  return [
    {title: 'A lookup', request},
    {title: 'The lookup again, which runs again', request},
  ];
}

function orderSteps(names: SessionNames): readonly SessionStep[] {
  return [
    {title: 'An order', request: order(names, 'o1', 'k1', 'first')},
    {
      title: 'The order again, which must not run again',
      request: order(names, 'o2', 'k1', 'first'),
    },
    {
      title: 'Another order under the same key',
      request: order(names, 'o3', 'k1', 'second'),
    },
    {
      title: 'An order without a key',
      request: order(names, 'o4', undefined, 'third'),
    },
    {
      title: 'An order whose answer is lost',
      prepare: d => switchAll(d, 'service', {dropAnswers: 1}),
      request: order(names, 'o5', 'k5', 'fourth'),
    },
    {
      title: 'That order again, whose outcome stays unknown',
      request: order(names, 'o6', 'k5', 'fourth'),
    },
  ];
}

describe('sessions in golden files', () => {
  for (const names of sessions) {
    it(`matches the golden file in responses and runs (${names.name})`, async function () {
      this.timeout(120_000);
      const deployment = await createDeployment({
        name: names.name,
        directory: `session-${names.name}`,
        // Two engines, so that a response can continue on another engine; one
        // service, so that the dropped response is that of the order.
        shape: {
          engineCount: 2,
          services: names.services.map(service => ({
            service,
            count: 1,
            workMs: 5,
          })),
          routerCount: 1,
        },
      });
      let record = '';
      try {
        const steps = [
          ...chatSteps(names),
          ...lookupSteps(names),
          ...orderSteps(names),
        ];
        record = await recordSession(deployment, steps);
      } finally {
        await deployment.stopAll();
      }
      const file = new URL(
        `../../__golden__/${names.name}.session.txt`,
        import.meta.url,
      );
      if (process.env['UPDATE_GOLDEN'] === '1') writeFileSync(file, record);
      expect(record).to.equal(readFileSync(file, 'utf8'));
    });
  }
});
