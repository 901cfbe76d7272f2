/**
 * Collects the bytes of a message. They are copied into blocks, so that what is
 * held follows the number of bytes, however small the chunks are that bring
 * them: a chunk that is kept costs an object of its own, and may keep the whole
 * buffer into which its socket was read.
 */

/** Collects bytes until they are taken. */
export interface ByteCollector {
  /** Number of bytes collected so far. */
  readonly sizeBytes: number;
  add(chunk: Uint8Array): void;
  /** Returns the bytes and forgets them. */
  take(): Buffer;
}

const minBlockBytes = 256;
const maxBlockBytes = 64 * 1024;

/** Creates a collector without bytes. */
export function createByteCollector(): ByteCollector {
  let blocks: Buffer[] = [];
  /** Bytes that are free at the end of the last block. */
  let freeBytes = 0;
  let sizeBytes = 0;

  function addBlock(neededBytes: number): void {
    const grownBytes = Math.min(
      maxBlockBytes,
      Math.max(minBlockBytes, sizeBytes),
    );
    freeBytes = Math.max(grownBytes, neededBytes);
    blocks.push(Buffer.allocUnsafeSlow(freeBytes));
  }

  /** Copies as much of a chunk as fits into the last block. */
  function fillLastBlock(chunk: Uint8Array): number {
    const block = blocks.at(-1);
    if (block === undefined || freeBytes === 0) return 0;
    const part = chunk.subarray(0, freeBytes);
    block.set(part, block.length - freeBytes);
    freeBytes -= part.length;
    sizeBytes += part.length;
    return part.length;
  }

  return {
    get sizeBytes() {
      return sizeBytes;
    },
    add: chunk => {
      const rest = chunk.subarray(fillLastBlock(chunk));
      if (rest.length === 0) return;
      addBlock(rest.length);
      fillLastBlock(rest);
    },
    take: () => {
      const bytes =
        blocks.length === 1 && blocks[0] !== undefined
          ? blocks[0].subarray(0, sizeBytes)
          : Buffer.concat(blocks, sizeBytes);
      blocks = [];
      freeBytes = 0;
      sizeBytes = 0;
      return bytes;
    },
  };
}
