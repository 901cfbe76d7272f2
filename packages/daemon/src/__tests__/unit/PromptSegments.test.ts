import {expect} from 'chai';
import {sharedSegmentsOf} from '../../request/chat/PromptSegments.js';

const message = (content: string) => ({role: 'user', content});

describe('sharedSegmentsOf', () => {
  it('leaves out the last message, which belongs to the request itself', () => {
    const segments = sharedSegmentsOf('advisor', [message('a'), message('b')]);
    expect(segments).to.have.length(1);
    expect(sharedSegmentsOf('advisor', [message('a')])).to.deep.equal([]);
  });

  it('finds the same message behind others, since it crashes engines there too', () => {
    const [alone] = sharedSegmentsOf('advisor', [message('a'), message('b')]);
    const [, behind] = sharedSegmentsOf('advisor', [
      message('first'),
      message('a'),
      message('c'),
    ]);
    expect(behind).to.equal(alone);
  });

  it('distinguishes models, since engines of another one may answer the message', () => {
    const messages = [message('a'), message('b')];
    expect(sharedSegmentsOf('advisor', messages)).to.not.deep.equal(
      sharedSegmentsOf('drafter', messages),
    );
  });

  // Guards against a message that crashes engines and is not looked at because
  // it comes late in a conversation.
  it('contains each message of a long conversation', () => {
    const messages = Array.from({length: 1_000}, (_, i) => message(`${i}`));
    const segments = sharedSegmentsOf('advisor', messages);
    expect(new Set(segments).size).to.equal(messages.length - 1);
  });
});
