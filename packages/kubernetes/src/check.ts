/** `kube check`: shows what a manifest would become, or why it is refused, by line. Works without the store. */
import { Either } from 'effect';
import { type Document, isMap, isScalar, LineCounter, parseAllDocuments } from 'yaml';

import {
  mapManifest,
  type MappedDeployment,
  type MappedJob,
  type MappedManifest,
  type WorkSpec,
} from './mapping.js';
import { type FieldPath, formatProblem } from './problems.js';
import { isTooDeep } from './text.js';

/** Maximum size of an object as JSON, equal to the limit of 64 KiB for the body of a native submission. */
export const MAX_OBJECT_BYTES = 64 * 1024;
/** Maximum number of objects in a file. */
const MAX_DOCUMENTS = 200;
const SECOND = 1_000_000;

/** A line of the command's output; `bad` if it is a refusal. */
export interface Finding {
  readonly line: number;
  readonly text: string;
  readonly bad: boolean;
}

const decimal = (value: number): string => String(Number(value.toPrecision(12)));
const seconds = (us: number): string => `${decimal(us / SECOND)} s`;

const describe = (work: WorkSpec): string[] => {
  const gpus = work.gpus === 0 ? '' : `, ${decimal(work.gpus)} GPU`;
  const image = work.imageGb === 0 ? work.image : `${work.image} (${decimal(work.imageGb)} GB)`;
  const where = [
    work.zone === null ? 'any zone' : `zone ${work.zone}`,
    work.machineTypes === null ? 'any machine type' : work.machineTypes.join(' or '),
    work.spot ? 'spot machines too' : 'no spot machines',
    ...(work.sameZone ? ['all in one zone'] : []),
    ...(work.spreadAcrossZones ? ['half in one zone at most'] : []),
  ];
  const priority = ['best_effort', 'normal', 'urgent', 'critical'][work.priority]!;
  return [
    `class ${work.class}, priority ${priority}`,
    `each: ${decimal(work.cores)} cores${gpus}, ${decimal(work.memoryGb)} GB; image ${image}`,
    where.join('; '),
    ...(work.checkpointIntervalUs > 0
      ? [
          `saves every ${seconds(work.checkpointIntervalUs)}, in ${seconds(work.checkpointDurationUs)} when it is stopped`,
        ]
      : ['never saves: what is stopped begins anew']),
  ];
};

const jobLines = (mapped: MappedJob): string[] => {
  const { work } = mapped;
  const tasks = work.tasks === 1 ? 'one task' : `${work.tasks} tasks`;
  const shape =
    work.shape === 'gang' ? `a gang of ${tasks}: all run at the same time` : `an array of ${tasks}`;
  return [
    `Job ${mapped.manifest.metadata.name}: ${shape}`,
    ...describe(work),
    work.estimatedRunUs > 0
      ? `estimate ${seconds(work.estimatedRunUs)} a task`
      : 'no estimate: learned from its class',
    ...(work.deadlineUs === null ? [] : [`due ${seconds(work.deadlineUs)} after its creation`]),
    ...(mapped.awaits.length === 0 ? [] : [`starts after ${mapped.awaits.join(', ')}`]),
    ...(mapped.suspend ? ['suspended: nothing is submitted yet'] : []),
    ...(mapped.activeDeadlineUs === null ? [] : [`withdrawn after ${seconds(mapped.activeDeadlineUs)}`]),
    ...(mapped.ttlUs === null ? [] : [`its object goes ${seconds(mapped.ttlUs)} after its end`]),
  ];
};

const deploymentLines = (mapped: MappedDeployment): string[] => [
  `Deployment ${mapped.manifest.metadata.name}: ${mapped.replicas} pods, each a service of one task`,
  ...describe(mapped.work),
  mapped.rolling === null
    ? 'rollout: all old pods go before new ones come'
    : `rollout: ${mapped.rolling.surge} pods more and ${mapped.rolling.unavailable} fewer at most, at any moment`,
  `a rollout without progress stops after ${seconds(mapped.progressDeadlineUs)}`,
  ...(mapped.paused ? ['paused: a rollout stands still'] : []),
];

/** Describes a mapped manifest, a line for each aspect. */
export const linesOf = (mapped: MappedManifest): string[] =>
  mapped.kind === 'Job' ? jobLines(mapped) : deploymentLines(mapped);

/** Text offset of a field, or of the parent that it is missing from. */
const offsetOf = (doc: Document, path: FieldPath): number => {
  for (let depth = path.length; depth > 0; depth--) {
    const parent: unknown = depth === 1 ? doc.contents : doc.getIn(path.slice(0, depth - 1), true);
    const last = path[depth - 1];
    if (isMap(parent))
      for (const { key } of parent.items)
        if (isScalar(key) && key.value === last && key.range) return key.range[0];
    const node = doc.getIn(path.slice(0, depth), true) as
      { range?: [number, number, number] | null } | undefined;
    if (node?.range) return node.range[0];
  }
  return doc.contents?.range?.[0] ?? 0;
};

/** Checks a text with one or more objects in YAML or JSON. */
export const checkText = (text: string): Finding[] => {
  const lineCounter = new LineCounter();
  const findings: Finding[] = [];
  const add = (offset: number, message: string, bad: boolean): void => {
    findings.push({ line: lineCounter.linePos(offset).line, text: message, bad });
  };
  if (isTooDeep(text)) return [{ line: 1, text: 'nests deeper than anything that is served', bad: true }];
  const docs = parseAllDocuments(text, { lineCounter });
  if (!Array.isArray(docs) || docs.length === 0) return [{ line: 1, text: 'holds no object', bad: true }];
  if (docs.length > MAX_DOCUMENTS)
    return [{ line: 1, text: `holds ${docs.length} objects; ${MAX_DOCUMENTS} at most`, bad: true }];
  for (const doc of docs) {
    const { errors } = doc;
    for (const error of errors) add(error.pos[0], `is not YAML: ${error.message.split('\n')[0]}`, true);
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
    if (size > MAX_OBJECT_BYTES) {
      add(start, `is ${size} bytes as JSON; ${MAX_OBJECT_BYTES} at most`, true);
      continue;
    }
    const mapped = mapManifest(value);
    if (Either.isLeft(mapped))
      for (const problem of mapped.left) add(offsetOf(doc, problem.path), formatProblem(problem), true);
    else for (const line of linesOf(mapped.right)) add(start, line, false);
  }
  return findings;
};
