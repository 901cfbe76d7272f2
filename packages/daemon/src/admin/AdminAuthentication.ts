/**
 * Authenticates bearer tokens by the token files of the instance.
 */
import {createHash, timingSafeEqual} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import type {AdminRole} from '@toucanrouter/common';
import {RouterError} from '@toucanrouter/common';
import type {Result} from 'neverthrow';
import {err, errAsync, ok, ResultAsync} from 'neverthrow';

/** Paths of the files that hold one token each. */
export interface TokenFiles {
  readonly readerTokenFile: string;
  readonly writerTokenFile: string;
}

/** Returns the role of the token in an `Authorization` header. */
export function authenticate(
  files: TokenFiles,
  header: string | undefined,
): ResultAsync<AdminRole, RouterError> {
  const presentedToken = /^Bearer ([^\s]+)$/i.exec(header ?? '')?.[1];
  if (presentedToken === undefined) return errAsync(missingTokenError());
  return ResultAsync.combine([
    readToken(files.readerTokenFile),
    readToken(files.writerTokenFile),
  ]).andThen(([reader, writer]) => roleOf(presentedToken, reader, writer));
}

function roleOf(
  presentedToken: string,
  readerToken: string,
  writerToken: string,
): Result<AdminRole, RouterError> {
  const isReader = equalInConstantTime(presentedToken, readerToken);
  const isWriter = equalInConstantTime(presentedToken, writerToken);
  if (isWriter) return ok('writer');
  if (isReader) return ok('reader');
  return err(
    new RouterError(
      'unauthenticated',
      'the bearer token is not the reader or writer token of this instance; check that it comes from the token file of this deployment',
    ),
  );
}

/** Compares hashes, because `timingSafeEqual` requires equal lengths. */
function equalInConstantTime(a: string, b: string): boolean {
  return timingSafeEqual(sha256(a), sha256(b));
}

function sha256(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

/** Rejects an empty file, which would otherwise accept an empty token. */
function readToken(file: string): ResultAsync<string, RouterError> {
  const unreadableError = (cause?: unknown) =>
    new RouterError(
      'unauthenticated',
      'this instance cannot read its token files; check reader_token_file and writer_token_file in its settings',
      {cause},
    );
  return ResultAsync.fromPromise(
    readFile(file, 'utf8'),
    unreadableError,
  ).andThen(text => {
    const token = text.trim();
    return token === '' ? err(unreadableError()) : ok(token);
  });
}

function missingTokenError(): RouterError {
  return new RouterError(
    'unauthenticated',
    'the request has no bearer token; send "Authorization: Bearer <token>"',
  );
}

/** Checks that a role permits changes. */
export function requireWriter(role: AdminRole): Result<void, RouterError> {
  if (role === 'writer') return ok();
  return err(
    new RouterError(
      'forbidden',
      'the reader token permits no changes; use the writer token',
    ),
  );
}
