/** HTTP servers on loopback for the emulated state service and cloud. */
import type { CloudOperation, CloudReply } from '@shaleyoke/core/domain/cloud';

import { serve, type Served } from './loopback-http.js';
import type { StateModel } from './state-model.js';
import { cloudOpOf, encodeCloudReply, encodeStateReply, stateOpOf } from './wire.js';

/** Serves the state service. `asked` is called for each request. */
export const serveState = (state: StateModel, asked: () => void = () => undefined): Promise<Served> =>
  serve('127.0.0.1:0', (request, reply) => {
    asked();
    const op = stateOpOf(request.method, request.url, request.body);
    if (op.kind === 'watch')
      state.watch(op, (answer) => {
        reply(encodeStateReply(op, answer));
      });
    else reply(encodeStateReply(op, state.apply(op)));
  });

/** Serves the cloud; `answer` executes its requests. */
export const serveCloud = (answer: (op: CloudOperation) => CloudReply): Promise<Served> =>
  serve('127.0.0.1:0', (request, reply) => {
    reply(encodeCloudReply(answer(cloudOpOf(request.method, request.url, request.body))));
  });
