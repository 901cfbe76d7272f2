/**
 * Reports to peers that are lists of items: they are split over datagrams that
 * fit into one packet, each of which starts with the head of the report.
 */

/** Fits into one packet on common networks. */
export const maxDatagramBytes = 1_200;
const uint32Bytes = 4;
const doubleBytes = 8;
const maxUint32 = 0xffffffff;

/** Returns a time as an unsigned integer of 32 bits, in milliseconds. */
export function timeToUint32(ms: number): number {
  return Math.min(Math.max(0, Math.round(ms)), maxUint32);
}

/** Joins items to datagrams; there is none without items. */
export function joinItems(
  head: Buffer,
  items: readonly Buffer[],
): readonly Buffer[] {
  const datagrams: Buffer[] = [];
  for (const item of items) {
    const last = datagrams.at(-1);
    if (last !== undefined && last.length + item.length <= maxDatagramBytes) {
      datagrams[datagrams.length - 1] = Buffer.concat([last, item]);
    } else {
      datagrams.push(Buffer.concat([head, item]));
    }
  }
  return datagrams;
}

/** Creates a writer of values, one after the other. */
export function createDatagramWriter() {
  const parts: Buffer[] = [];
  const add = (bytes: number, write: (buffer: Buffer) => void) => {
    const buffer = Buffer.alloc(bytes);
    write(buffer);
    parts.push(buffer);
  };
  const uint32 = (value: number) =>
    add(uint32Bytes, buffer => buffer.writeUInt32BE(value));
  return {
    byte: (value: number) => parts.push(Buffer.of(value)),
    uint32,
    timeMs: (ms: number) => uint32(timeToUint32(ms)),
    float: (value: number) =>
      add(uint32Bytes, buffer => buffer.writeFloatBE(value)),
    double: (value: number) =>
      add(doubleBytes, buffer => buffer.writeDoubleBE(value)),
    /** Writes a text of at most 255 bytes with its length. */
    text: (value: string) => {
      const bytes = Buffer.from(value);
      parts.push(Buffer.of(bytes.length), bytes);
    },
    bytes: () => Buffer.concat(parts),
  };
}

/** Reads the values of a datagram; throws a `RangeError` after its end. */
export interface DatagramReader {
  isAtEnd(): boolean;
  byte(): number;
  uint32(): number;
  float(): number;
  double(): number;
  /** A text with its length. */
  text(): string;
}

/** Creates a reader at the start of a datagram. */
export function createDatagramReader(datagram: Buffer): DatagramReader {
  let at = 0;
  const advance = (bytes: number) => {
    const from = at;
    at += bytes;
    return from;
  };
  return {
    isAtEnd: () => at >= datagram.length,
    byte: () => datagram.readUInt8(advance(1)),
    uint32: () => datagram.readUInt32BE(advance(uint32Bytes)),
    float: () => datagram.readFloatBE(advance(uint32Bytes)),
    double: () => datagram.readDoubleBE(advance(doubleBytes)),
    text: () => {
      const length = datagram.readUInt8(advance(1));
      const from = advance(length);
      if (at > datagram.length) throw new RangeError('the text is cut');
      return datagram.toString('utf8', from, at);
    },
  };
}

/**
 * Decodes a datagram with `read`; returns undefined if it is too long or ends
 * within a value.
 */
export function decodeDatagram<Report>(
  datagram: Buffer,
  read: (reader: DatagramReader) => Report | undefined,
): Report | undefined {
  if (datagram.length > maxDatagramBytes) return undefined;
  try {
    return read(createDatagramReader(datagram));
  } catch (error) {
    if (error instanceof RangeError) return undefined;
    throw error;
  }
}
