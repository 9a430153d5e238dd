/**
 * Who may do what. What another tenant owns is answered as what nobody owns: the answer depends on the request and on
 * the client's own tenant alone, never on what others have.
 */
import { type KubeRequest, type Refusal, refuse } from './api.js';
import { isWithin, type Tenant } from './settings.js';
import { idOfToken, matches, type TokenRecord } from './tokens.js';

export interface Credentials {
  /** As it stood in the request; null: none. */
  readonly token: string | null;
  readonly address: string;
}

const unauthorized = (): Refusal => refuse(401, 'Unauthorized', 'Unauthorized');
const forbidden = (r: KubeRequest, what: string): Refusal =>
  refuse(403, 'Forbidden', `jobs.batch is forbidden: ${r.verb} is not allowed ${what}`);

/** The tenant of a client, or why it is none. */
export const tenantOf = (
  who: Credentials,
  tokens: ReadonlyMap<string, TokenRecord>,
  tenants: ReadonlyMap<string, Tenant>,
): Tenant | Refusal => {
  const id = who.token === null ? null : idOfToken(who.token);
  const record = id === null ? undefined : tokens.get(id);
  if (record === undefined || !matches(record, who.token!)) return unauthorized();
  const tenant = tenants.get(record.tenant);
  // A tenant that is no longer in the settings, or a client from elsewhere, learns no more than anybody.
  if (tenant === undefined || !isWithin(who.address, tenant.networks)) return unauthorized();
  return tenant;
};

/** The request within what is the tenant's, its team included; or why it may not be made. */
export const allow = (r: KubeRequest, tenant: Tenant): KubeRequest | Refusal => {
  switch (r.verb) {
    case 'unwatch':
      return r;
    case 'list':
    case 'watch': {
      if (r.namespaces.length === 0) return { ...r, namespaces: [...tenant.namespaces.keys()] };
      const other = r.namespaces.find((n) => !tenant.namespaces.has(n));
      return other === undefined ? r : forbidden(r, `in the namespace "${other}"`);
    }
    case 'create': {
      const team = tenant.namespaces.get(r.namespace);
      return team === undefined ? forbidden(r, `in the namespace "${r.namespace}"`) : { ...r, team };
    }
    case 'get':
    case 'delete':
      return tenant.namespaces.has(r.namespace) ? r : forbidden(r, `in the namespace "${r.namespace}"`);
  }
};
