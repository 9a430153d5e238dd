/** `kube check`: what a manifest would become, or why it is refused, line by line. Needs no service. */
import { Either } from 'effect';
import { type Document, isMap, isScalar, LineCounter, parseAllDocuments } from 'yaml';

import { mapManifest, type Mapped, type MappedDeployment, type MappedJob, type Work } from './mapping.js';
import { type Path, textOf } from './problems.js';
import { isTooDeep } from './text.js';

/** As for native submissions: a request's body is 64 KiB at most. */
export const MOST_BYTES = 64 * 1024;
/** Objects in one file. */
const MOST_DOCUMENTS = 200;
const SECOND = 1_000_000;

export interface Finding {
  readonly line: number;
  readonly text: string;
  readonly bad: boolean;
}

const decimal = (x: number): string => String(Number(x.toPrecision(12)));
const seconds = (us: number): string => `${decimal(us / SECOND)} s`;

const describe = (w: Work): string[] => {
  const gpus = w.gpus === 0 ? '' : `, ${decimal(w.gpus)} GPU`;
  const image = w.imageGb === 0 ? w.image : `${w.image} (${decimal(w.imageGb)} GB)`;
  const where = [
    w.zone === null ? 'any zone' : `zone ${w.zone}`,
    w.machineTypes === null ? 'any machine type' : w.machineTypes.join(' or '),
    w.spot ? 'spot machines too' : 'no spot machines',
    ...(w.sameZone ? ['all in one zone'] : []),
    ...(w.spreadAcrossZones ? ['half in one zone at most'] : []),
  ];
  const priority = ['best_effort', 'normal', 'urgent', 'critical'][w.priority]!;
  return [
    `class ${w.class}, priority ${priority}`,
    `each: ${decimal(w.cores)} cores${gpus}, ${decimal(w.memoryGb)} GB; image ${image}`,
    where.join('; '),
    ...(w.checkpointIntervalUs > 0
      ? [
          `saves every ${seconds(w.checkpointIntervalUs)}, in ${seconds(w.checkpointDurationUs)} when it is stopped`,
        ]
      : ['never saves: what is stopped begins anew']),
  ];
};

const jobLines = (m: MappedJob): string[] => {
  const { work } = m;
  const tasks = work.tasks === 1 ? 'one task' : `${work.tasks} tasks`;
  const shape =
    work.shape === 'gang' ? `a gang of ${tasks}: all run at the same time` : `an array of ${tasks}`;
  return [
    `Job ${m.manifest.metadata.name}: ${shape}`,
    ...describe(work),
    work.estimatedRunUs > 0
      ? `estimate ${seconds(work.estimatedRunUs)} a task`
      : 'no estimate: learned from its class',
    ...(work.deadlineUs === null ? [] : [`due ${seconds(work.deadlineUs)} after its creation`]),
    ...(m.awaits.length === 0 ? [] : [`starts after ${m.awaits.join(', ')}`]),
    ...(m.suspend ? ['suspended: nothing is submitted yet'] : []),
    ...(m.activeDeadlineUs === null ? [] : [`withdrawn after ${seconds(m.activeDeadlineUs)}`]),
    ...(m.ttlUs === null ? [] : [`its object goes ${seconds(m.ttlUs)} after its end`]),
  ];
};

const deploymentLines = (m: MappedDeployment): string[] => [
  `Deployment ${m.manifest.metadata.name}: ${m.replicas} pods, each a service of one task`,
  ...describe(m.work),
  m.rolling === null
    ? 'rollout: all old pods go before new ones come'
    : `rollout: ${m.rolling.surge} pods more and ${m.rolling.unavailable} fewer at most, at any moment`,
  `a rollout without progress stops after ${seconds(m.progressDeadlineUs)}`,
  ...(m.paused ? ['paused: a rollout stands still'] : []),
];

export const linesOf = (m: Mapped): string[] => (m.kind === 'Job' ? jobLines(m) : deploymentLines(m));

/** Where a field stands; for one that is missing, where it belongs. */
const offsetOf = (doc: Document, path: Path): number => {
  for (let n = path.length; n > 0; n--) {
    const parent: unknown = n === 1 ? doc.contents : doc.getIn(path.slice(0, n - 1), true);
    const last = path[n - 1];
    if (isMap(parent))
      for (const { key } of parent.items)
        if (isScalar(key) && key.value === last && key.range) return key.range[0];
    const node = doc.getIn(path.slice(0, n), true) as { range?: [number, number, number] | null } | undefined;
    if (node?.range) return node.range[0];
  }
  return doc.contents?.range?.[0] ?? 0;
};

/** `text`: YAML or JSON, one object or several. */
export const checkText = (text: string): Finding[] => {
  const counter = new LineCounter();
  const out: Finding[] = [];
  const add = (offset: number, say: string, bad: boolean): void => {
    out.push({ line: counter.linePos(offset).line, text: say, bad });
  };
  if (isTooDeep(text)) return [{ line: 1, text: 'nests deeper than anything that is served', bad: true }];
  const docs = parseAllDocuments(text, { lineCounter: counter });
  if (!Array.isArray(docs) || docs.length === 0) return [{ line: 1, text: 'holds no object', bad: true }];
  if (docs.length > MOST_DOCUMENTS)
    return [{ line: 1, text: `holds ${docs.length} objects; ${MOST_DOCUMENTS} at most`, bad: true }];
  for (const doc of docs) {
    const { errors } = doc;
    for (const e of errors) add(e.pos[0], `is not YAML: ${e.message.split('\n')[0]}`, true);
    if (errors.length > 0 || doc.contents === null) continue;
    const start = doc.contents.range[0];
    let value: unknown;
    try {
      value = doc.toJS({ maxAliasCount: 50 });
    } catch (e) {
      add(start, `can't be read: ${(e as Error).message}`, true);
      continue;
    }
    const size = Buffer.byteLength(JSON.stringify(value));
    if (size > MOST_BYTES) {
      add(start, `is ${size} bytes as JSON; ${MOST_BYTES} at most`, true);
      continue;
    }
    const mapped = mapManifest(value);
    if (Either.isLeft(mapped)) for (const p of mapped.left) add(offsetOf(doc, p.path), textOf(p), true);
    else for (const line of linesOf(mapped.right)) add(start, line, false);
  }
  return out;
};
