/** The operators' file that switches the front on (`deploy/kube.yaml`), checked; every error names the field. */
import { check, read } from '@shaleyoke/config/checked';
import type { Team } from '@shaleyoke/core/domain/settings';
import { Schema } from 'effect';
import ipaddr from 'ipaddr.js';
import { parse as parseYaml } from 'yaml';

import { isLabel } from './subset.js';

export class KubeSettingsError extends Error {}

export type Network = readonly [ipaddr.IPv4 | ipaddr.IPv6, number];

export interface Tenant {
  readonly name: string;
  /** By namespace: its team. */
  readonly namespaces: ReadonlyMap<string, string>;
  /** Addresses that its clients come from; empty: any. */
  readonly networks: readonly Network[];
}

export interface KubeSettings {
  readonly host: string;
  readonly port: number;
  /** Sockets at the same time. */
  readonly sockets: number;
  readonly statusChangesPerS: number;
  readonly tenants: ReadonlyMap<string, Tenant>;
}

const Cidr = Schema.String.pipe(
  Schema.filter((text) => networkOf(text) !== null, {
    message: () => 'expected an address or a range such as 10.1.0.0/16 or fd00::/8',
  }),
);
const Label = Schema.String.pipe(
  Schema.filter(isLabel, { message: () => 'expected 1 to 63 of a-z, 0-9 and "-"' }),
);

export const networkOf = (text: string): Network | null => {
  try {
    if (text.includes('/')) return ipaddr.parseCIDR(text);
    const a = ipaddr.parse(text);
    return [a, a.kind() === 'ipv4' ? 32 : 128];
  } catch {
    return null;
  }
};

/** Whether a client's address lies in one of the ranges. */
export const isWithin = (address: string, networks: readonly Network[]): boolean => {
  if (networks.length === 0) return true;
  let a: ipaddr.IPv4 | ipaddr.IPv6;
  try {
    // An IPv4 client of a socket that takes both comes as ::ffff:10.0.0.1.
    a = ipaddr.process(address);
  } catch {
    return false;
  }
  return networks.some(([net, bits]) => net.kind() === a.kind() && a.match(net, bits));
};

const File = Schema.Struct({
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

/** `what`: the file's name, for messages. Throws `KubeSettingsError` naming each wrong field. */
export const parseKube = (yaml: string, teams: readonly Team[], what: string): KubeSettings => {
  const fail = (message: string): KubeSettingsError => new KubeSettingsError(message);
  const f = check(File, read(parseYaml, yaml, what, fail), what, fail, true);
  const problems: string[] = [];
  const names = teams.map((t) => t.name);
  const cut = f.listen.lastIndexOf(':');
  const host = f.listen.slice(0, cut).replace(/^\[(.*)\]$/, '$1');
  const port = Number(f.listen.slice(cut + 1));
  const address = networkOf(host);
  if (address === null) problems.push(`${what}: listen: expected an address, not ${host}`);
  else if (address[0].range() !== 'loopback')
    problems.push(`${what}: listen: only loopback so far, without TLS: listen on 127.0.0.1, not ${host}`);
  if (port > 65_535) problems.push(`${what}: listen: there is no port ${port}`);
  const owners = new Map<string, string>();
  for (const [tenant, t] of Object.entries(f.tenants))
    for (const [namespace, team] of Object.entries(t.namespaces)) {
      const path = `${what}: tenants.${tenant}.namespaces.${namespace}`;
      if (!names.includes(team))
        problems.push(`${path}: ${team} is no team of the platform's file; those are ${names.join(', ')}`);
      const other = owners.get(namespace);
      if (other !== undefined) problems.push(`${path}: is ${other}'s already; a namespace has one tenant`);
      owners.set(namespace, tenant);
    }
  if (problems.length > 0) throw new KubeSettingsError(problems.join('\n'));
  return {
    host,
    port,
    sockets: f.sockets,
    statusChangesPerS: f.status_changes_per_s,
    tenants: new Map(
      Object.entries(f.tenants).map(([name, t]) => [
        name,
        {
          name,
          namespaces: new Map(Object.entries(t.namespaces)),
          networks: t.addresses.map((a) => networkOf(a)!),
        },
      ]),
    ),
  };
};
