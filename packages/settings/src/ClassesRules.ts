/**
 * Rules of a classes file that involve several keys or several classes.
 */
import type {ClassMatch, ServiceClass} from '@toucanrouter/common';
import type {IniSection} from './IniDocument.js';
import type {FaultList} from './SectionParser.js';
import {lineOf} from './SectionParser.js';

/** A class with the section that it was parsed from. */
export interface ParsedClass {
  readonly section: IniSection;
  readonly serviceClass: ServiceClass;
}

/** Checks which keys of a class are set together, not their values. */
export function checkClassKeys(section: IniSection, faults: FaultList): void {
  checkTargets(section, faults);
  checkMatch(section, faults);
}

function isSet(section: IniSection, key: string): boolean {
  return section.entries.some(entry => entry.key === key && entry.value !== '');
}

function checkTargets(section: IniSection, faults: FaultList): void {
  const targets = ['target_first_token', 'target_token_gap', 'target_total'];
  if (!targets.some(key => isSet(section, key))) {
    faults.add(
      section.line,
      `[${section.name}] has no target; set at least one of ${targets.join(', ')}`,
    );
    return;
  }
  if (isSet(section, 'services') && !isSet(section, 'target_total')) {
    faults.add(
      section.line,
      `[${section.name}] lists plain services, which send no tokens; set target_total`,
    );
  }
}

function checkMatch(section: IniSection, faults: FaultList): void {
  const models = isSet(section, 'models');
  const services = isSet(section, 'services');
  if (!models && !services) {
    faults.add(
      section.line,
      `[${section.name}] matches no request; list names in models or services`,
    );
  }
  if (models && services) {
    faults.add(
      lineOf(section, 'services'),
      `[${section.name}] lists both models and services; split it into two classes`,
    );
  }
  if (models) checkModelKeys(section, faults);
}

function checkModelKeys(section: IniSection, faults: FaultList): void {
  for (const key of ['methods', 'paths']) {
    if (!isSet(section, key)) continue;
    faults.add(
      lineOf(section, key),
      `${key}: applies only to classes with services; remove it`,
    );
  }
  const idempotent = section.entries.find(({key}) => key === 'idempotent');
  if (idempotent?.value === 'no') {
    faults.add(
      idempotent.line,
      'idempotent: must be yes for a class with models, since only plain calls are claimed',
    );
  }
}

/** Reports pairs of classes that match the same request. */
export function checkOverlaps(
  classes: readonly ParsedClass[],
  faults: FaultList,
): void {
  classes.forEach((later, index) => {
    for (const earlier of classes.slice(0, index)) {
      const overlap = describeOverlap(earlier.serviceClass, later.serviceClass);
      if (overlap === undefined) continue;
      faults.add(
        later.section.line,
        `[${later.section.name}] and [${earlier.section.name}] (line ${earlier.section.line}) both match ${overlap}; ${suggestFix(later.serviceClass)}`,
      );
    }
  });
}

function suggestFix(serviceClass: ServiceClass): string {
  return serviceClass.match.models.length > 0
    ? 'set only_when_named = yes in all but one of them'
    : 'narrow the methods or paths';
}

/**
 * Returns what both classes match. Classes of the same model may overlap if
 * callers choose all but one of them by name. A plain call must match exactly
 * one class, because a caller's choice must not turn a call that runs at most
 * once into one that is retried.
 */
function describeOverlap(a: ServiceClass, b: ServiceClass): string | undefined {
  const service = findOverlappingService(a.match, b.match);
  if (service !== undefined) return `service "${service}"`;
  if (a.match.onlyWhenNamed || b.match.onlyWhenNamed) return undefined;
  const model = a.match.models.find(name => b.match.models.includes(name));
  return model === undefined ? undefined : `model "${model}"`;
}

function findOverlappingService(
  a: ClassMatch,
  b: ClassMatch,
): string | undefined {
  const service = a.services.find(name => b.services.includes(name));
  if (service === undefined) return undefined;
  const overlaps =
    intersects(a.methods, b.methods, (x, y) => x === y) &&
    intersects(a.paths, b.paths, (x, y) => x.startsWith(y) || y.startsWith(x));
  return overlaps ? service : undefined;
}

/** Returns whether two lists match; an empty list stands for all values. */
function intersects(
  a: readonly string[],
  b: readonly string[],
  matches: (x: string, y: string) => boolean,
): boolean {
  if (a.length === 0 || b.length === 0) return true;
  return a.some(x => b.some(y => matches(x, y)));
}
