/**
 * Reviews a configuration before it is sent: entries that can never match, parts
 * that are not used, limits that contradict each other, and what a change does to
 * requests. The rules are those that the gateway applies to a request.
 */
import type {
  GatewayConfig,
  GatewayRoute,
  GatewayService,
} from './GatewayConfig.js';
import {normalizeHost} from './RouteTable.js';

/** What a review found. */
export interface ConfigFinding {
  /** An error makes requests fail; a warning may be intended. */
  readonly severity: 'error' | 'warning';
  /** The entry, such as `route "chat"`. */
  readonly subject: string;
  readonly message: string;
}

/** A difference between two configurations. */
export interface ConfigChange {
  readonly subject: string;
  readonly change: string;
  /** What happens to requests, those that run included. */
  readonly effect: string;
}

const routeSubject = ({classId}: GatewayRoute) => `route "${classId}"`;
const serviceSubject = ({name}: GatewayService) => `service "${name}"`;

const matchKeyOf = ({host, pathPrefix}: GatewayRoute) =>
  `${normalizeHost(host)}${pathPrefix}`;

function error(subject: string, message: string): ConfigFinding {
  return {severity: 'error', subject, message};
}

function warning(subject: string, message: string): ConfigFinding {
  return {severity: 'warning', subject, message};
}

/** Of several routes for the same requests, the last one is used. */
function findHiddenRoutes({routes}: GatewayConfig): readonly ConfigFinding[] {
  const lastByKey = new Map(routes.map(route => [matchKeyOf(route), route]));
  return routes.flatMap(route => {
    const used = lastByKey.get(matchKeyOf(route));
    return used === undefined || used === route
      ? []
      : [
          error(
            routeSubject(route),
            `never matches: ${routeSubject(used)} has the same host and prefix and comes later`,
          ),
        ];
  });
}

function reviewPrefix(route: GatewayRoute): readonly ConfigFinding[] {
  const {pathPrefix} = route;
  return pathPrefix.startsWith('/') && pathPrefix.endsWith('/')
    ? []
    : [
        error(
          routeSubject(route),
          `never matches: the prefix "${pathPrefix}" must begin and end with a slash`,
        ),
      ];
}

function reviewTargets(
  route: GatewayRoute,
  {services}: GatewayConfig,
): readonly ConfigFinding[] {
  const subject = routeSubject(route);
  if (route.targets.length === 0) {
    return [error(subject, 'has no target service; its requests are refused')];
  }
  const findings = route.targets.flatMap(({service, weight}) => [
    ...(services.has(service)
      ? []
      : [
          error(subject, `leads to the service "${service}", which is missing`),
        ]),
    ...(weight < 0
      ? [error(subject, `gives "${service}" a negative weight`)]
      : []),
  ]);
  const total = route.targets.reduce((sum, {weight}) => sum + weight, 0);
  return total > 0
    ? findings
    : [...findings, error(subject, 'gives no service a positive weight')];
}

function reviewTimes(route: GatewayRoute): readonly ConfigFinding[] {
  const {maxUpstreams, retryPolicy, targetGapMs, targetLatencyMs, timeoutMs} =
    route;
  const subject = routeSubject(route);
  const findings: ConfigFinding[] = [];
  if (timeoutMs <= 0) {
    findings.push(error(subject, `has a timeout of ${timeoutMs} ms`));
  }
  if (targetLatencyMs > timeoutMs) {
    findings.push(
      error(
        subject,
        `has a target latency of ${targetLatencyMs} ms, beyond its timeout of ${timeoutMs} ms`,
      ),
    );
  }
  if (targetGapMs !== undefined && targetGapMs > timeoutMs) {
    findings.push(
      error(
        subject,
        `has a target gap of ${targetGapMs} ms, beyond its timeout of ${timeoutMs} ms`,
      ),
    );
  }
  if (maxUpstreams < 1) {
    findings.push(error(subject, 'allows no upstream; nothing is forwarded'));
  }
  if (maxUpstreams > 1 && retryPolicy === 'never') {
    findings.push(
      warning(
        subject,
        `allows ${maxUpstreams} upstreams, but a request that may have run is not sent again`,
      ),
    );
  }
  return findings;
}

function reviewService(
  service: GatewayService,
  {routes}: GatewayConfig,
): readonly ConfigFinding[] {
  const subject = serviceSubject(service);
  const findings: ConfigFinding[] = [];
  const isUsed = routes.some(({targets}) =>
    targets.some(target => target.service === service.name),
  );
  if (!isUsed) findings.push(warning(subject, 'is the target of no route'));
  const {scaling} = service;
  if (scaling !== undefined && scaling.maxPerDomain === 0) {
    findings.push(error(subject, 'may have no engines in any failure domain'));
  }
  return findings;
}

function reviewLimits({limits, routes}: GatewayConfig): ConfigFinding[] {
  const findings = Object.entries(limits).flatMap(([name, value]) =>
    value > 0 ? [] : [error('limits', `${name} is ${value}`)],
  );
  if (limits.headerTimeoutMs > limits.idleTimeoutMs) {
    findings.push(
      warning(
        'limits',
        `headerTimeoutMs (${limits.headerTimeoutMs}) is beyond idleTimeoutMs (${limits.idleTimeoutMs})`,
      ),
    );
  }
  if (routes.length === 0) {
    findings.push(error('routes', 'there are none; every request gets 404'));
  }
  return findings;
}

function reviewKeys({
  routes,
  workspacesByKey,
}: GatewayConfig): readonly ConfigFinding[] {
  const needKeys = routes.filter(({anonymous}) => !anonymous);
  if (workspacesByKey === undefined) return [];
  if (workspacesByKey.size === 0 && needKeys.length > 0) {
    return [
      error('workspaces', 'no key exists; routes that need one refuse all'),
    ];
  }
  return needKeys.length === 0 && workspacesByKey.size > 0
    ? [warning('workspaces', 'no route needs a key')]
    : [];
}

/** Reviews one configuration. */
export function reviewConfig(config: GatewayConfig): readonly ConfigFinding[] {
  return [
    ...findHiddenRoutes(config),
    ...config.routes.flatMap(route => [
      ...reviewPrefix(route),
      ...reviewTargets(route, config),
      ...reviewTimes(route),
    ]),
    ...[...config.services.values()].flatMap(service =>
      reviewService(service, config),
    ),
    ...reviewLimits(config),
    ...reviewKeys(config),
  ];
}

const runningUnaffected = 'requests that run are not affected';

/** The fields of a route whose changes concern callers, and what they do. */
const routeFields: readonly {
  readonly name: string;
  readonly textOf: (route: GatewayRoute) => string;
  readonly effect: string;
}[] = [
  {
    name: 'targets',
    textOf: ({targets}) =>
      targets.map(({service, weight}) => `${service}:${weight}`).join(', '),
    effect:
      'new requests go to the new services; those that run end where they are; streams that callers resume need the service that began them',
  },
  {
    name: 'timeout',
    textOf: ({timeoutMs}) => `${timeoutMs} ms`,
    effect: `applies to new requests; ${runningUnaffected}`,
  },
  {
    name: 'target latency',
    textOf: ({targetLatencyMs}) => `${targetLatencyMs} ms`,
    effect: 'changes when new requests are refused for load',
  },
  {
    name: 'tier',
    textOf: ({tier}) => String(tier),
    effect: `changes who goes first among new requests; ${runningUnaffected}`,
  },
  {
    name: 'retries',
    textOf: ({maxUpstreams, retryPolicy}) =>
      `${retryPolicy}, ${maxUpstreams} upstreams`,
    effect: `applies to new requests; ${runningUnaffected}`,
  },
  {
    name: 'anonymous access',
    textOf: ({anonymous}) => (anonymous ? 'yes' : 'no'),
    effect: 'without it, new requests need an API key',
  },
];

function changesOfRoute(
  before: GatewayRoute,
  after: GatewayRoute,
): readonly ConfigChange[] {
  return routeFields.flatMap(({effect, name, textOf}) => {
    const from = textOf(before);
    const to = textOf(after);
    if (from === to) return [];
    const change = `${name} changes from ${from} to ${to}`;
    return [{subject: routeSubject(after), change, effect}];
  });
}

function routeChanges(
  before: GatewayConfig,
  after: GatewayConfig,
): readonly ConfigChange[] {
  const old = new Map(before.routes.map(route => [matchKeyOf(route), route]));
  const next = new Map(after.routes.map(route => [matchKeyOf(route), route]));
  const removed = [...old].flatMap(([key, route]) =>
    next.has(key)
      ? []
      : [
          {
            subject: routeSubject(route),
            change: `is removed (${key})`,
            effect: `new requests get 404 or another route; ${runningUnaffected}`,
          },
        ],
  );
  const others = [...next].flatMap(([key, route]) => {
    const previous = old.get(key);
    return previous === undefined
      ? [
          {
            subject: routeSubject(route),
            change: `is added (${key})`,
            effect: 'requests that match no longer prefix get this route',
          },
        ]
      : changesOfRoute(previous, route);
  });
  return [...removed, ...others];
}

function keyChanges(
  before: GatewayConfig,
  after: GatewayConfig,
): readonly ConfigChange[] {
  const old = before.workspacesByKey ?? new Map();
  const next = after.workspacesByKey ?? new Map();
  const countBy = (
    keys: ReadonlyMap<string, {readonly workspaceId: string}>,
    others: ReadonlyMap<string, unknown>,
  ) => {
    const counts = new Map<string, number>();
    for (const [key, {workspaceId}] of keys) {
      if (others.has(key)) continue;
      counts.set(workspaceId, (counts.get(workspaceId) ?? 0) + 1);
    }
    return [...counts];
  };
  return [
    ...countBy(old, next).map(([workspace, count]) => ({
      subject: `workspace "${workspace}"`,
      change: `${count} API keys are removed`,
      effect: `requests with them get 401; ${runningUnaffected}`,
    })),
    ...countBy(next, old).map(([workspace, count]) => ({
      subject: `workspace "${workspace}"`,
      change: `${count} API keys are added`,
      effect: 'requests with them are accepted',
    })),
  ];
}

function limitChanges(
  before: GatewayConfig,
  after: GatewayConfig,
): readonly ConfigChange[] {
  const old = Object.entries(before.limits);
  const next = new Map(Object.entries(after.limits));
  return old.flatMap(([name, value]) => {
    const to = next.get(name) ?? value;
    if (to === value) return [];
    const change = `${name} changes from ${value} to ${to}`;
    const effect =
      to < value
        ? 'callers beyond the lower limit are refused or their connections closed'
        : 'callers may use more';
    return [{subject: 'limits', change, effect}];
  });
}

/** Describes what a new configuration changes. */
export function describeChanges(
  before: GatewayConfig,
  after: GatewayConfig,
): readonly ConfigChange[] {
  const version: readonly ConfigChange[] =
    after.version > before.version
      ? []
      : [
          {
            subject: 'version',
            change: `is ${after.version}, not above ${before.version} in force`,
            effect: 'instances keep the version in force',
          },
        ];
  return [
    ...version,
    ...routeChanges(before, after),
    ...keyChanges(before, after),
    ...limitChanges(before, after),
  ];
}
