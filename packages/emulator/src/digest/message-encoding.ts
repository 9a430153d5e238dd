/** Encodes the messages that a controller sends with the codecs that the controller process uses. */
import type { CoreEffect } from '@shaleyoke/core/domain/effects';
import { encodeClientResponse } from '@shaleyoke/protocol/client-api';
import { encodeCloudOperation, type HttpCall } from '@shaleyoke/protocol/cloud';
import { encodeStoreOperation } from '@shaleyoke/protocol/key-value-store';
import { encodePeerMessage } from '@shaleyoke/protocol/peers';
import { COMMANDS_PATH, encodeCommands, encodeHeartbeatResponse } from '@shaleyoke/protocol/workers';

/** A message as a controller sends it. */
export interface SentMessage {
  /** Recipient, method and path of a request, or recipient and status of a response. */
  readonly header: string;
  readonly body: Buffer;
}

/** Encodes a feature's response to its client; only the feature knows the format. */
export type FeatureAnswerEncoder = (feature: string, answer: unknown, last: boolean) => string;

const EMPTY_BODY = Buffer.alloc(0);

const request = (recipient: string, call: HttpCall): SentMessage => ({
  header: `${recipient} ${call.method} ${call.path}`,
  body: call.body ?? EMPTY_BODY,
});

/** Encodes the message that an effect sends; null for effects that send nothing (timers, roles, logs). */
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
        header: `worker ${effect.address} POST ${COMMANDS_PATH}`,
        body: encodeCommands(effect.fencingToken, effect.agentEpoch, effect.commands),
      };
    case 'clientResponse': {
      const { status, body, retryAfterS } = encodeClientResponse(effect.answer);
      return { header: `user ${effect.request} ${status} ${retryAfterS ?? ''}`, body };
    }
    case 'heartbeatResponse': {
      const { status, body } = encodeHeartbeatResponse(effect.answer);
      return { header: `report ${effect.request} ${status}`, body };
    }
    case 'featureResponse':
      return {
        header: `client ${effect.feature} ${effect.request}`,
        body: Buffer.from(encodeFeatureAnswer(effect.feature, effect.answer, effect.last)),
      };
    case 'peerMessage': {
      const { path, body } = encodePeerMessage(effect.message);
      return { header: `peer ${effect.member} POST ${path}`, body };
    }
    case 'wake':
    case 'role':
    case 'log':
      return null;
  }
};
