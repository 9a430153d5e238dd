/**
 * Authentication and authorization. A refusal depends only on the request and the client's own tenant, so that it does
 * not reveal whether a namespace or object of another tenant exists.
 */
import { type KubeRequest, type Refusal, refuse } from './api.js';
import { isWithin, type Tenant } from './settings.js';
import { parseTokenId, type TokenRecord, verifyToken } from './tokens.js';

/** What a client authenticates with. */
export interface Credentials {
  /** Bearer token of the request; null if there is none. */
  readonly token: string | null;
  /** Address that the client connects from. */
  readonly address: string;
}

const unauthorized = (): Refusal => refuse(401, 'Unauthorized', 'Unauthorized');
const forbidden = (kubeRequest: KubeRequest, what: string): Refusal =>
  refuse(403, 'Forbidden', `jobs.batch is forbidden: ${kubeRequest.verb} is not allowed ${what}`);

/** The tenant that a client belongs to, or a refusal. */
export const authenticate = (
  credentials: Credentials,
  tokens: ReadonlyMap<string, TokenRecord>,
  tenants: ReadonlyMap<string, Tenant>,
): Tenant | Refusal => {
  const id = credentials.token === null ? null : parseTokenId(credentials.token);
  const record = id === null ? undefined : tokens.get(id);
  if (record === undefined || !verifyToken(record, credentials.token!)) return unauthorized();
  const tenant = tenants.get(record.tenant);
  // A removed tenant and an address outside its networks get the same answer as an unknown token.
  if (tenant === undefined || !isWithin(credentials.address, tenant.networks)) return unauthorized();
  return tenant;
};

/** The request with the tenant's namespaces and team filled in, or a refusal. */
export const authorize = (kubeRequest: KubeRequest, tenant: Tenant): KubeRequest | Refusal => {
  switch (kubeRequest.verb) {
    case 'unwatch':
      return kubeRequest;
    case 'list':
    case 'watch': {
      if (kubeRequest.namespaces.length === 0)
        return { ...kubeRequest, namespaces: [...tenant.namespaces.keys()] };
      const foreign = kubeRequest.namespaces.find((n) => !tenant.namespaces.has(n));
      return foreign === undefined ? kubeRequest : forbidden(kubeRequest, `in the namespace "${foreign}"`);
    }
    case 'create': {
      const team = tenant.namespaces.get(kubeRequest.namespace);
      return team === undefined
        ? forbidden(kubeRequest, `in the namespace "${kubeRequest.namespace}"`)
        : { ...kubeRequest, team };
    }
    case 'get':
    case 'delete':
      return tenant.namespaces.has(kubeRequest.namespace)
        ? kubeRequest
        : forbidden(kubeRequest, `in the namespace "${kubeRequest.namespace}"`);
  }
};
