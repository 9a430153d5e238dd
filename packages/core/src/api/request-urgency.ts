/** Urgency of requests to the state service on behalf of waiting clients. */
import type { RequestUrgency } from '../domain/effects.js';

/** Urgency of all requests that the client API makes to the state service. */
export const CLIENT_REQUEST_URGENCY: RequestUrgency = 1;
