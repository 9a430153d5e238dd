/** The bytes of everything that a controller sends, by the same codecs that the controller's process uses. */
import type { CoreEffect } from '@shaleyoke/core/domain/effects';
import { encodeClientResponse } from '@shaleyoke/protocol/client-api';
import { encodeCloudOperation, type HttpCall } from '@shaleyoke/protocol/cloud';
import { encodeStoreOperation } from '@shaleyoke/protocol/key-value-store';
import { encodePeerMessage } from '@shaleyoke/protocol/peers';
import { COMMANDS_PATH, encodeCommands, encodeHeartbeatResponse } from '@shaleyoke/protocol/workers';

/** One message as it leaves a controller. */
export interface SentMessage {
  /** Recipient, method and path of a request; status of an answer. */
  readonly head: string;
  readonly body: Buffer;
}

/** Encodes an answer to a client of a feature, whose form only the feature knows. */
export type FeatureAnswerEncoder = (feature: string, answer: unknown, last: boolean) => string;

const EMPTY = Buffer.alloc(0);

const request = (recipient: string, call: HttpCall): SentMessage => ({
  head: `${recipient} ${call.method} ${call.path}`,
  body: call.body ?? EMPTY,
});

/** The message that an effect sends; null for effects that send nothing (timers, roles, logs). */
export const encodeEffect = (
  effect: CoreEffect,
  encodeFeatureAnswer: FeatureAnswerEncoder,
): SentMessage | null => {
  switch (effect.kind) {
    case 'storeRequest':
      return request('state', encodeStoreOperation(effect.op));
    case 'cloudRequest':
      return request('cloud', encodeCloudOperation(effect.op));
    case 'workerCommands':
      return {
        head: `worker ${effect.address} POST ${COMMANDS_PATH}`,
        body: encodeCommands(effect.fencingToken, effect.agentEpoch, effect.commands),
      };
    case 'clientResponse': {
      const { status, body, retryAfterS } = encodeClientResponse(effect.answer);
      return { head: `user ${effect.request} ${status} ${retryAfterS ?? ''}`, body };
    }
    case 'heartbeatResponse': {
      const { status, body } = encodeHeartbeatResponse(effect.answer);
      return { head: `report ${effect.request} ${status}`, body };
    }
    case 'featureResponse':
      return {
        head: `client ${effect.feature} ${effect.request}`,
        body: Buffer.from(encodeFeatureAnswer(effect.feature, effect.answer, effect.last)),
      };
    case 'peerMessage': {
      const { path, body } = encodePeerMessage(effect.message);
      return { head: `peer ${effect.member} POST ${path}`, body };
    }
    case 'wake':
    case 'role':
    case 'log':
      return null;
  }
};
