/**
 * Describes how two configurations differ, by sections and keys of the classes
 * file.
 */
import type {
  ConfigDifference,
  LatencyTarget,
  OperatorConfig,
  ServiceClass,
} from '@toucanrouter/common';

/** The part of a configuration that is compared. */
export type ComparedConfig = Pick<
  OperatorConfig,
  'classes' | 'drainedUpstreams' | 'workspaces'
>;

type Fields = Readonly<Record<string, string>>;

/** Lists the differences from `before` to `after`, sorted by subject. */
export function diffConfigs(
  before: ComparedConfig,
  after: ComparedConfig,
): readonly ConfigDifference[] {
  const beforeSubjects = subjectsOf(before);
  const afterSubjects = subjectsOf(after);
  const subjects = [
    ...new Set([...beforeSubjects.keys(), ...afterSubjects.keys()]),
  ].sort();
  return subjects.flatMap(subject =>
    diffSubject(
      subject,
      beforeSubjects.get(subject),
      afterSubjects.get(subject),
    ),
  );
}

function subjectsOf(config: ComparedConfig): ReadonlyMap<string, Fields> {
  const subjects = new Map<string, Fields>();
  for (const entry of config.classes) {
    subjects.set(`class.${entry.id}`, classFields(entry));
  }
  for (const {id, keySha256} of config.workspaces) {
    subjects.set(`workspace.${id}`, {key_sha256: keySha256});
  }
  for (const id of config.drainedUpstreams) {
    subjects.set(`upstream.${id}`, {drained: 'yes'});
  }
  return subjects;
}

function classFields(entry: ServiceClass): Fields {
  const {match} = entry;
  return {
    priority: String(entry.tier),
    ...targetFields(entry.target),
    idempotent: entry.idempotent ? 'yes' : 'no',
    max_wait: durationText(entry.maxWaitMs),
    models: match.models.join(', '),
    services: match.services.join(', '),
    methods: match.methods.join(', '),
    paths: match.paths.join(', '),
    only_when_named: match.onlyWhenNamed ? 'yes' : 'no',
  };
}

function targetFields(target: LatencyTarget): Fields {
  const text = (valueMs: number | undefined) =>
    valueMs === undefined ? '' : durationText(valueMs);
  return {
    target_first_token: text(target.firstTokenMs),
    target_token_gap: text(target.tokenGapMs),
    target_total: text(target.totalMs),
  };
}

/** Formats a duration as in a classes file. */
export function durationText(valueMs: number): string {
  if (valueMs % 60_000 === 0) return `${valueMs / 60_000}m`;
  return valueMs % 1000 === 0 ? `${valueMs / 1000}s` : `${valueMs}ms`;
}

function diffSubject(
  subject: string,
  before: Fields | undefined,
  after: Fields | undefined,
): readonly ConfigDifference[] {
  if (before === undefined) return [{subject, after: summaryOf(after)}];
  if (after === undefined) return [{subject, before: summaryOf(before)}];
  return Object.keys(after)
    .filter(field => before[field] !== after[field])
    .map(field => ({
      subject,
      field,
      before: before[field],
      after: after[field],
    }));
}

function summaryOf(fields: Fields = {}): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== '')
    .map(([key, value]) => `${key} = ${value}`)
    .join('; ');
}
