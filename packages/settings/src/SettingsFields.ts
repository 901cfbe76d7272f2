/**
 * Schemas of single values in settings and classes files. Each schema validates
 * the text in the file and converts it.
 */
import * as z from 'zod';
import type {ListenAddress} from './InstanceSettings.js';

const durationUnitsMs: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1000,
  m: 60_000,
  h: 3_600_000,
};

const sizeUnitsBytes: Readonly<Record<string, number>> = {
  B: 1,
  KiB: 1024,
  MiB: 1024 * 1024,
};

const memoryUnitsBytes: Readonly<Record<string, number>> = {
  ...sizeUnitsBytes,
  MB: 1_000_000,
};

const units = [durationUnitsMs, memoryUnitsBytes].flatMap(Object.keys);
const zeroPattern = /^0+(?:\.0+)?\s*[A-Za-z]*$/;

/** Returns whether a text has no value: it is empty, or only a unit. */
export function isBlank(text: string): boolean {
  return text === '' || units.includes(text);
}

/** Returns whether a text is 0, with or without a unit. */
export function isZero(text: string): boolean {
  return zeroPattern.test(text);
}

const maxPort = 65_535;
/** Timers of Node.js overflow beyond 2^31 - 1 milliseconds. */
const maxDurationMs = 86_400_000;

/** Either the converted value or the reason why the text is invalid. */
type ConversionResult<T> = {readonly value: T} | {readonly fault: string};

/** Creates a schema that converts text. */
function textField<T>(convert: (text: string) => ConversionResult<T>) {
  return z.string().transform((text, context): T => {
    const result = convert(text);
    if ('value' in result) return result.value;
    context.addIssue({code: 'custom', message: result.fault});
    return z.NEVER;
  });
}

function parseQuantity(
  text: string,
  units: Readonly<Record<string, number>>,
): number | undefined {
  const match = /^(\d+(?:\.\d+)?)\s*([A-Za-z]+)$/.exec(text);
  const unit = units[match?.[2] ?? ''];
  if (match === null || unit === undefined) return undefined;
  return Number(match[1]) * unit;
}

function convertDuration(
  text: string,
  minMs: number,
): ConversionResult<number> {
  const valueMs = parseQuantity(text, durationUnitsMs);
  if (valueMs === undefined) {
    return {
      fault: `"${text}" is not a duration; write a number with unit ms, s, m or h, such as 400ms or 2s`,
    };
  }
  if (valueMs < minMs || valueMs > maxDurationMs) {
    return {fault: `"${text}" is out of range; allowed are ${minMs}ms to 24h`};
  }
  return {value: valueMs};
}

/** A duration with its unit, in milliseconds. */
export const durationField = textField(text => convertDuration(text, 1));

/** A duration with its unit, in milliseconds; 0 stands for "at once". */
export const durationOrZeroField = textField(text => convertDuration(text, 0));

/** A size with its unit, in bytes. */
export const sizeField = textField((text): ConversionResult<number> => {
  const bytes = parseQuantity(text, sizeUnitsBytes);
  if (bytes !== undefined && bytes >= 1) return {value: Math.floor(bytes)};
  return {
    fault: `"${text}" is not a size; write a number with unit B, KiB or MiB, such as 4MiB`,
  };
});

/**
 * The memory of a machine in bytes. A text without a number, such as a template
 * leaves behind that was filled in without the value, counts as not set.
 */
export const memoryField = textField(
  (text): ConversionResult<number | undefined> => {
    if (!/\d/.test(text)) return {value: undefined};
    const bytes = parseQuantity(text, memoryUnitsBytes);
    if (bytes !== undefined && bytes >= 1) return {value: Math.floor(bytes)};
    return {
      fault: `"${text}" is not a size; write a number with unit B, KiB, MB or MiB, such as 512MiB`,
    };
  },
);

/** A non-negative number, such as 0.2. */
export const numberField = textField((text): ConversionResult<number> => {
  const value = Number(text);
  if (text !== '' && Number.isFinite(value) && value >= 0) return {value};
  return {
    fault: `"${text}" is not a non-negative number; write a number such as 0.2`,
  };
});

/** A positive whole number, such as 2000. */
export const countField = textField((text): ConversionResult<number> => {
  const value = Number(text);
  if (Number.isSafeInteger(value) && value >= 1) return {value};
  return {
    fault: `"${text}" is not a positive whole number; write a number such as 2000`,
  };
});

/** Any text, which is compared and passed on but not interpreted. */
export const opaqueField = textField((text): ConversionResult<string> => ({
  value: text,
}));

/** A text that is not empty. */
export const nonEmptyField = textField((text): ConversionResult<string> =>
  text === '' ? {fault: 'the value is empty'} : {value: text},
);

/** Names with letters, digits, `.`, `_` and `-`. */
export const namePattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;

/** Describes `namePattern` in messages. */
export const nameRule =
  'a name has 1 to 63 letters, digits, ".", "_" or "-" and starts with a letter or digit';

/** The name of an instance, a region, a service and so on. */
export const nameField = textField((text): ConversionResult<string> =>
  namePattern.test(text)
    ? {value: text}
    : {fault: `"${text}" is not a name; ${nameRule}`},
);

/** Creates a schema that accepts one of the given words. */
export function choiceField<Choice extends string>(choices: readonly Choice[]) {
  return textField((text): ConversionResult<Choice> => {
    const choice = choices.find(candidate => candidate === text);
    if (choice !== undefined) return {value: choice};
    return {fault: `"${text}" is not allowed; use ${choices.join(', ')}`};
  });
}

/** `yes` or `no`. */
export const yesNoField = choiceField(['yes', 'no']).transform(
  choice => choice === 'yes',
);

function splitList(text: string): readonly string[] {
  if (text === '') return [];
  return text.split(',').map(item => item.trim());
}

/** Creates a schema of a comma-separated list of distinct items. */
export function listField(
  accepts: (item: string) => boolean,
  rule: string,
): z.ZodType<readonly string[], string> {
  return textField((text): ConversionResult<readonly string[]> => {
    const items = splitList(text);
    const rejected = items.find(item => !accepts(item));
    if (rejected !== undefined)
      return {fault: `"${rejected}" is not allowed; ${rule}`};
    const duplicate = items.find(
      (item, index) => items.indexOf(item) !== index,
    );
    if (duplicate !== undefined)
      return {fault: `"${duplicate}" is listed twice`};
    return {value: items};
  });
}

/** Splits `host:port` and checks both parts. */
export function convertAddress(text: string): ConversionResult<ListenAddress> {
  const match = /^(\[[0-9A-Fa-f:.]+\]|[A-Za-z0-9.-]+):(\d+)$/.exec(text);
  if (match === null) {
    return {
      fault: `"${text}" is not an address; write host:port, such as 127.0.0.1:8080`,
    };
  }
  const port = Number(match[2]);
  if (port < 1 || port > maxPort) {
    return {
      fault: `port ${match[2]} in "${text}" is out of range; allowed are 1 to ${maxPort}`,
    };
  }
  return {value: {host: (match[1] ?? '').replace(/^\[|\]$/g, ''), port}};
}

/** `host:port`, converted to host and port. */
export const addressField = textField(convertAddress);

/**
 * `host:port`, or undefined for a text that is no address, such as a template
 * leaves behind that was filled in without the host or the port.
 */
export const optionalAddressField = textField(
  (text): ConversionResult<ListenAddress | undefined> => {
    const result = convertAddress(text);
    return 'value' in result ? result : {value: undefined};
  },
);

/** `host:port`, validated but kept as text. */
export const addressTextField = textField((text): ConversionResult<string> => {
  const result = convertAddress(text);
  return 'fault' in result ? result : {value: text};
});

/** Comma-separated `host:port` addresses. */
export const addressListField = listField(
  item => 'value' in convertAddress(item),
  'write host:port with a port from 1 to 65535',
);

/** An `http:` or `https:` URL. */
export const urlField = textField((text): ConversionResult<string> => {
  const url = URL.canParse(text) ? new URL(text) : undefined;
  if (url?.protocol === 'http:' || url?.protocol === 'https:') {
    return {value: text};
  }
  return {
    fault: `"${text}" is not a URL; write http://host:port/path`,
  };
});

/** A SHA-256 hash in lower-case hexadecimal. */
export const sha256Field = textField((text): ConversionResult<string> =>
  /^[0-9a-f]{64}$/.test(text)
    ? {value: text}
    : {
        fault:
          'the value is not a SHA-256 hash; write 64 lower-case hexadecimal digits (printf %s KEY | sha256sum)',
      },
);
