/** An HTTP server on the loopback interface whose requests and responses pass through a faulty link. */
import { MalformedMessageError } from '@shaleyoke/protocol/body';

import { type HttpRequest, type HttpServer, startServer } from '../loopback-http.js';
import type { WireResponse } from '../wire.js';
import type { FaultyLink } from './faulty-link.js';

const LOOPBACK_ANY_PORT = '127.0.0.1:0';
const BAD_REQUEST = 400;

/** Serves on any free port; a request whose response is lost stays open until its sender times out. */
export const serveThroughLink = (
  link: FaultyLink,
  execute: (request: HttpRequest) => Promise<WireResponse | null>,
): Promise<HttpServer> =>
  startServer(LOOPBACK_ANY_PORT, (request, reply) => {
    link
      .exchange(() => execute(request))
      .then((response) => {
        if (response !== null) reply(response);
      })
      .catch((error: unknown) => {
        if (!(error instanceof MalformedMessageError)) throw error;
        reply({ status: BAD_REQUEST, body: Buffer.from(error.message) });
      });
  });
