/** Renders the supported fields as a table, generated from the schema. */
import { SchemaAST } from 'effect';

import { type Kind, KINDS } from './subset.js';

/** One supported field. */
export interface FieldRow {
  /** Path such as `spec.template.spec.containers[].image`. */
  readonly field: string;
  readonly required: boolean;
  /** What the field means to the scheduler. */
  readonly says: string;
}

const descriptionOf = (ast: SchemaAST.AST): string | null => {
  const annotation = SchemaAST.getDescriptionAnnotation(ast);
  if (annotation._tag === 'Some') return annotation.value;
  if (SchemaAST.isRefinement(ast)) return descriptionOf(ast.from);
  // An optional field is a union with undefined.
  if (SchemaAST.isUnion(ast))
    for (const member of ast.types) {
      const description = descriptionOf(member);
      if (description !== null) return description;
    }
  return null;
};

const withoutWrappers = (ast: SchemaAST.AST): SchemaAST.AST => {
  if (SchemaAST.isRefinement(ast)) return withoutWrappers(ast.from);
  if (SchemaAST.isUnion(ast)) {
    const members = ast.types.filter((t) => !SchemaAST.isUndefinedKeyword(t));
    return members.length === 1 ? withoutWrappers(members[0]!) : ast;
  }
  return ast;
};

const collectRows = (ast: SchemaAST.AST, path: string, required: boolean, rows: FieldRow[]): void => {
  const description = descriptionOf(ast);
  const inner = withoutWrappers(ast);
  if (description !== null) rows.push({ field: path, required, says: description });
  if (SchemaAST.isTypeLiteral(inner))
    for (const property of inner.propertySignatures) {
      const name = String(property.name);
      const fieldPath = /^[A-Za-z0-9]+$/.test(name)
        ? path === ''
          ? name
          : `${path}.${name}`
        : `${path}[${name}]`;
      collectRows(property.type, fieldPath, required && !property.isOptional, rows);
    }
  if (SchemaAST.isTupleType(inner))
    for (const element of [...inner.elements, ...inner.rest])
      collectRows(element.type, `${path}[]`, required, rows);
};

/** The supported fields of a kind, in the order of the schema. */
export const rowsOf = (kind: Kind): FieldRow[] => {
  const rows: FieldRow[] = [];
  collectRows(KINDS[kind].ast, '', true, rows);
  return rows;
};

/** The table as Markdown, for the documentation. */
export const markdownOf = (kind: Kind): string =>
  [
    `| field of a ${kind} | required | what it becomes |`,
    '| --- | --- | --- |',
    ...rowsOf(kind).map((r) => `| \`${r.field}\` | ${r.required ? 'yes' : ''} | ${r.says} |`),
  ].join('\n');
