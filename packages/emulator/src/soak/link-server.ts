/** A server of loopback whose requests and answers pass a link that can fail. */
import { MalformedMessageError } from '@shaleyoke/protocol/body';

import { type Asked, serve, type Served } from '../loopback-http.js';
import type { Answer } from '../wire.js';
import type { FaultyLink } from './faulty-link.js';

const ANY_PORT = '127.0.0.1:0';
const BAD_REQUEST = 400;

/** Serves at any free port; a request without an answer stays open until its sender gives it up. */
export const serveThroughLink = (
  link: FaultyLink,
  execute: (request: Asked) => Promise<Answer | null>,
): Promise<Served> =>
  serve(ANY_PORT, (request, reply) => {
    link
      .carry(() => execute(request))
      .then((answer) => {
        if (answer !== null) reply(answer);
      })
      .catch((error: unknown) => {
        if (!(error instanceof MalformedMessageError)) throw error;
        reply({ status: BAD_REQUEST, body: Buffer.from(error.message) });
      });
  });
