/** Lists, whole or in parts: all parts of one list are of the moment of its first. */
import type { Micros } from '@shaleyoke/core/domain/time';
import { SECOND } from '@shaleyoke/core/domain/time';

import { type Json, type KubeAnswer, type KubeRequest, refuse, type Selector } from './api.js';
import { jobOf, labelsOf } from './render.js';
import { type KubeObject, type Objects, objectsAfter, type View } from './view.js';

/** Objects in one answer, whatever was asked for. */
const MOST = 500;
/** Moments that are kept for lists that go on, and for how long. */
const MOMENTS = 64;
const KEPT: Micros = 120 * SECOND;

export const selects = (s: Selector, o: KubeObject): boolean => {
  if (s.name !== null && s.name !== o.name) return false;
  const labels = labelsOf(o);
  return Object.entries(s.labels).every(([k, v]) => labels[k] === v);
};

const tokenOf = (version: number, after: string): string =>
  Buffer.from(JSON.stringify([version, after])).toString('base64url');
const readToken = (token: string): readonly [number, string] | null => {
  try {
    const v: unknown = JSON.parse(Buffer.from(token, 'base64url').toString());
    return Array.isArray(v) && Number.isInteger(v[0]) && typeof v[1] === 'string'
      ? [v[0] as number, v[1]]
      : null;
  } catch {
    return null;
  }
};

export class Lists {
  /** By version: the objects of that moment. They share all that did not change. */
  private readonly moments = new Map<number, { readonly objects: Objects; readonly at: Micros }>();

  constructor(
    private readonly view: View,
    private readonly now: () => Micros,
  ) {}

  answer(r: KubeRequest & { verb: 'list' }): KubeAnswer {
    let version = this.view.at;
    let { objects } = this.view;
    let after = '';
    if (r.token !== null) {
      const token = readToken(r.token);
      if (token === null) return refuse(400, 'BadRequest', 'continue: is no token of this server');
      const moment = this.moments.get(token[0]);
      if (moment === undefined)
        return refuse(410, 'Expired', 'continue: too old, or of another node; list again from the beginning');
      [version, after] = token;
      ({ objects } = moment);
    }
    const items: Json[] = [];
    const most = Math.min(r.limit ?? MOST, MOST);
    let last = '';
    let more = false;
    for (const o of objectsAfter(objects, new Set(r.namespaces), after)) {
      if (!selects(r.selector, o)) continue;
      if (items.length >= most) {
        more = true;
        break;
      }
      items.push(jobOf(o));
      last = o.key;
    }
    if (more) this.keep(version, objects);
    return { kind: 'list', version, items, token: more ? tokenOf(version, last) : null };
  }

  private keep(version: number, objects: Objects): void {
    const now = this.now();
    this.moments.delete(version);
    this.moments.set(version, { objects, at: now });
    for (const [v, m] of this.moments)
      if (this.moments.size > MOMENTS || m.at < now - KEPT) this.moments.delete(v);
      else break;
  }
}
