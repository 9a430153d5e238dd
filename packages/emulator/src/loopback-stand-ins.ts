/** HTTP servers on loopback for the emulated state service and cloud. */
import type { CloudOperation, CloudReply } from '@shaleyoke/core/domain/cloud';

import { type HttpServer, startServer } from './loopback-http.js';
import type { StateModel } from './state-model.js';
import { decodeCloudOperation, decodeStoreOperation, encodeCloudReply, encodeStoreReply } from './wire.js';

/** Serves the state service. `asked` is called for each request. */
export const serveStore = (state: StateModel, asked: () => void = () => undefined): Promise<HttpServer> =>
  startServer('127.0.0.1:0', (request, reply) => {
    asked();
    const op = decodeStoreOperation(request.method, request.url, request.body);
    if (op.kind === 'watch')
      state.watch(op, (answer) => {
        reply(encodeStoreReply(op, answer));
      });
    else reply(encodeStoreReply(op, state.apply(op)));
  });

/** Serves the cloud; `answer` executes its requests. */
export const serveCloud = (answer: (op: CloudOperation) => CloudReply): Promise<HttpServer> =>
  startServer('127.0.0.1:0', (request, reply) => {
    reply(encodeCloudReply(answer(decodeCloudOperation(request.method, request.url, request.body))));
  });
