/** Parses and validates the file that enables the Kubernetes API (`deploy/kube.yaml`); every error names the field. */
import { decodeOrThrow, parseOrThrow } from '@shaleyoke/config/schema-decoding';
import type { Team } from '@shaleyoke/core/domain/settings';
import { Schema } from 'effect';
import ipaddr from 'ipaddr.js';
import { parse as parseYaml } from 'yaml';

import { isLabel } from './subset.js';

/** An error in a file or an argument that the operator has to correct. */
export class KubeSettingsError extends Error {}

/** An address and its prefix length. */
export type Network = readonly [ipaddr.IPv4 | ipaddr.IPv6, number];

/** A tenant with the namespaces that its clients may use. */
export interface Tenant {
  readonly name: string;
  /** Teams by namespace. */
  readonly namespaces: ReadonlyMap<string, string>;
  /** Networks that its clients may connect from; empty for any. */
  readonly networks: readonly Network[];
}

/** Validated settings of the Kubernetes API. */
export interface KubeSettings {
  /** Loopback address to listen on. */
  readonly host: string;
  readonly port: number;
  /** Maximum number of open sockets. */
  readonly sockets: number;
  /** Average number of store changes a second that the leader may make for objects. */
  readonly statusChangesPerS: number;
  /** Tenants by name. */
  readonly tenants: ReadonlyMap<string, Tenant>;
}

const Cidr = Schema.String.pipe(
  Schema.filter((text) => parseNetwork(text) !== null, {
    message: () => 'expected an address or a range such as 10.1.0.0/16 or fd00::/8',
  }),
);
const Label = Schema.String.pipe(
  Schema.filter(isLabel, { message: () => 'expected 1 to 63 of a-z, 0-9 and "-"' }),
);

/** Parses an address or a CIDR range; null if the text is neither. */
export const parseNetwork = (text: string): Network | null => {
  try {
    if (text.includes('/')) return ipaddr.parseCIDR(text);
    const parsed = ipaddr.parse(text);
    return [parsed, parsed.kind() === 'ipv4' ? 32 : 128];
  } catch {
    return null;
  }
};

/** Whether a client's address is in one of the networks; without networks any address is. */
export const isWithin = (address: string, networks: readonly Network[]): boolean => {
  if (networks.length === 0) return true;
  let parsed: ipaddr.IPv4 | ipaddr.IPv6;
  try {
    // On a dual-stack socket an IPv4 client has the address ::ffff:10.0.0.1.
    parsed = ipaddr.process(address);
  } catch {
    return false;
  }
  return networks.some(([net, bits]) => net.kind() === parsed.kind() && parsed.match(net, bits));
};

const SettingsFile = Schema.Struct({
  version: Schema.Literal(1),
  listen: Schema.String.pipe(
    Schema.pattern(/^(.+):([0-9]{1,5})$/, { message: () => 'expected an address such as 127.0.0.1:6443' }),
  ),
  sockets: Schema.optionalWith(Schema.Int.pipe(Schema.between(1, 10_000)), { default: () => 200 }),
  status_changes_per_s: Schema.optionalWith(Schema.Number.pipe(Schema.between(0.1, 50)), {
    default: () => 2,
  }),
  tenants: Schema.Record({
    key: Label,
    value: Schema.Struct({
      namespaces: Schema.Record({ key: Label, value: Schema.String }),
      addresses: Schema.optionalWith(Schema.Array(Cidr), { default: () => [] }),
    }),
  }),
});

/** Parses the file; `fileName` is for messages. Throws a `KubeSettingsError` that names each wrong field. */
export const parseKubeSettings = (yaml: string, teams: readonly Team[], fileName: string): KubeSettings => {
  const fail = (message: string): KubeSettingsError => new KubeSettingsError(message);
  const file = decodeOrThrow(
    SettingsFile,
    parseOrThrow(parseYaml, yaml, fileName, fail),
    fileName,
    fail,
    true,
  );
  const problems: string[] = [];
  const names = teams.map((t) => t.name);
  const separator = file.listen.lastIndexOf(':');
  const host = file.listen.slice(0, separator).replace(/^\[(.*)\]$/, '$1');
  const port = Number(file.listen.slice(separator + 1));
  const address = parseNetwork(host);
  if (address === null) problems.push(`${fileName}: listen: expected an address, not ${host}`);
  else if (address[0].range() !== 'loopback')
    problems.push(`${fileName}: listen: only loopback so far, without TLS: listen on 127.0.0.1, not ${host}`);
  if (port > 65_535) problems.push(`${fileName}: listen: there is no port ${port}`);
  const owners = new Map<string, string>();
  for (const [tenant, tenantSettings] of Object.entries(file.tenants))
    for (const [namespace, team] of Object.entries(tenantSettings.namespaces)) {
      const path = `${fileName}: tenants.${tenant}.namespaces.${namespace}`;
      if (!names.includes(team))
        problems.push(`${path}: ${team} is no team of the platform's file; those are ${names.join(', ')}`);
      const otherTenant = owners.get(namespace);
      if (otherTenant !== undefined)
        problems.push(`${path}: is ${otherTenant}'s already; a namespace has one tenant`);
      owners.set(namespace, tenant);
    }
  if (problems.length > 0) throw new KubeSettingsError(problems.join('\n'));
  return {
    host,
    port,
    sockets: file.sockets,
    statusChangesPerS: file.status_changes_per_s,
    tenants: new Map(
      Object.entries(file.tenants).map(([name, tenantSettings]) => [
        name,
        {
          name,
          namespaces: new Map(Object.entries(tenantSettings.namespaces)),
          networks: tenantSettings.addresses.map((a) => parseNetwork(a)!),
        },
      ]),
    ),
  };
};
