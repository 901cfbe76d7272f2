/**
 * A request whose response is not complete, and how far it has come. A stop, or
 * a connection that closes, ends such a request without an answer.
 */

/** How far a request without a complete response has come. */
export type RequestStage =
  /** Its head was read, and its body was not read completely. */
  | 'head_read'
  /** It was read completely, and no upstream can have received it. */
  | 'body_read'
  /** An upstream may have received it. */
  | 'sent'
  /** A part of the response was passed on. */
  | 'response_started';

/** A request in progress. */
export interface OpenRequest {
  readonly requestId: string;
  stage(): RequestStage;
  /** Time since the head of the request was read. */
  openMs(): number;
  /** Ends the request now: with an error if no part of a response was sent. */
  end(reason: string): void;
  /** Breaks off a response so that it does not look complete. */
  breakOff(reason: string): void;
}

/** A request whose connection closed before its response was complete. */
export interface UnansweredRequest {
  readonly requestId: string;
  readonly stage: RequestStage;
  readonly openMs: number;
}
